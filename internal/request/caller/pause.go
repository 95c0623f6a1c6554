package caller

import (
	"context"
	"time"
)

// pauseTime is the time between two rounds over the endpoints.
const pauseTime = 50 * time.Millisecond

// pause waits before another round over the endpoints, for a request that no endpoint of the last one ran. It reports
// false if the refusal is not one that passes soon, or if the request has waited long enough.
func (h *Handler) pause(ctx context.Context, begun time.Time, f *refusal) bool {
	patience := time.Duration(-1)
	switch f.reason {
	case "NoEndpoint", "Draining":
		patience = h.ReachPatience
	case "SuspectRunning", "WrongVersion":
		patience = h.TurnPatience
	}
	if time.Since(begun) >= patience {
		return false
	}
	timer := time.NewTimer(pauseTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
