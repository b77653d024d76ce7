package proxy

import (
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/dottereldeal/dottereldeal/guard"
	"github.com/dottereldeal/dottereldeal/health"
)

// logRefusal logs why a request is refused or ended, with the configuration that led to
// the decision.
func (x *exchange) logRefusal(p problem) {
	x.handler.options.Logger.LogAttrs(x.request.Context(), slog.LevelWarn, "request refused",
		append(x.attrs(), slog.Int("status", p.status), slog.String("reason", p.kind), slog.String("detail", p.detail),
			slog.String("cause", p.cause), slog.String("outcome", string(p.outcome)), slog.Duration("retry-after", p.retryAfter))...)
}

// logAttempt logs the result of an attempt at a backend server.
func (a *attempt) logAttempt(kind health.Kind, latency time.Duration, detail string) {
	level := slog.LevelInfo
	if kind == health.OK {
		level = slog.LevelDebug
	}
	x := a.exchange
	x.handler.options.Logger.LogAttrs(x.request.Context(), level, "attempt ended",
		append(x.attrs(), slog.String("target", a.choice.Target.Name), slog.Uint64("boot", a.choice.Target.Boot),
			slog.String("result", string(kind)), slog.String("relay", a.relay()), slog.Duration("latency", latency), slog.String("detail", detail))...)
}

// maxStackBytes bounds the stack in the line of a panic; its first frames tell the cause.
const maxStackBytes = 2 << 10

// notePanic counts and logs a panic while a request was handled.
func (x *exchange) notePanic(cause any) {
	x.handler.metrics.panics.Inc()
	stack := debug.Stack()
	x.handler.options.Logger.LogAttrs(x.request.Context(), slog.LevelError, "request panicked",
		append(x.attrs(), slog.Any("cause", cause), slog.String("stack", string(stack[:min(len(stack), maxStackBytes)])))...)
}

// relay returns the VM through which the attempt's connection leads, or an empty string.
func (a *attempt) relay() string {
	if a.conn == nil {
		return ""
	}
	if conn, relayed := a.conn.Conn.Conn.(interface{ Relay() string }); relayed {
		return conn.Relay()
	}
	return ""
}

// attrs returns the attributes that identify the request and its configuration.
func (x *exchange) attrs() []slog.Attr {
	attrs := make([]slog.Attr, 0, 13)
	if name := x.handler.options.Headers.RequestID; name != "" {
		attrs = append(attrs, slog.String("request", x.request.Header.Get(name)))
	}
	if x.route != nil {
		attrs = append(attrs, slog.String("route", x.route.Name))
	}
	if x.workspace != nil {
		attrs = append(attrs, slog.String("workspace", x.workspace.Name))
	}
	if print := x.fingerprint(); print != (guard.Print{}) {
		attrs = append(attrs, slog.String("print", print.String()))
	}
	if x.config != nil {
		attrs = append(attrs, slog.Uint64("state", x.config.State.Index()))
	}
	return append(attrs, slog.Duration("age", x.handler.options.Clock.Now().Sub(x.receivedAt)))
}

// logNoRetry logs why a request that could be retried or hedged is not.
func (x *exchange) logNoRetry(reason, why string) {
	x.handler.options.Logger.LogAttrs(x.request.Context(), slog.LevelInfo, "no further attempt",
		append(x.attrs(), slog.String("reason", reason), slog.String("detail", why))...)
}
