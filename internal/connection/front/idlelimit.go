package front

import (
	"sync"
	"time"
)

// limitRetention is how long callers may rely on a longer idle timeout after the server has learned a shorter one. They learn of a
// configuration at another time than the server.
const limitRetention = 10 * time.Second

// idleLimit is the time for which connections may stay idle. It is raised at once and lowered after limitRetention. The zero value is
// ready to use.
type idleLimit struct {
	mu    sync.Mutex
	limit time.Duration
	// shorterSince is when a shorter limit was first seen, zero if none was.
	shorterSince time.Time
}

// update returns the limit at a time at which the configuration in force states current.
func (l *idleLimit) update(now time.Time, current time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case current >= l.limit:
		l.limit, l.shorterSince = current, time.Time{}
	case l.shorterSince.IsZero():
		l.shorterSince = now
	case now.Sub(l.shorterSince) >= limitRetention:
		l.limit, l.shorterSince = current, time.Time{}
	}
	return l.limit
}
