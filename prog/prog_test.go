package prog_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dottereldeal/dottereldeal/prog"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"dottereldeal": func() { os.Exit(prog.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata/script",
		Cmds: commands(), Condition: inHistory, Setup: setupGroup,
	})
}
