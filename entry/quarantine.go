package entry

import (
	"net/http"
	"time"

	"github.com/dottereldeal/dottereldeal/admin"
	"github.com/dottereldeal/dottereldeal/guard"
)

// suspectStatus is one request in the response to GET /v1/quarantine.
type suspectStatus struct {
	Print     string   `json:"print"`
	Workspace string   `json:"workspace"`
	Request   string   `json:"request"`
	Servers   []string `json:"backend-servers"`
	Crashes   int      `json:"crashes"`
	// Left is the rest of the quarantine in seconds, 0 if the request is only suspected.
	Left float64 `json:"left-seconds"`
}

// listQuarantine lists the requests that are suspected of crashing backend servers.
func (e *Entry) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	now := e.options.Clock.Now()
	list := []suspectStatus{}
	for _, s := range e.pools.Suspects() {
		list = append(list, suspectStatus{
			Print: s.Print.String(), Workspace: s.Workspace, Request: s.Label, Servers: s.Servers, Crashes: s.Crashes,
			Left: max(0, s.Until.Sub(now)).Round(time.Millisecond).Seconds(),
		})
	}
	admin.WriteJSON(w, http.StatusOK, list)
}

// releaseRequest clears a request of all suspicions, on all VMs.
func (e *Entry) releaseRequest(w http.ResponseWriter, r *http.Request) {
	print, err := guard.ParsePrint(r.PathValue("print"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.pools.Release(print) {
		http.Error(w, "this VM does not know the request as a suspect; the others were told", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
