package ctrl

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/admin"
	"github.com/dottereldeal/dottereldeal/canary"
	"github.com/dottereldeal/dottereldeal/state"
)

// ErrNoRollout means that no roll-out of the pool to that version is running.
var ErrNoRollout = errors.New("no roll-out of the pool to that version is running")

// rolloutResponse is a roll-out in the response to GET /v1/rollouts.
type rolloutResponse struct {
	state.Rollout
	// Since is the time since the order.
	Since state.Duration `json:"since-order"`
	// Evidence is what this leader has counted, by route.
	Evidence []routeResponse `json:"evidence,omitempty"`
}

// routeResponse is what was counted for a route, of the new version and of the others.
type routeResponse struct {
	Route string        `json:"route"`
	New   statsResponse `json:"new"`
	Other statsResponse `json:"others"`
}

type statsResponse struct {
	Results uint64 `json:"results"`
	Bad     uint64 `json:"bad"`
	// Latency is the geometric mean of the good results.
	Latency state.Duration `json:"latency"`
}

func newStatsResponse(s canary.Stats) statsResponse {
	return statsResponse{Results: s.Results, Bad: s.Bad, Latency: state.Duration(s.Latency())}
}

// getRollouts returns the roll-outs with their evidence, which only the leader has.
func (c *Control) getRollouts(w http.ResponseWriter, r *http.Request) {
	if !c.leads() {
		c.replyUnavailable(w, ErrNotLeader)
		return
	}
	l, ok := c.currentLedger(w, r)
	if !ok {
		return
	}
	list := []rolloutResponse{}
	err := c.do(r.Context(), func() {
		for _, present := range state.List[state.Rollout](l.State()) {
			list = append(list, c.rolloutResponse(present))
		}
	})
	if err != nil {
		c.replyUnavailable(w, err)
		return
	}
	admin.WriteJSON(w, http.StatusOK, list)
}

func (c *Control) rolloutResponse(present state.Rollout) rolloutResponse {
	response := rolloutResponse{Rollout: present, Since: present.Elapsed}
	r, known := c.rollouts[present.Pool]
	if !known || r.judge == nil || r.present.Version != present.Version {
		return response
	}
	if present.Phase == state.RolloutRunning {
		response.Since = state.Duration(r.elapsed(c.options.Clock.Now()).Round(time.Millisecond))
	}
	for _, e := range r.judge.Evidence() {
		response.Evidence = append(response.Evidence, routeResponse{e.Route, newStatsResponse(e.New), newStatsResponse(e.Other)})
	}
	return response
}

// deleteRollout rolls back a running roll-out. The path names its version, so that a late request
// does not end another one.
func (c *Control) deleteRollout(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), acceptTimeout)
	defer cancel()
	err := c.StopRollout(ctx, r.PathValue("pool"), r.PathValue("version"), author(r))
	if errors.Is(err, ErrNoRollout) {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	if err != nil {
		c.replyUnavailable(w, err)
		return
	}
	admin.WriteJSON(w, http.StatusOK, struct{}{})
}

// StopRollout rolls back the roll-out of a pool to a version, if it is running. It returns
// ErrNoRollout unless that is how it ended.
func (c *Control) StopRollout(ctx context.Context, pool, version, author string) error {
	for {
		current, err := c.Current(ctx)
		if err != nil {
			return err
		}
		r, ok := state.Get[state.Rollout](current.State(), pool)
		switch {
		case !ok || r.Version != version || r.Phase == state.RolloutCompleted:
			return ErrNoRollout
		case r.Phase == state.RolloutRolledBack:
			return nil
		}
		record, _ := current.State().Record(r.Ref())
		next := r.WithStep(state.RolloutRolledBack, 0, time.Duration(r.Elapsed), "stopped by "+author)
		err = c.proposeObject(ctx, next, author, unchangedSince(record.Index))
		c.recordOrder(next, err)
		if !errors.Is(err, ErrOvertaken) { // the leader has just changed the share
			return err
		}
	}
}
