package gateway

import (
	"strings"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"primrosecourse/internal/connection/front"
	"primrosecourse/internal/event"
)

const (
	// endsPerSecond bounds the log lines on connections that ended without a complete response, and endsBurst those at once.
	endsPerSecond = 20
	endsBurst     = 200
)

// endLimiter bounds the log lines on the ends of connections and counts those that it suppresses.
type endLimiter struct {
	limiter    *rate.Limiter
	suppressed atomic.Int64
}

// recordEnd counts the end of a caller's connection. It logs the end if a request, or a part of one, ended without a complete response.
func (g *Gateway) recordEnd(e front.End) {
	metrics.GetOrRegisterCounter("Connections."+e.Ending.String(), g.Metrics).Inc(1)
	if !e.Ending.Lossy() {
		return
	}
	if !g.ends.limiter.Allow() {
		g.ends.suppressed.Add(1)
		return
	}
	id, target := "", ""
	if e.Request != nil {
		target = e.Request.Path
		if meta, err := g.Codec.ParseRequest(e.Request.Header); err == nil {
			id = meta.ID
		}
	}
	reason := ""
	if e.Err != nil {
		reason = strings.TrimSpace(e.Err.Error())
	}
	details := []any{"request", id, "ending", e.Ending.String(), "path", target, "started", e.Started, "reason", reason,
		"suppressed", g.ends.suppressed.Swap(0)}
	if e.Ending == front.Panicked {
		event.Error(g.Log, e.Err, event.ConnectionEnded, details...)
		return
	}
	event.Info(g.Log, event.ConnectionEnded, details...)
}
