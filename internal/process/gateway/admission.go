package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"primrosecourse/internal/connection/front"
	"primrosecourse/internal/event"
	"primrosecourse/internal/process/budget"
)

// internalHeaderBytes limits the headers on the ports for other gateways and for metrics, whose clients send a few hundred bytes.
const internalHeaderBytes = 16 << 10

// refusal returns the header and the body of the response to a request that is refused before it is handled. A 503 states when to come back.
func (g *Gateway) refusal(status int, reason string) (header http.Header, body []byte) {
	header, body = front.PlainRefusal(reason)
	if status == http.StatusServiceUnavailable {
		maps.Copy(header, g.Codec.Refusal("", minRetryAfter+rand.N(minRetryAfter)))
	}
	return header, body
}

// recordShed counts a connection or request that was refused because it exceeds the budget. It logs at most one of them in
// shedLogInterval.
func (g *Gateway) recordShed(what front.Excess) {
	g.recordShedAs(what.String(), g.Settings.Budget())
}

// recordReadinessShed is recordShed for the readiness port.
func (g *Gateway) recordReadinessShed(what front.Excess) {
	g.recordShedAs("Readiness."+what.String(), g.Settings.Budget().Readiness())
}

func (g *Gateway) recordShedAs(what string, b budget.Budget) {
	metrics.GetOrRegisterCounter("Shed."+what, g.Metrics).Inc(1)
	now := time.Now().UnixNano()
	if last := g.lastShedLogNanos.Load(); now-last >= int64(shedLogInterval) && g.lastShedLogNanos.CompareAndSwap(last, now) {
		event.Info(g.Log, event.GatewayOverloaded, "what", what, "connections", b.Connections,
			"heldBytes", b.HeldBytes)
	}
}

// readinessHandler answers the readiness checks of the load balancer.
type readinessHandler struct{ gateway *Gateway }

// Handle implements front.Handler.
func (h readinessHandler) Handle(_ context.Context, r *front.Request, w *front.Writer) {
	g, status := h.gateway, http.StatusOK
	switch {
	case r.Path != g.ReadyPath:
		status = http.StatusNotFound
	case g.draining.Load() || !g.Registry.Complete():
		status = http.StatusServiceUnavailable
	}
	// An error means that the balancer has left, which the server sees.
	_ = w.Answer(status, http.Header{}, nil)
}
