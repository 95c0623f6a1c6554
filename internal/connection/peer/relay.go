package peer

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosecourse/pkg/wire"
)

const (
	// maxMarks bounds the table of marks that were relayed.
	maxMarks = 4096
	// maxMarkEndpoints and maxMarkTime bound what a single mark may say.
	maxMarkEndpoints = 64
	maxMarkTime      = time.Hour
)

// Relay passes marks on between all connections of a process, servers' and clients' alike. It is safe for concurrent
// use.
type Relay struct {
	// OnMark is called once with each mark that a peer sent. It must not block. Set before use.
	OnMark func(wire.Mark)

	mu       sync.Mutex
	sessions map[*session]struct{}
	// seen holds the marks that were relayed by their hash.
	seen map[uint64]relayed
}

// relayed is a mark with the time at which it ends.
type relayed struct {
	mark   wire.Mark
	expiry time.Time
}

// Publish sends a mark of this process to all peers, unless it was relayed before.
func (r *Relay) Publish(mark wire.Mark) { r.spread(mark, nil) }

func (r *Relay) receive(mark wire.Mark, from *session) {
	if r.spread(mark, from) && r.OnMark != nil {
		r.OnMark(mark)
	}
}

// spread tells whether the mark is new, and then sends it to all sessions but the one it came from.
func (r *Relay) spread(mark wire.Mark, from *session) (fresh bool) {
	if mark.Remaining <= 0 || len(mark.Endpoints) > maxMarkEndpoints {
		return false
	}
	key := markKey(mark)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if known, ok := r.seen[key]; ok && now.Before(known.expiry) {
		return false
	}
	if len(r.seen) >= maxMarks {
		for k, known := range r.seen {
			if !now.Before(known.expiry) {
				delete(r.seen, k)
			}
		}
		// A full table drops the new mark: forgetting one that still circulates could relay it without end.
		if len(r.seen) >= maxMarks {
			return false
		}
	}
	if r.seen == nil {
		r.seen = map[uint64]relayed{}
	}
	r.seen[key] = relayed{mark, now.Add(min(mark.Remaining, maxMarkTime))}
	for s := range r.sessions {
		if s != from {
			s.enqueue(mark)
		}
	}
	return true
}

// markKey hashes the fingerprint and the set of endpoints. The time left is not part of it, since it falls on the way.
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

// add returns the marks that were relayed before, for the peer of a new session: it may have missed them while it had no
// connection.
func (r *Relay) add(s *session) (marks []wire.Mark) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, known := range r.seen {
		if left := known.expiry.Sub(now); left > 0 {
			known.mark.Remaining = left
			marks = append(marks, known.mark)
		}
	}
	if r.sessions == nil {
		r.sessions = map[*session]struct{}{}
	}
	r.sessions[s] = struct{}{}
	return marks
}

func (r *Relay) remove(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sessions, s)
}
