package entry

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/dottereldeal/dottereldeal/admin"
	"github.com/dottereldeal/dottereldeal/check"
	"github.com/dottereldeal/dottereldeal/conf"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/state"
)

const (
	maxAnnouncementBytes = 4 << 10
	maxLifetime          = 10 * time.Minute
	minLifetime          = time.Second
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

// announcementResponse is the response to an announcement.
type announcementResponse struct {
	Accepted bool           `json:"accepted"`
	Findings check.Findings `json:"findings,omitempty"`
}

func (e *Entry) announceServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/targets/{name}", e.putTarget)
	mux.HandleFunc("DELETE /v1/targets/{name}", e.deleteTarget)
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout,
		IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: discardLog(),
	}
}

func (e *Entry) putTarget(w http.ResponseWriter, r *http.Request) {
	var a announcement
	var found check.Findings
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		found.Add("body", "%s", err)
		admin.WriteJSON(w, http.StatusBadRequest, announcementResponse{Findings: found})
		return
	}
	target, found := a.target(r.PathValue("name"))
	if len(found) > 0 {
		admin.WriteJSON(w, http.StatusUnprocessableEntity, announcementResponse{Findings: found})
		return
	}
	if !e.fleet.Announce(target) {
		admin.WriteJSON(w, http.StatusConflict, announcementResponse{})
		return
	}
	admin.WriteJSON(w, http.StatusOK, announcementResponse{Accepted: true})
}

// target validates an announcement and returns the backend server that it describes.
func (a announcement) target(name string) (fleet.Target, check.Findings) {
	var found check.Findings
	checkName := func(place, text string) {
		if _, err := conf.ParseName(text); err != nil {
			found.Add(place, "%s", err)
		}
	}
	checkName("name", name)
	checkName("pool", a.Pool)
	checkName("data-centre", a.DataCentre)
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		found.Add("address", "%q is not IP:PORT", a.Address)
	}
	if a.Slots < 1 || a.Slots > state.MaxSlots {
		found.Add("slots", "%d is not from 1 to %d", a.Slots, state.MaxSlots)
	}
	if a.Connections < 0 {
		found.Add("connections", "%d is negative", a.Connections)
	}
	phase := fleet.Phase(a.Phase)
	if phase != fleet.Cold && phase != fleet.Warm && phase != fleet.Leaving {
		found.Add("phase", "%q is not cold, warm or leaving", a.Phase)
	}
	lifetime, err := time.ParseDuration(a.Lifetime)
	if err != nil || lifetime < minLifetime || lifetime > maxLifetime {
		found.Add("lifetime", "%q is not a duration from %s to %s", a.Lifetime, minLifetime, maxLifetime)
	}
	if a.Boot == 0 {
		found.Add("boot", "is missing")
	}
	return fleet.Target{
		Name: name, Pool: a.Pool, DataCentre: a.DataCentre, Addr: a.Address,
		Slots: a.Slots, Connections: a.Connections, Phase: phase, Load: a.Load,
		Lifetime: lifetime, Boot: a.Boot, Count: a.Count,
	}, found
}

func (e *Entry) deleteTarget(w http.ResponseWriter, r *http.Request) {
	boot, bootErr := strconv.ParseUint(r.URL.Query().Get("boot"), 10, 64)
	count, countErr := strconv.ParseUint(r.URL.Query().Get("count"), 10, 64)
	if bootErr != nil || countErr != nil {
		var found check.Findings
		found.Add("query", "boot and count must be whole numbers")
		admin.WriteJSON(w, http.StatusUnprocessableEntity, announcementResponse{Findings: found})
		return
	}
	accepted := e.fleet.Withdraw(r.PathValue("name"), boot, count)
	admin.WriteJSON(w, http.StatusOK, announcementResponse{Accepted: accepted})
}
