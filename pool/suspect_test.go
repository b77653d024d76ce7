package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/guard"
)

func TestSuspectsSurviveTheWire(t *testing.T) {
	is := is.New(t)
	s := guard.Suspect{
		Print: guard.PrintOf("w", "GET", "/", 0, nil), Workspace: "w", Label: "GET /", Servers: []string{"a", "b"}, Crashes: 2,
		Quarantines: 1, Until: startTime.Add(time.Minute), LastCrash: startTime.Add(-time.Second),
	}
	is.Equal(suspectsOfWire(suspectsToWire([]guard.Suspect{s}, startTime), startTime), []guard.Suspect{s})
}
