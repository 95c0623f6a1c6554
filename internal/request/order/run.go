package order

import (
	"context"
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/claim"
	"primrosecourse/pkg/wire"
)

// sweepsPerRetention is how often within the retention a shard looks for expired records.
const sweepsPerRetention = 24

// run writes the log until work is done, or until flush is closed and nothing is pending.
func (s *shard) run(work context.Context, flush <-chan struct{}) {
	sweep := time.NewTicker(max(s.owner.Retention/sweepsPerRetention, time.Second))
	defer sweep.Stop()
	retry := time.NewTimer(0)
	defer retry.Stop()
	defer s.abort()
	flushing := false
	for {
		if wait := s.step(work, flushing); wait > 0 {
			retry.Reset(wait)
		}
		if flushing && s.settled() {
			return
		}
		select {
		case <-work.Done():
			return
		case <-flush:
			flushing, flush = true, nil
		case <-s.wake:
		case <-retry.C:
		case <-sweep.C:
			s.expire(work)
		}
	}
}

// step takes the shard if somebody wants it, and commits what is pending, with flushing at once. It returns the time
// until the next try.
func (s *shard) step(work context.Context, flushing bool) (wait time.Duration) {
	for work.Err() == nil {
		s.mu.Lock()
		taking, owned, pending := s.taking, s.owned, len(s.pending)
		wait = time.Until(s.retryAt)
		if !flushing {
			wait = max(wait, s.groupingTime())
		}
		s.mu.Unlock()
		switch {
		case taking != nil:
			if !owned && !time.Now().Before(s.retryAfter()) {
				s.takeover(work)
			}
			s.mu.Lock()
			s.taking = nil
			s.mu.Unlock()
			close(taking)
		case !owned || pending == 0:
			return 0
		case wait > 0:
			return wait
		default:
			s.commit(work)
		}
	}
	return 0
}

// groupingTime returns how long the pending records may wait for a claim to join.
func (s *shard) groupingTime() time.Duration {
	for _, p := range s.pending {
		if p.flight != nil {
			return 0
		}
	}
	// With half of the burst left there are writes to spare, and a result that is recorded at once survives a crash.
	if len(s.pending) == 0 || 2*s.owner.writes.Tokens() >= float64(s.owner.writes.Burst()) {
		return 0
	}
	return time.Until(s.pending[0].record.At.Add(s.owner.CompleteDelay))
}

func (s *shard) retryAfter() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryAt
}

func (s *shard) settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.owned || len(s.pending) == 0
}

// abort ends what the goroutine of the shard leaves behind.
func (s *shard) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pending {
		if p.flight != nil {
			s.drop(p.flight, refuse(wire.NotRun, wire.ReasonDraining, "the agent stops"))
		}
	}
	if s.taking != nil {
		close(s.taking)
		s.taking = nil
	}
}

// awaitOwnership waits until an attempt to take the shard ended. It returns a refusal if the caller ends first.
func (s *shard) awaitOwnership(ctx context.Context, deadline time.Time) wire.Message {
	s.mu.Lock()
	if s.taking == nil {
		s.taking = make(chan struct{})
		s.signal()
	}
	taking := s.taking
	s.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-taking:
		if s.owner.work.Err() != nil {
			return refuse(wire.NotRun, wire.ReasonDraining, "the agent stops")
		}
		return nil
	case <-s.owner.work.Done():
		return refuse(wire.NotRun, wire.ReasonDraining, "the agent stops")
	case <-timer.C:
		return refuse(wire.NotRun, wire.ReasonDeadline, "the claim log was not read in time")
	case <-ctx.Done():
		return refuse(wire.NotRun, wire.ReasonCancelled, "ended before the claim log was read")
	}
}

// expire forgets the orders whose records are older than the retention, and deletes their segments.
func (s *shard) expire(ctx context.Context) {
	s.mu.Lock()
	now := time.Now()
	var old []claim.Sealed
	if s.owned {
		s.index.Expire(now, s.owner.Retention)
		s.count()
		old = s.sealed[:claim.Expired(s.sealed, now, s.owner.Retention)]
	}
	s.mu.Unlock()
	deleted := 0
	for _, segment := range old {
		ctx, cancel := context.WithTimeout(ctx, s.owner.PlatformTimeout)
		err := s.owner.Platform.Delete(ctx, claim.ObjectKind, claim.Name(s.service, s.number, segment.Number), segment.Version)
		cancel()
		if err != nil && !gone(err) {
			break // the next sweep tries again
		}
		deleted++
	}
	if deleted == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owned && len(s.sealed) >= deleted {
		s.sealed = s.sealed[deleted:]
	}
	event.Info(s.owner.Log, event.OrderSegmentsExpired, "shard", s.number, "segments", deleted)
}
