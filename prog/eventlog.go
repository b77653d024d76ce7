package prog

import (
	"log/slog"
	"strings"

	"github.com/dottereldeal/dottereldeal/event"
)

const (
	// maxEventLines is the number of events of one kind that are logged one by one at a time.
	// Of more, a single line is logged: hundreds of entries that see hundreds of servers join
	// would otherwise log one line for each pair.
	maxEventLines = 8
	// maxEventNames is the number of objects that such a line names.
	maxEventNames = 8
)

// eventLogger writes the events of a process to its log.
type eventLogger struct {
	line   *event.Log
	logger *slog.Logger
	seq    uint64
}

// flush logs the events since the last call.
func (l *eventLogger) flush() {
	events, _ := l.line.Since(l.seq)
	byKind := make(map[event.Kind][]event.Event)
	for _, e := range events {
		l.seq = e.Seq
		byKind[e.Kind] = append(byKind[e.Kind], e)
	}
	for _, e := range events {
		same := byKind[e.Kind]
		switch {
		case len(same) <= maxEventLines:
			l.logger.Info(string(e.Kind), "object", e.Object, "detail", e.Detail, "stamp", e.At.String())
		case e.Seq == same[len(same)-1].Seq:
			l.logSummary(same)
		}
	}
}

// logSummary logs one line for several events of a kind.
func (l *eventLogger) logSummary(events []event.Event) {
	first, last := events[0], events[len(events)-1]
	names := make([]string, 0, maxEventNames)
	for _, e := range events[:min(len(events), maxEventNames)] {
		names = append(names, e.Object)
	}
	l.logger.Info(string(first.Kind), "count", len(events), "first-objects", strings.Join(names, ","),
		"since", first.At.String(), "stamp", last.At.String())
}
