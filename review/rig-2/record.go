package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record is the log of what was sent, run and answered.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func newRecord(out io.Writer) *record { return &record{out: out, start: time.Now()} }

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
