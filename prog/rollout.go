package prog

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"

	"github.com/dottereldeal/dottereldeal/conf"
)

// rolloutListCommand prints the roll-outs with their evidence.
func rolloutListCommand(set *conf.Set) runner {
	settings := newDeskSettings(set)
	return func(set *conf.Set, s streams) int {
		d := settings.open(set, "")
		if unusable(set, s) {
			return exitUsage
		}
		return askRollouts(d, http.MethodGet, "/v1/rollouts", s)
	}
}

// rolloutStopCommand rolls back a running roll-out.
func rolloutStopCommand(set *conf.Set) runner {
	settings := newDeskSettings(set)
	author := set.String("author", "author for the time line, where no client certificate names one", conf.Default(os.Getenv("USER")))
	return func(set *conf.Set, s streams) int {
		d := settings.open(set, *author)
		if unusable(set, s) {
			return exitUsage
		}
		if set.NArg() != 2 {
			fmt.Fprintln(s.err, "expected a pool and the version that its roll-out moves to")
			return exitUsage
		}
		return askRollouts(d, http.MethodDelete, "/v1/rollouts/"+url.PathEscape(set.Arg(0))+"/"+url.PathEscape(set.Arg(1)), s)
	}
}

// askRollouts prints the answer of the control leader.
func askRollouts(d *desk, method, path string, s streams) int {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	answered, err := d.askLeader(ctx, method, path, nil)
	if err != nil {
		fmt.Fprintln(s.err, err)
		return exitFailed
	}
	if answered.status != http.StatusOK {
		fmt.Fprintf(s.err, "%s\n", answered.body)
		return exitFailed
	}
	s.out.Write(answered.body)
	return exitOK
}
