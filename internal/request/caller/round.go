package caller

import (
	"context"
	"time"
)

// roundInterval is the time between two rounds over the endpoints.
const roundInterval = 50 * time.Millisecond

// waitForNextRound waits before another round over the endpoints, after a round whose last attempt ended with f. It returns
// false if the failure is not of a kind that soon passes, if the time to wait for that kind has passed since the arrival of the
// request, or if ctx ends.
func (h *Handler) waitForNextRound(ctx context.Context, receivedAt time.Time, f *failure) bool {
	maxWait := time.Duration(-1)
	switch f.reason {
	case "NoEndpoint", "Draining":
		maxWait = h.UnavailableWait
	case "SuspectRunning", "WrongVersion":
		maxWait = h.BlockedWait
	}
	if time.Since(receivedAt) >= maxWait {
		return false
	}
	timer := time.NewTimer(roundInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
