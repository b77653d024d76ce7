package proxy

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// headerPrefix is the prefix of the fleet's own headers, which callers cannot set.
const headerPrefix = "Dottereldeal-"

// Headers holds the names of the headers exchanged between callers, entries and backend
// servers. An empty name disables the feature that uses the header.
type Headers struct {
	// Workspace passes the name of the request's workspace to the backend server.
	Workspace string
	// Deadline passes the remaining time in milliseconds to the backend server.
	Deadline string
	// CallerDeadline is the caller's own time-out in milliseconds.
	CallerDeadline string
	// Target passes the name of the intended backend server, so that another server at
	// the same address can reject the request.
	Target string
	// RequestID identifies the request. Backend servers copy it to their response.
	RequestID string
	// OriginProof is set on every response that a backend server itself has made. A
	// success response without it is not forwarded.
	OriginProof string
	// Shed marks a response of a backend server that did not run the request.
	Shed string
	// Load reports, on responses, the share of the backend server's slots in use.
	Load string
	// Phase reports, on responses, the backend server's phase.
	Phase string
	// Limit names, on responses, the requests per second that the backend server takes from
	// all entries together, as a decimal number.
	Limit string
	// Leaving is 1 on all responses of a backend server that is about to end.
	Leaving string
}

// DefaultHeaders returns the fleet's own header names.
func DefaultHeaders() Headers {
	return Headers{
		Workspace: WorkspaceHeader, Deadline: DeadlineHeader, Target: TargetHeader,
		Shed: ShedHeader, Load: LoadHeader, Phase: PhaseHeader, Leaving: LeavingHeader,
	}
}

// The fleet's own header names.
const (
	WorkspaceHeader = headerPrefix + "Workspace"
	DeadlineHeader  = headerPrefix + "Deadline-Ms"
	TargetHeader    = headerPrefix + "Target"
	ShedHeader      = headerPrefix + "Shed"
	LoadHeader      = headerPrefix + "Load"
	PhaseHeader     = headerPrefix + "Phase"
	LeavingHeader   = headerPrefix + "Leaving"
)

// reserved returns the headers that callers can neither set nor see.
func (n Headers) reserved() []string { return []string{n.Workspace, n.Target, n.Shed, n.Load, n.Phase} }

// removeReserved removes the reserved headers and all headers with the fleet's prefix.
func (n Headers) removeReserved(h http.Header) {
	for _, name := range n.reserved() {
		h.Del(name)
	}
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			h.Del(name)
		}
	}
}

// setHeader sets a header unless its name is empty.
func setHeader(h http.Header, name, value string) {
	if name != "" {
		h.Set(name, value)
	}
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop removes the hop-by-hop headers, including those listed in Connection.
func removeHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// outgoingHeader returns the headers of the request that is sent to a backend server.
func (x *exchange) outgoingHeader(left time.Duration, target string) http.Header {
	names := x.handler.options.Headers
	h := x.request.Header.Clone()
	removeHopByHop(h)
	names.removeReserved(h)
	h.Del("Expect")
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // prevents net/http from adding its default
	}
	if client, _, err := net.SplitHostPort(x.request.RemoteAddr); err == nil {
		if before := strings.Join(h["X-Forwarded-For"], ", "); before != "" {
			client = before + ", " + client
		}
		h.Set("X-Forwarded-For", client)
	}
	h.Set("X-Forwarded-Host", x.request.Host)
	setHeader(h, names.Deadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	setHeader(h, names.Target, target)
	if x.workspace != nil {
		setHeader(h, names.Workspace, x.workspace.Name)
	}
	return h
}

// responseHeader returns the headers of the response that is sent to the caller.
func (n Headers) responseHeader(h http.Header) http.Header {
	out := h.Clone()
	removeHopByHop(out)
	n.removeReserved(out)
	return out
}
