package prog

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/dottereldeal/dottereldeal/conf"
)

// quarantineListCommand prints the requests that are suspected of crashing backend servers.
func quarantineListCommand(set *conf.Set) runner {
	settings := newDeskSettings(set)
	return func(set *conf.Set, s streams) int {
		d := settings.open(set, "")
		if unusable(set, s) {
			return exitUsage
		}
		return askEntry(d, http.MethodGet, "/v1/quarantine", s)
	}
}

// quarantineReleaseCommand clears a request of all suspicions.
func quarantineReleaseCommand(set *conf.Set) runner {
	settings := newDeskSettings(set)
	return func(set *conf.Set, s streams) int {
		d := settings.open(set, "")
		if unusable(set, s) {
			return exitUsage
		}
		if set.NArg() != 1 {
			fmt.Fprintln(s.err, "expected the fingerprint of one request, as \"quarantine list\" prints it")
			return exitUsage
		}
		return askEntry(d, http.MethodDelete, "/v1/quarantine/"+url.PathEscape(set.Arg(0)), s)
	}
}

// askEntry asks one entry after another until one answers well.
func askEntry(d *desk, method, path string, s streams) int {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	for _, addr := range d.addrs {
		answered, err := d.ask(ctx, addr, method, path, nil)
		switch {
		case err != nil:
			fmt.Fprintf(s.err, "%s: %s\n", addr, err)
		case answered.status < http.StatusMultipleChoices:
			s.out.Write(answered.body)
			return exitOK
		default:
			fmt.Fprintf(s.err, "%s: %s", addr, answered.body)
		}
	}
	return exitFailed
}
