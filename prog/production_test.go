package prog_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// productionCommit returns the version that the deploy file names as the one in production.
func productionCommit() (string, error) {
	text, err := os.ReadFile(filepath.Join("..", "deploy", "system.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^production = "([0-9a-f]+)"$`).FindSubmatch(text)
	if found == nil {
		return "", fmt.Errorf("deploy/system.toml names no version in production")
	}
	return string(found[1]), nil
}

// inHistory is a condition of scripts: whether the version in production can be built from the
// history of this checkout.
func inHistory(name string) (bool, error) {
	if name != "production" {
		return false, fmt.Errorf("unknown condition %q", name)
	}
	commit, err := productionCommit()
	if err != nil {
		return false, err
	}
	return exec.Command("git", "cat-file", "-e", commit+"^{commit}").Run() == nil, nil
}

// productionCommand builds the version in production and sets a variable to the path of its
// program: production NAME.
func productionCommand(ts *testscript.TestScript, _ bool, args []string) {
	commit, err := productionCommit()
	ts.Check(err)
	source, binary := ts.MkAbs("production"), ts.MkAbs("dottereldeal-"+commit)
	steps := [][]string{
		{"git", "clone", "--quiet", "--shared", "--no-checkout", "..", source},
		{"git", "-C", source, "checkout", "--quiet", commit},
		{"go", "build", "-C", source, "-o", binary, "./cmd/dottereldeal"},
	}
	for _, step := range steps {
		if out, err := exec.Command(step[0], step[1:]...).CombinedOutput(); err != nil {
			ts.Fatalf("%s: %s: %s", strings.Join(step, " "), err, out)
		}
	}
	ts.Setenv(args[0], binary)
}
