package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRegister(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	k := KeyOf("east", "decisions", "k")
	first, second := Claimant{"e1", 1}, Claimant{"e2", 2}

	r := NewTable(now.Add(Retention))
	granted, held := r.Claim(k, first, now)
	is.True(!granted && !held) // it may have forgotten
	now = now.Add(Retention)
	granted, _ = r.Claim(k, first, now)
	is.True(granted)
	granted, _ = r.Claim(k, first, now) // a repeated message
	is.True(granted)
	granted, held = r.Claim(k, second, now.Add(Retention))
	is.True(!granted && held)
	granted, _ = r.Claim(KeyOf("east", "decisions", "other"), second, now)
	is.True(granted)
	granted, _ = r.Claim(k, second, now.Add(Retention+1))
	is.True(granted)
}
