package order

import (
	"context"
	"sync"
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/claim"
	"primrosecourse/pkg/wire"
)

const (
	// minRetryAfter keeps callers from adding load to a platform or service that just failed.
	minRetryAfter = time.Second
	// A shard that fails to write waits between these bounds, doubling, and refuses new orders meanwhile.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxUnsent bounds the claims remembered as certainly not sent. One that is forgotten has an unknown outcome.
	maxUnsent = 4096
	// maxTries bounds how often an order takes its shard again from an owner that believes to be preferred as well.
	maxTries = 3
)

// pending is a record that waits for its commit. A Claimed record has a flight.
type pending struct {
	record claim.Record
	flight *flight
}

// unsent is a claim of this incarnation that was certainly not sent, but is or may come to be in the log.
type unsent struct {
	claimed claim.Record
	// queued is set while its Abandoned record is pending.
	queued bool
}

// shard is one claim log. Its own goroutine is the only one that writes the log.
type shard struct {
	owner *Owner
	// service names the plain service whose orders the log holds.
	service string
	number  int
	wake    chan struct{}

	mu       sync.Mutex
	attempts int
	owned    bool
	tail     claim.Tail
	index    *claim.Index
	// counted is the part of Owner.records that stands for index.
	counted int
	sealed  []claim.Sealed
	flights map[claim.Key]*flight
	unsent  map[claim.Nonce]*unsent
	pending []pending
	// confirmed is when the platform last confirmed the ownership.
	confirmed time.Time
	retryAt   time.Time
	backoff   time.Duration
	// taking is not nil while somebody wants the shard taken; it is closed when the attempt ended.
	taking chan struct{}
}

func newShard(o *Owner, service string, number int) *shard {
	return &shard{
		owner:   o,
		service: service,
		number:  number,
		wake:    make(chan struct{}, 1),
		index:   &claim.Index{},
		flights: map[claim.Key]*flight{},
		unsent:  map[claim.Nonce]*unsent{},
	}
}

func (s *shard) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// execute decides on one attempt.
func (s *shard) execute(ctx context.Context, r request) wire.Message {
	s.mu.Lock()
	if s.attempts >= s.owner.QueueLength {
		s.mu.Unlock()
		return refuseLater(wire.ReasonBusy, "too many orders in progress", 0)
	}
	s.attempts++
	defer func() {
		s.mu.Lock()
		s.attempts--
		s.mu.Unlock()
	}()
	s.mu.Unlock()
	for tries := 1; ; tries++ {
		f, entry, first, m := s.decide(r)
		switch {
		case m != nil:
			return m
		case f != nil:
			m = s.await(ctx, f, r.deadline, first)
			if refused, ok := m.(wire.Refused); ok && refused.Reason == wire.ReasonNotOwner && tries < maxTries {
				continue // another agent took the shard; this one takes it again if it is still preferred
			}
			return m
		case entry != nil:
			return s.replay(ctx, r.key, *entry)
		}
		if m := s.awaitOwnership(ctx, r.deadline); m != nil {
			return m
		}
	}
}

// decide returns the flight to wait for, the entry to replay, or the refusal; none of them if the shard must be taken
// first.
func (s *shard) decide(r request) (f *flight, entry *claim.Entry, first bool, m wire.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.owner.work.Err() != nil {
		return nil, nil, false, refuse(wire.NotRun, wire.ReasonDraining, "the agent stops")
	}
	if preferred := s.owner.Preferred(s.number, r.call.Unavailable); preferred != s.owner.Name {
		return nil, nil, false, wire.Refused{Outcome: wire.NotRun, Reason: wire.ReasonNotOwner, Redirect: preferred,
			Detail: "another agent owns the shard"}
	}
	if !s.owned {
		if now.Before(s.retryAt) {
			return nil, nil, false, refuseLater(wire.ReasonPlatformDown, "the claim log cannot be read", s.retryAt.Sub(now))
		}
		return nil, nil, false, nil
	}
	f = s.flights[r.key]
	switch s.index.Decide(r.key, r.digest, s.owner.Incarnation, f != nil) {
	case claim.DoRefuseReused:
		return nil, nil, false, refuseReused()
	case claim.DoReplay:
		if f == nil {
			e, _ := s.index.Get(r.key)
			return nil, &e, false, nil
		}
	case claim.DoUnknown:
		if !s.abandonUnsent(r.key) {
			return nil, nil, false, refuse(wire.OutcomeUnknown, wire.ReasonClaimedEarlier,
				"an earlier attempt claimed the order and its outcome is not known")
		}
	}
	if f != nil {
		if f.digest != r.digest {
			return nil, nil, false, refuseReused()
		}
		return f, nil, false, nil
	}
	if m := s.admit(now); m != nil {
		return nil, nil, false, m
	}
	return s.claim(r, now), nil, true, nil
}

