package fake

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// announcement is the body of PUT /v1/targets/{name}.
type announcement struct {
	Pool        string  `json:"pool"`
	DataCentre  string  `json:"data-centre"`
	Address     string  `json:"address"`
	Slots       int     `json:"slots"`
	Connections int     `json:"connections"`
	Phase       string  `json:"phase"`
	Load        float64 `json:"load"`
	Lifetime    string  `json:"lifetime"`
	Boot        uint64  `json:"boot"`
	Count       uint64  `json:"count"`
}

// announceLoop sends announcements at a fixed interval until the server stops.
func (s *Server) announceLoop() {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		s.announce()
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announce sends the announcement to one entry chosen at random, as a load balancer would,
// and tries the others if it fails.
func (s *Server) announce() {
	if len(s.options.AnnounceURLs) == 0 {
		return
	}
	body, err := json.Marshal(announcement{
		Pool: s.options.Pool, DataCentre: s.options.DataCentre, Address: s.Addr(),
		Slots: s.options.Slots, Connections: s.options.Connections,
		Phase: *s.phase.Load(), Load: s.load(), Lifetime: defaultLifetime.String(),
		Boot: s.boot, Count: s.sequence.Add(1),
	})
	if err != nil {
		return
	}
	for _, i := range rand.Perm(len(s.options.AnnounceURLs)) {
		if s.put(s.options.AnnounceURLs[i], body) {
			return
		}
	}
}

func (s *Server) put(base string, body []byte) bool {
	url := fmt.Sprintf("%s/v1/targets/%s", base, s.options.Name)
	request, err := http.NewRequestWithContext(s.ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
