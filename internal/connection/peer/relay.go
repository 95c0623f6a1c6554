package peer

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosecourse/pkg/wire"
)

const (
	// maxSeenMarks limits the number of forwarded marks that a Relay remembers.
	maxSeenMarks = 4096
	// maxMarkEndpoints limits the endpoints of a mark; a mark with more is dropped.
	maxMarkEndpoints = 64
	// maxMarkLifetime limits how long a forwarded mark is remembered, even if its remaining time is longer.
	maxMarkLifetime = time.Hour
)

// Relay forwards marks between all connections of a process, both of its server and of its clients. A mark identifies a
// request that was running when an endpoint crashed. Relay is safe for concurrent use.
type Relay struct {
	// OnMark is called with each mark that a peer sends, unless the Relay drops it or has forwarded it before and it has not
	// expired since. It must not block, and must be set before the first use of the Relay; it may be nil.
	OnMark func(wire.Mark)

	mu       sync.Mutex
	sessions map[*session]struct{}
	// seen contains the forwarded marks by their markKey.
	seen map[uint64]seenMark
}

// seenMark is a forwarded mark with its expiry time.
type seenMark struct {
	mark   wire.Mark
	expiry time.Time
}

// Publish sends a mark of this process to all peers, unless the mark is dropped or was forwarded before and has not expired.
func (r *Relay) Publish(mark wire.Mark) { r.relay(mark, nil) }

func (r *Relay) receive(mark wire.Mark, from *session) {
	if r.relay(mark, from) && r.OnMark != nil {
		r.OnMark(mark)
	}
}

// relay sends a new mark to all sessions except the one that it came from, and reports whether it did. A mark that has expired
// or has too many endpoints, and a new mark for which the table of seen marks has no room, are dropped.
func (r *Relay) relay(mark wire.Mark, from *session) (sent bool) {
	if mark.Remaining <= 0 || len(mark.Endpoints) > maxMarkEndpoints {
		return false
	}
	key := markKey(mark)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if seen, ok := r.seen[key]; ok && now.Before(seen.expiry) {
		return false
	}
	if len(r.seen) >= maxSeenMarks {
		for k, seen := range r.seen {
			if !now.Before(seen.expiry) {
				delete(r.seen, k)
			}
		}
		// The new mark is dropped when the table is full: if an older mark were evicted while peers still forward it, it
		// could circulate for ever.
		if len(r.seen) >= maxSeenMarks {
			return false
		}
	}
	if r.seen == nil {
		r.seen = map[uint64]seenMark{}
	}
	r.seen[key] = seenMark{mark, now.Add(min(mark.Remaining, maxMarkLifetime))}
	for s := range r.sessions {
		if s != from {
			s.enqueue(mark)
		}
	}
	return true
}

// markKey returns a hash of the fingerprint and the set of endpoints. The remaining time is not part of the hash, since it
// decreases with each hop.
func markKey(mark wire.Mark) uint64 {
	endpoints := slices.Clone(mark.Endpoints)
	slices.Sort(endpoints)
	h := xxhash.New()
	var b [8]byte
	for i := range b {
		b[i] = byte(mark.Fingerprint >> (8 * i))
	}
	_, _ = h.Write(b[:])
	for _, name := range endpoints {
		_, _ = h.WriteString(name)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// addSession registers a session and returns the marks that were forwarded before and have not expired. The peer may have
// missed them while it had no connection.
func (r *Relay) addSession(s *session) (marks []wire.Mark) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, seen := range r.seen {
		if remaining := seen.expiry.Sub(now); remaining > 0 {
			seen.mark.Remaining = remaining
			marks = append(marks, seen.mark)
		}
	}
	if r.sessions == nil {
		r.sessions = map[*session]struct{}{}
	}
	r.sessions[s] = struct{}{}
	return marks
}

func (r *Relay) removeSession(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sessions, s)
}
