package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTableGrantsAKeyToOneClaimant(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	k := KeyOf("east", "decisions", "k")
	first, second := Claimant{"e1", 1}, Claimant{"e2", 2}

	table := NewTable(now.Add(Retention))
	granted, held := table.Claim(k, first, now)
	is.True(!granted && !held) // in the startup wait: an earlier claim may be lost
	now = now.Add(Retention)
	granted, _ = table.Claim(k, first, now)
	is.True(granted)
	granted, _ = table.Claim(k, first, now) // a duplicated message
	is.True(granted)
	granted, held = table.Claim(k, second, now.Add(Retention))
	is.True(!granted && held)
	granted, _ = table.Claim(KeyOf("east", "decisions", "other"), second, now)
	is.True(granted)
	granted, _ = table.Claim(k, second, now.Add(Retention+1))
	is.True(granted)
}