func refuseReused() wire.Message {
	return refuse(wire.NotRun, wire.ReasonKeyReused, "the key was used for another order")
}

// admit refuses a new claim while the log cannot be written or is full.
func (s *shard) admit(now time.Time) wire.Message {
	if now.Before(s.retryAt) {
		return refuseLater(wire.ReasonPlatformDown, "the claim log cannot be written", s.retryAt.Sub(now))
	}
	if s.owner.records.Load() >= int64(s.owner.MaxRecords) {
		return refuseLater(wire.ReasonBusy, "the claim log is full", time.Minute)
	}
	if len(s.flights) >= s.owner.QueueLength {
		return refuseLater(wire.ReasonBusy, "too many orders in progress", 0)
	}
	return nil
}

// claim is the step Claim: it queues the Claimed record of a new flight.
func (s *shard) claim(r request, now time.Time) *flight {
	s.owner.hold()
	f := &flight{request: r, done: make(chan struct{})}
	f.claimed = claim.NewClaim(r.key, r.digest, s.owner.nonce(), now)
	s.flights[r.key] = f
	s.pending = append(s.pending, pending{record: f.claimed, flight: f})
	s.signal()
	return f
}

// abandonUnsent queues the Abandoned record of the claim of key if this incarnation knows that it did not send it.
func (s *shard) abandonUnsent(key claim.Key) bool {
	e, _ := s.index.Get(key)
	u, ok := s.unsent[e.Nonce]
	if ok {
		s.queueAbandoned(u)
	}
	return ok
}

// queueAbandoned is the step Abandon.
func (s *shard) queueAbandoned(u *unsent) {
	if u.queued {
		return
	}
	u.queued = true
	s.pending = append(s.pending, pending{record: u.claimed.Abandon(time.Now())})
	s.signal()
}

// count brings Owner.records up to date after the index changed.
func (s *shard) count() {
	n := s.index.Len()
	s.owner.records.Add(int64(n - s.counted))
	s.counted = n
}

// remember notes that a claim was certainly not sent.
func (s *shard) remember(claimed claim.Record) *unsent {
	u := &unsent{claimed: claimed}
	if len(s.unsent) < maxUnsent {
		s.unsent[claimed.Nonce] = u
	}
	return u
}

// lose gives the shard up: no write of this term can take effect any more, or the owner no longer knows the log.
func (s *shard) lose(to string) {
	s.owned, s.index, s.sealed, s.tail = false, &claim.Index{}, nil, claim.Tail{}
	s.count()
	rest := s.pending
	s.pending = nil
	for _, p := range rest {
		switch p.record.Kind {
		case claim.Claimed:
			s.remember(p.record)
			s.drop(p.flight, wire.Refused{Outcome: wire.NotRun, Reason: wire.ReasonNotOwner, Redirect: to,
				Detail: "another agent took the shard"})
		case claim.Completed:
			s.remove(p.record)
			event.Info(s.owner.Log, event.OrderResultNotStored, "shard", s.number, "sequence", p.record.Nonce.Sequence)
		case claim.Abandoned:
			if u := s.unsent[p.record.Nonce]; u != nil {
				u.queued = false
			}
		}
	}
	event.Info(s.owner.Log, event.OrderShardLost, "shard", s.number, "to", to)
}

// drop ends a flight that was not sent and never will be.
func (s *shard) drop(f *flight, m wire.Message) {
	f.cancelled = true
	s.remove(f.claimed)
	f.finish(s.owner, m)
}

// remove forgets the flight of a claim.
func (s *shard) remove(r claim.Record) {
	if f := s.flights[r.Key]; f != nil && f.claimed.Nonce == r.Nonce {
		delete(s.flights, r.Key)
	}
}
