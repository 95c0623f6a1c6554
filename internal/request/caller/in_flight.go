package caller

import (
	"context"
	"sync"
)

// inFlight counts the requests in progress by kind and rejects new ones once the entry drains.
type inFlight struct {
	mu       sync.Mutex
	draining bool
	byKind   map[string]int
	total    int
	// drained is closed once the entry drains and no request is in progress.
	drained chan struct{}
}

func (f *inFlight) init() {
	if f.byKind == nil {
		f.byKind, f.drained = make(map[string]int), make(chan struct{})
	}
}

// begin counts a new request, or returns false if the entry drains. Each request that begin counted must be passed to end.
func (f *inFlight) begin(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if f.draining {
		return false
	}
	f.byKind[kind]++
	f.total++
	return true
}

func (f *inFlight) end(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byKind[kind]--
	f.total--
	f.closeIfDrained()
}

func (f *inFlight) closeIfDrained() {
	if !f.draining || f.total > 0 {
		return
	}
	select {
	case <-f.drained:
	default:
		close(f.drained)
	}
}

func (f *inFlight) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// drain rejects new requests, waits until none is in progress or ctx ends, and returns the remaining ones by kind.
func (f *inFlight) drain(ctx context.Context) map[string]int {
	f.mu.Lock()
	f.init()
	f.draining = true
	f.closeIfDrained()
	f.mu.Unlock()
	select {
	case <-f.drained:
	case <-ctx.Done():
	}
	return f.counts()
}

// counts returns the number of requests in progress by kind.
func (f *inFlight) counts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining := make(map[string]int)
	for kind, n := range f.byKind {
		if n > 0 {
			remaining[kind] = n
		}
	}
	return remaining
}
