package caller

import (
	"context"
	"sync"
)

// flight counts the requests under way by kind and lets none in while the entry drains.
type flight struct {
	mu       sync.Mutex
	draining bool
	kinds    map[string]int
	total    int
	// empty is closed when draining and nothing is under way.
	empty chan struct{}
}

func (f *flight) init() {
	if f.kinds == nil {
		f.kinds, f.empty = make(map[string]int), make(chan struct{})
	}
}

// enter lets a request in; each that was let in must leave.
func (f *flight) enter(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if f.draining {
		return false
	}
	f.kinds[kind]++
	f.total++
	return true
}

func (f *flight) leave(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kinds[kind]--
	f.total--
	f.signal()
}

func (f *flight) signal() {
	if !f.draining || f.total > 0 {
		return
	}
	select {
	case <-f.empty:
	default:
		close(f.empty)
	}
}

func (f *flight) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// drain lets nothing more in, waits until nothing is under way or ctx ends, and returns what still is.
func (f *flight) drain(ctx context.Context) map[string]int {
	f.mu.Lock()
	f.init()
	f.draining = true
	f.signal()
	f.mu.Unlock()
	select {
	case <-f.empty:
	case <-ctx.Done():
	}
	return f.underWay()
}

// underWay returns the number of requests under way by kind.
func (f *flight) underWay() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := make(map[string]int)
	for kind, n := range f.kinds {
		if n > 0 {
			left[kind] = n
		}
	}
	return left
}
