package prog

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/dottereldeal/dottereldeal/conf"
	"github.com/dottereldeal/dottereldeal/ctrl"
	"github.com/dottereldeal/dottereldeal/store"
)

// repairTimeout bounds a membership change with its catch-up.
const repairTimeout = 70 * time.Second

// replicaCommand makes a subcommand that takes a VM's name and asks the leader.
func replicaCommand(method string, needsVM bool) func(*conf.Set) runner {
	return func(set *conf.Set) runner {
		settings := newDeskSettings(set)
		replaces := set.String("replaces", "VM whose replica is replaced, if it is another VM")
		return func(set *conf.Set, s streams) int {
			d := settings.open(set, "")
			if unusable(set, s) {
				return exitUsage
			}
			if needsVM != (set.NArg() == 1) {
				fmt.Fprintln(s.err, "expected the name of one control VM")
				return exitUsage
			}
			path := "/v1/replicas"
			if needsVM {
				path += "/" + url.PathEscape(set.Arg(0))
			}
			if *replaces != "" {
				path += "?replaces=" + url.QueryEscape(*replaces)
			}
			return askReplicas(d, method, path, s)
		}
	}
}

func askReplicas(d *desk, method, path string, s streams) int {
	ctx, cancel := context.WithTimeout(context.Background(), repairTimeout)
	defer cancel()
	answered, err := d.askLeader(ctx, method, path, nil)
	if err != nil {
		fmt.Fprintln(s.err, "not known to be done:", err, "(running it again is safe)")
		return exitFailed
	}
	if answered.status != http.StatusOK {
		s.err.Write(answered.body)
		return exitUsage
	}
	s.out.Write(answered.body)
	return exitOK
}

// rescueCommand makes the replica in a folder the only one of its group.
func rescueCommand(set *conf.Set) runner {
	path := set.String("data-folder", "folder of the replica that is left; its process must not run", conf.Required())
	listen := set.Addr("listen", "IP:PORT of the replica's links", conf.Required())
	sure := set.Bool("accept-lost-tickets", "yes, a majority is lost for good, and so may be accepted tickets")
	return func(_ *conf.Set, s streams) int {
		if !*sure {
			fmt.Fprintln(s.err, "this may lose accepted tickets: give --accept-lost-tickets if a majority is lost for good")
			return exitUsage
		}
		folder, err := store.OpenFolder(*path)
		if err != nil {
			fmt.Fprintln(s.err, err)
			return exitFailed
		}
		defer folder.Close()
		rescued, err := ctrl.Rescue(folder, listen.String())
		if err != nil {
			fmt.Fprintln(s.err, err)
			return exitFailed
		}
		fmt.Fprintf(s.out, "the replica is alone in its group at index %d; the highest ticket that it knows is %d\n", rescued.Index, rescued.LastTicket)
		return exitOK
	}
}
