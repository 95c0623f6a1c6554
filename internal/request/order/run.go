package order

import (
	"context"
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/claim"
	"primrosecourse/pkg/wire"
)

// sweepsPerRetention is the number of sweeps for expired records within one retention period.
const sweepsPerRetention = 24

// run takes the shard over when requested and writes its log. It returns when workCtx is done, or when flush is closed
// and nothing remains to be written.
func (s *shard) run(workCtx context.Context, flush <-chan struct{}) {
	sweep := time.NewTicker(max(s.owner.Retention/sweepsPerRetention, time.Second))
	defer sweep.Stop()
	retry := time.NewTimer(0)
	defer retry.Stop()
	defer s.abortPending()
	flushing := false
	for {
		if wait := s.processPending(workCtx, flushing); wait > 0 {
			retry.Reset(wait)
		}
		if flushing && s.flushed() {
			return
		}
		select {
		case <-workCtx.Done():
			return
		case <-flush:
			flushing, flush = true, nil
		case <-s.wake:
		case <-retry.C:
		case <-sweep.C:
			s.expireRecords(workCtx)
		}
	}
}

// processPending takes the shard over if that was requested and commits the pending records. It returns how long to
// wait before the next write, or 0 if no write is planned. While flushing, records are not delayed for batching.
func (s *shard) processPending(workCtx context.Context, flushing bool) (wait time.Duration) {
	for workCtx.Err() == nil {
		s.mu.Lock()
		takeoverDone, owned, pendingCount := s.takeoverDone, s.owned, len(s.pending)
		wait = time.Until(s.retryAt)
		if !flushing {
			wait = max(wait, s.batchDelay())
		}
		s.mu.Unlock()
		switch {
		case takeoverDone != nil:
			if !owned && !time.Now().Before(s.retryTime()) {
				s.takeover(workCtx)
			}
			s.mu.Lock()
			s.takeoverDone = nil
			s.mu.Unlock()
			close(takeoverDone)
		case !owned || pendingCount == 0:
			return 0
		case wait > 0:
			return wait
		default:
			s.commit(workCtx)
		}
	}
	return 0
}

// batchDelay returns how long to wait for a claim that can be written together with the pending records. It is 0 if a
// claim is pending.
func (s *shard) batchDelay() time.Duration {
	for _, p := range s.pending {
		if p.execution != nil {
			return 0
		}
	}
	// While at least half of the write burst is left, there is no need to save writes, and a result that is written at
	// once survives a crash of this agent.
	if len(s.pending) == 0 || 2*s.owner.writeLimiter.Tokens() >= float64(s.owner.writeLimiter.Burst()) {
		return 0
	}
	return time.Until(s.pending[0].record.At.Add(s.owner.CompleteDelay))
}

// retryTime returns retryAt. It locks the shard.
func (s *shard) retryTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryAt
}

// flushed reports whether nothing is left to write: no record is pending, or the shard is not owned.
func (s *shard) flushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.owned || len(s.pending) == 0
}

// abortPending refuses the orders of pending claims and wakes the attempts that wait for a takeover. It is called
// when the goroutine of run stops.
func (s *shard) abortPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pending {
		if p.execution != nil {
			s.endUnsent(p.execution, refusal(wire.NotRun, wire.ReasonDraining, "the agent stops"))
		}
	}
	if s.takeoverDone != nil {
		close(s.takeoverDone)
		s.takeoverDone = nil
	}
}

// awaitTakeover requests a takeover of the shard and waits until the request has been handled, whether or not the shard
// is owned then. It returns a refusal if the caller's attempt or the work of the owner ends first.
func (s *shard) awaitTakeover(ctx context.Context, deadline time.Time) wire.Message {
	s.mu.Lock()
	if s.takeoverDone == nil {
		s.takeoverDone = make(chan struct{})
		s.signal()
	}
	takeoverDone := s.takeoverDone
	s.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-takeoverDone:
		if s.owner.workCtx.Err() != nil {
			return refusal(wire.NotRun, wire.ReasonDraining, "the agent stops")
		}
		return nil
	case <-s.owner.workCtx.Done():
		return refusal(wire.NotRun, wire.ReasonDraining, "the agent stops")
	case <-timer.C:
		return refusal(wire.NotRun, wire.ReasonDeadline, "the claim log was not read in time")
	case <-ctx.Done():
		return refusal(wire.NotRun, wire.ReasonCancelled, "ended before the claim log was read")
	}
}

// expireRecords removes orders whose last record is older than the retention from the index, and deletes the
// oldest sealed segments, up to the first one with a record that is not older than the retention.
func (s *shard) expireRecords(ctx context.Context) {
	s.mu.Lock()
	now := time.Now()
	var expired []claim.Sealed
	if s.owned {
		s.index.Expire(now, s.owner.Retention)
		s.updateIndexedOrders()
		expired = s.sealed[:claim.Expired(s.sealed, now, s.owner.Retention)]
	}
	s.mu.Unlock()
	deleted := 0
	for _, segment := range expired {
		ctx, cancel := context.WithTimeout(ctx, s.owner.PlatformTimeout)
		err := s.owner.Platform.Delete(ctx, claim.ObjectKind, claim.Name(s.service, s.number, segment.Number), segment.Version)
		cancel()
		if err != nil && !isVersionMismatch(err) {
			break // retried by the next sweep
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
