package prog

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/event"
)

func TestManyEventsOfAKindAreLoggedInOneLine(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := &eventLogger{line: event.New("e1"), logger: slog.New(slog.NewTextHandler(&out, nil))}
	l.line.Record(event.LeaseWon, "w01", "")
	for i := range 400 {
		l.line.Record(event.TargetJoined, fmt.Sprint("b", i), "pool desk")
	}
	l.line.Record(event.Ejected, "b7", "pool desk")
	l.flush()
	is.Equal(strings.Count(out.String(), "\n"), 3)
	is.True(strings.Contains(out.String(), "msg=target-joined count=400 first-objects=b0,b1,"))
	is.True(strings.Contains(out.String(), "msg=ejected object=b7"))
	l.flush()
	is.Equal(strings.Count(out.String(), "\n"), 3)
}
