package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// configuration has one unsafe route to the service "loan-desk".
const configuration = `{"version":%d,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"tenants":[{"name":"kaje80","api_keys":["` + key + `"],"priority":1,"rate_per_s":0,"burst":0}],
"listeners":[{"host":"` + host + `","rules":[
{"name":"r-safe","kind":"safe","slo":"600ms","priority":2,"public":false,"match":{"path_prefix":"/look/"},"action":{"service":"loan-desk","timeout":"1500ms","max_attempts":2}},
{"name":"r-unsafe","kind":"unsafe","slo":"600ms","priority":1,"public":false,"match":{"path_prefix":"/commit/"},"action":{"service":"loan-desk","timeout":"1500ms","max_attempts":2}}]}],
"clusters":[{"name":"loan-desk","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,"warmup":"3s","warmup_per_s":12}]}`

// lead is the time between the start of the processes and that of traffic, as in the site file.
const lead = 8 * time.Second

// startAll starts a fleet, its targets and a configuration.
func (r *rig) startAll(targets int, handle func(*target, http.ResponseWriter, *http.Request)) error {
	if err := r.startFleet(); err != nil {
		return err
	}
	if err := r.operate("/Config.Replace", fmt.Appendf(nil, configuration, 3), 20*time.Second); err != nil {
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
