package caller

import (
	"context"
	"sync"
)

// activeRequests counts the requests in progress by kind and refuses new ones once the entry drains.
type activeRequests struct {
	mu       sync.Mutex
	draining bool
	byKind   map[string]int
	total    int
	// drained is closed once the entry drains and no request is in progress.
	drained chan struct{}
}

func (a *activeRequests) init() {
	if a.byKind == nil {
		a.byKind, a.drained = make(map[string]int), make(chan struct{})
	}
}

// begin counts a new request, or returns false if the entry drains. For each request that begin counted, end must be called
// with the same kind.
func (a *activeRequests) begin(kind string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	if a.draining {
		return false
	}
	a.byKind[kind]++
	a.total++
	return true
}

func (a *activeRequests) end(kind string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byKind[kind]--
	a.total--
	a.closeIfDrained()
}

func (a *activeRequests) closeIfDrained() {
	if !a.draining || a.total > 0 {
		return
	}
	select {
	case <-a.drained:
	default:
		close(a.drained)
	}
}

func (a *activeRequests) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// drain refuses new requests, waits until none is in progress or ctx ends, and returns the number of the remaining ones
// by kind.
func (a *activeRequests) drain(ctx context.Context) map[string]int {
	a.mu.Lock()
	a.init()
	a.draining = true
	a.closeIfDrained()
	a.mu.Unlock()
	select {
	case <-a.drained:
	case <-ctx.Done():
	}
	return a.counts()
}

// counts returns the number of requests in progress by kind.
func (a *activeRequests) counts() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	remaining := make(map[string]int)
	for kind, n := range a.byKind {
		if n > 0 {
			remaining[kind] = n
		}
	}
	return remaining
}
