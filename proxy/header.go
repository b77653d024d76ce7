package proxy

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ownPrefix starts the headers that belong to the fleet. Callers cannot set them.
const ownPrefix = "Dottereldeal-"

// Headers names the headers between callers, entries and backend servers. An
// empty name switches off what the header is for.
type Headers struct {
	// Workspace tells a backend server the workspace of a request.
	Workspace string
	// Deadline tells a backend server the milliseconds left for a request.
	Deadline string
	// CallerDeadline is where a caller states how many milliseconds it waits.
	CallerDeadline string
	// Target names the backend server that a request is meant for.
	Target string
	// RequestID names the request. A backend server repeats it on its answer.
	RequestID string
	// OriginProof is on every answer that a backend server itself made. A success
	// without it is not passed on.
	OriginProof string
	// Shed marks the answer of a backend server that did not run the request.
	Shed string
	// Load is the part of its slots that a backend server uses, on answers.
	Load string
	// Phase is a backend server's phase, on answers.
	Phase string
}

// DefaultHeaders are the fleet's own headers.
func DefaultHeaders() Headers {
	return Headers{
		Workspace: WorkspaceHeader, Deadline: DeadlineHeader, Target: TargetHeader,
		Shed: ShedHeader, Load: LoadHeader, Phase: PhaseHeader,
	}
}

// The fleet's own headers.
const (
	WorkspaceHeader = ownPrefix + "Workspace"
	DeadlineHeader  = ownPrefix + "Deadline-Ms"
	TargetHeader    = ownPrefix + "Target"
	ShedHeader      = ownPrefix + "Shed"
	LoadHeader      = ownPrefix + "Load"
	PhaseHeader     = ownPrefix + "Phase"
)

// reserved returns the headers that callers cannot set and do not see.
func (n Headers) reserved() []string { return []string{n.Workspace, n.Target, n.Shed, n.Load, n.Phase} }

// drop removes the reserved headers and those with the fleet's prefix.
func (n Headers) drop(h http.Header) {
	for _, name := range n.reserved() {
		h.Del(name)
	}
	for name := range h {
		if strings.HasPrefix(name, ownPrefix) {
			h.Del(name)
		}
	}
}

// set sets a header unless its name is empty.
func set(h http.Header, name, value string) {
	if name != "" {
		h.Set(name, value)
	}
}

// hopHeaders concern one connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// dropHop removes the headers that concern one connection.
func dropHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// outgoingHeader returns the headers of the request to a backend server.
func (x *exchange) outgoingHeader(left time.Duration, target string) http.Header {
	names := x.handler.options.Headers
	h := x.request.Header.Clone()
	dropHop(h)
	names.drop(h)
	h.Del("Expect")
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // keeps net/http from adding its own
	}
	if client, _, err := net.SplitHostPort(x.request.RemoteAddr); err == nil {
		if before := strings.Join(h["X-Forwarded-For"], ", "); before != "" {
			client = before + ", " + client
		}
		h.Set("X-Forwarded-For", client)
	}
	h.Set("X-Forwarded-Host", x.request.Host)
	set(h, names.Deadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	set(h, names.Target, target)
	if x.workspace != nil {
		set(h, names.Workspace, x.workspace.Name)
	}
	return h
}

// answerHeader returns the headers of the answer to the caller.
func (n Headers) answerHeader(h http.Header) http.Header {
	out := h.Clone()
	dropHop(out)
	n.drop(out)
	return out
}
