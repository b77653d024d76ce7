package lease

import "time"

const (
	// doubtAfter is how long a holder must have failed to serve before the next in
	// line is asked. It covers a few lost messages and a holder that is new.
	doubtAfter = 500 * time.Millisecond
	// doubtGap is the time without a further doubt after which earlier ones no longer
	// count.
	doubtGap = time.Second
	// doubtPause is the time between two requests to the next in line.
	doubtPause = 300 * time.Millisecond
	// doubtFresh is how long a doubt keeps an entry from asking the holder again.
	doubtFresh = 300 * time.Millisecond
	// needLife is how long an entry tries to get a lease that it is asked to take.
	needLife = time.Second
)

// doubts is what one entry knows of holders that do not serve, and of leases that it
// is asked to take. It has no input or output.
//
// The pattern it answers: a holder that is frozen, cut off or out of date is still a
// member for seconds, and every workspace of its shards is refused until it is not.
type doubts struct {
	holders map[string]doubt
	needs   map[string]time.Time
}

// doubt is a series of failures of one lease's holder.
type doubt struct {
	since, last time.Time
	told        time.Time
}

func newDoubts() *doubts {
	return &doubts{holders: make(map[string]doubt), needs: make(map[string]time.Time)}
}

// add notes a failure and reports whether the next in line is to be asked now.
func (d *doubts) add(name string, now time.Time) bool {
	one, known := d.holders[name]
	if !known || now.Sub(one.last) > doubtGap {
		one = doubt{since: now}
	}
	one.last = now
	due := now.Sub(one.since) >= doubtAfter && now.Sub(one.told) >= doubtPause
	if due {
		one.told = now
	}
	d.holders[name] = one
	return due
}

// fresh reports whether a holder has failed just now.
func (d *doubts) fresh(name string, now time.Time) bool {
	one, known := d.holders[name]
	return known && now.Sub(one.last) < doubtFresh
}

// clear forgets the failures of a lease's holder.
func (d *doubts) clear(name string) { delete(d.holders, name) }

// need notes leases that this entry is asked to take.
func (d *doubts) need(names []string, now time.Time) {
	for _, name := range names {
		if len(d.needs) < maxNames {
			d.needs[name] = now.Add(needLife)
		}
	}
}

// needed reports whether this entry is asked to take a lease.
func (d *doubts) needed(name string, now time.Time) bool {
	until, asked := d.needs[name]
	if asked && !now.Before(until) {
		delete(d.needs, name)
		return false
	}
	return asked
}
