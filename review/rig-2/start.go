package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// lead is the time between the start of the processes and that of traffic, as in the site file.
const lead = 8 * time.Second

// startAll starts a fleet, its targets and a configuration.
func (r *rig) startAll(targets int, handle func(*target, http.ResponseWriter, *http.Request)) error {
	if err := r.startFleet(); err != nil {
		return err
	}
	if err := r.operate(names.Configure, configuration, 20*time.Second); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stopBeats = cancel
	for i := range targets {
		if _, err := r.startTarget(ctx, fmt.Sprintf("i-%08x", 0x7f3a91c0+i), "loan-desk", zones[i%len(zones)], handle); err != nil {
			return err
		}
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	time.Sleep(lead)
	return nil
}
