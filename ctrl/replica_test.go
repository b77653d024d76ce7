package ctrl

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/quorum"
)

// Guards against a replica that is removed or replaced by a call which was held up: another
// replica has come to the VM after the caller of that call left.
func TestLateRemovalLeavesTheNextReplicaOfItsVM(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g, leader, other := newCompleteGroup(t)
	call := func(method, target string) *httptest.ResponseRecorder {
		mux := http.NewServeMux()
		mux.HandleFunc("PUT /v1/replicas/{vm}", g.nodes[leader].putReplica)
		mux.HandleFunc("DELETE /v1/replicas/{vm}", g.nodes[leader].deleteReplica)
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(method, target, nil))
		return w
	}
	identity := func() quorum.ID {
		member, _ := g.nodes[leader].status.Load().Group.ByVM(g.vm(other))
		return member.ID
	}
	path := "/v1/replicas/" + g.vm(other)
	first := call(http.MethodDelete, path)
	is.Equal(first.Code, http.StatusTemporaryRedirect)
	before := identity()

	g.stop(other)
	g.wipe(other)
	g.start(false, other)
	g.await("replica with a new disk", 15*time.Second, func() bool { return g.complete(groupSize) && identity() != before })
	leader = g.leader()
	is.Equal(call(http.MethodDelete, path).Code, http.StatusTemporaryRedirect)                             // the first call, late
	is.Equal(call(http.MethodDelete, first.Header().Get("Location")).Code, http.StatusUnprocessableEntity) // the second
	is.Equal(call(http.MethodPut, path+"?id="+formatID(before)).Code, http.StatusUnprocessableEntity)
	is.True(g.complete(groupSize))

	now := call(http.MethodDelete, path)
	is.Equal(now.Code, http.StatusTemporaryRedirect)
	is.Equal(call(http.MethodDelete, now.Header().Get("Location")).Code, http.StatusOK)
}
