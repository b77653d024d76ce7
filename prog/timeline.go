package prog

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/dottereldeal/dottereldeal/conf"
	"github.com/dottereldeal/dottereldeal/event"
)

// eventsAnswer is a process's answer to /v1/events.
type eventsAnswer struct {
	Lost   uint64        `json:"lost"`
	Events []event.Event `json:"events"`
}

func timelineCommand(set *conf.Set) runner {
	settings := newDeskSettings(set)
	kind := set.String("kind", "show events of this kind only")
	vm := set.String("vm", "show events of this VM only")
	object := set.String("object", "show events of this object only")
	asJSON := set.Bool("json", "print JSON lines")
	return func(set *conf.Set, s streams) int {
		d := settings.open(set, "")
		if unusable(set, s) {
			return exitUsage
		}
		filter := event.Filter{Kind: event.Kind(*kind), VM: *vm, Object: *object}
		return timeline(d, filter, *asJSON, s)
	}
}

// timeline prints the events of all processes in causal order.
func timeline(d *desk, filter event.Filter, asJSON bool, s streams) int {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	result := exitOK
	var lines [][]event.Event
	for _, addr := range d.addrs {
		answered, err := d.ask(ctx, addr, http.MethodGet, "/v1/events", nil)
		if err != nil {
			fmt.Fprintf(s.err, "gap: %s: %s\n", addr, err)
			result = exitFailed
			continue
		}
		events, err := decode[eventsAnswer](answered)
		if err != nil {
			fmt.Fprintf(s.err, "gap: %s: %s\n", addr, err)
			result = exitFailed
			continue
		}
		if events.Lost > 0 {
			fmt.Fprintf(s.err, "gap: %s no longer keeps its first %d events\n", addr, events.Lost)
		}
		lines = append(lines, events.Events)
	}
	for _, e := range event.Merge(lines...) {
		if filter.Match(e) {
			printEvent(e, asJSON, s)
		}
	}
	return result
}

func printEvent(e event.Event, asJSON bool, s streams) {
	if !asJSON {
		fmt.Fprintf(s.out, "%s %-10s %-20s %s %s\n", e.At, e.VM, e.Kind, e.Object, e.Detail)
		return
	}
	data, err := json.Marshal(e)
	if err == nil {
		fmt.Fprintf(s.out, "%s\n", data)
	}
}
