package conf_test

import (
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/check"
	"github.com/dottereldeal/dottereldeal/conf"
)

func lookupEnv(variables map[string]string) conf.Option {
	return conf.LookupEnv(func(name string) (string, bool) {
		text, ok := variables[name]
		return text, ok
	})
}

func TestFlagOverridesEnvironment(t *testing.T) {
	is := is.New(t)
	set := conf.New("entry", lookupEnv(map[string]string{"DOTTERELDEAL_VM": "e1", "DOTTERELDEAL_DRAIN_LIMIT": "5s"}))
	vm := set.Name("vm", "", conf.Required())
	limit := set.Duration("drain-limit", "", conf.Default("30s"))
	is.NoErr(set.Parse([]string{"--vm", "e2"}))
	is.Equal(*vm, "e2")
	is.Equal(*limit, 5*time.Second)
}

func TestParseReportsAllFindings(t *testing.T) {
	is := is.New(t)
	set := conf.New("entry", lookupEnv(map[string]string{"DOTTERELDEAL_PEERS": "e1=127.0.0.1"}))
	set.Name("vm", "", conf.Required())
	set.Addr("listen", "")
	set.Peers("peers", "")
	err := set.Parse([]string{"--nonsense", "--listen", "localhost:80"})
	var found check.Findings
	is.True(errors.As(err, &found))
	is.Equal(len(found), 4)
	for _, location := range []string{"command line", "--vm", "--listen", "DOTTERELDEAL_PEERS"} {
		is.True(strings.Contains(err.Error(), location))
	}
}

func TestParseName(t *testing.T) {
	is := is.New(t)
	for _, invalid := range []string{"", "-a", "a-", "A", "a_b", strings.Repeat("a", 64)} {
		_, err := conf.ParseName(invalid)
		is.True(err != nil)
	}
	_, err := conf.ParseName("showroom-east-2")
	is.NoErr(err)
}

func TestSettingsFile(t *testing.T) {
	is := is.New(t)
	file := "# a comment\nvm = e1\n\ndrain-limit = 3s\nseeds =\n"
	set := conf.New("entry",
		conf.LookupEnv(func(name string) (string, bool) {
			variables := map[string]string{"DOTTERELDEAL_CONFIG": "entry.conf", "DOTTERELDEAL_DRAIN_LIMIT": "4s"}
			text, ok := variables[name]
			return text, ok
		}),
		conf.ReadFile(func(string) ([]byte, error) { return []byte(file), nil }),
	)
	vm := set.Name("vm", "", conf.Required())
	limit := set.Duration("drain-limit", "", conf.Default("30s"))
	seeds := set.Addrs("seeds", "")
	is.NoErr(set.Parse(nil))
	is.Equal(*vm, "e1")
	is.Equal(*limit, 4*time.Second) // the variable overrides the file
	is.Equal(len(*seeds), 0)        // a setting without a value is skipped
	is.True(!set.FileChanged())
	file += "seeds = 10.0.0.1:7000\n"
	is.True(set.FileChanged())
}

func TestSettingsFileReportsAllFindings(t *testing.T) {
	is := is.New(t)
	set := conf.New("entry",
		conf.LookupEnv(func(string) (string, bool) { return "", false }),
		conf.ReadFile(func(string) ([]byte, error) { return []byte("vm = E 1\nspeed = 3\nno value\nvm = e2\n"), nil }),
	)
	set.Name("vm", "", conf.Required())
	err := set.Parse([]string{"--config", "x.conf"})
	is.True(err != nil)
	for _, want := range []string{"x.conf:2", `"speed" does not exist`, "x.conf:3", "x.conf:4", "twice"} {
		is.True(strings.Contains(err.Error(), want)) // each finding has its line
	}
}
