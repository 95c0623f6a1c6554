package order

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/platform"
	"primrosecourse/pkg/claim"
	"primrosecourse/pkg/wire"
)

// isVersionMismatch reports whether err means that the object does not have the expected version or does not exist.
func isVersionMismatch(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound)
}

// commit writes as many pending records as fit into the last segment, in one conditional update. If the outcome of the
// write is uncertain or its version is out of date, settle reads the segment again.
func (s *shard) commit(workCtx context.Context) {
	if s.owner.writeLimiter.Wait(workCtx) != nil {
		return
	}
	s.mu.Lock()
	if claim.Stale(time.Now(), s.confirmedAt, s.owner.Retention) {
		s.loseOwnership("")
	}
	s.endExpiredClaims()
	batch := make([]claim.Record, len(s.pending))
	for i, p := range s.pending {
		batch[i] = p.record
	}
	tail := s.tail
	s.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	began := time.Now()
	next, appended := tail.Segment.Append(batch)
	batch = batch[:appended]
	version, err := s.put(workCtx, claim.Tail{Number: tail.Number, Version: tail.Version, Segment: next})
	switch {
	case err == nil:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.advance(claim.Tail{Number: tail.Number, Version: version, Segment: next}, batch, began)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrRateLimited):
		s.mu.Lock()
		defer s.mu.Unlock()
		s.failCommit(err)
	default:
		s.settle(workCtx, tail, batch, err)
	}
}

func (s *shard) put(workCtx context.Context, t claim.Tail) (version uint64, err error) {
	value, err := t.Segment.Encode()
	if err != nil {
		return 0, errors.Mark(err, platform.ErrUnavailable) // ErrUnavailable, because nothing was written
	}
	ctx, cancel := context.WithTimeout(workCtx, s.owner.PlatformTimeout)
	defer cancel()
	return s.owner.Platform.Put(ctx, platform.Object{
		Kind: claim.ObjectKind, Name: claim.Name(s.service, s.number, t.Number), Version: t.Version, Value: value,
	})
}

func (s *shard) get(workCtx context.Context, number uint64) (t claim.Tail, err error) {
	ctx, cancel := context.WithTimeout(workCtx, s.owner.PlatformTimeout)
	defer cancel()
	obj, err := s.owner.Platform.Get(ctx, claim.ObjectKind, claim.Name(s.service, s.number, number))
	if err != nil {
		return claim.Tail{}, err
	}
	segment, err := claim.Decode(obj.Value)
	return claim.Tail{Number: number, Version: obj.Version, Segment: segment}, err
}

// settle reads the segment again after a write whose outcome is uncertain or whose expected version did not match. Only
// records found in the stored segment count as written.
func (s *shard) settle(workCtx context.Context, tail claim.Tail, batch []claim.Record, cause error) {
	began := time.Now()
	stored, err := s.get(workCtx, tail.Number)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, platform.ErrNotFound) && tail.Version == 0:
		s.failCommit(cause) // the segment does not exist yet
		return
	case errors.Is(err, platform.ErrNotFound):
		s.loseOwnership("")
		return
	case errors.Is(err, claim.ErrMalformed):
		event.Error(s.owner.Log, err, event.OrderSegmentMalformed, "shard", s.number, "segment", tail.Number)
		s.loseOwnership("")
		return
	case err != nil:
		s.failCommit(err)
		return
	}
	standing, durable := tail.Settle(stored.Segment, stored.Version, batch)
	switch standing {
	case claim.Pending:
		s.failCommit(cause)
	case claim.Owning:
		s.advance(stored, durable, began)
	case claim.Fenced:
		s.index.Apply(tail.Number, stored.Segment.Records)
		s.finishDurable(durable)
		s.loseOwnership(stored.Segment.Owner)
	}
}

// advance makes t, which was just written or read, the known last segment, or the segment after t if t is sealed.
// Earlier writes still in progress can no longer take effect, because the version that they expect has been replaced.
// began is a time before the platform call: if this agent pauses during the call, the pause must not count as confirmed
// ownership.
func (s *shard) advance(t claim.Tail, durable []claim.Record, began time.Time) {
	s.confirmedAt, s.backoff, s.retryAt = began, 0, time.Time{}
	s.tail = t
	s.index.Apply(t.Number, t.Segment.Records)
	if t.Segment.Sealed {
		s.sealed = append(s.sealed, claim.Sealed{Number: t.Number, Version: t.Version, Newest: t.Segment.Newest()})
		s.tail = t.Next()
	}
	s.updateIndexedOrders()
	s.finishDurable(durable)
	s.abandonLateClaims()
}

// finishDurable removes the given records, which are now in the log and in the index, from the pending ones. It passes
// the orders of durable claims to send and discards the state of orders whose Completed or Abandoned record is durable.
func (s *shard) finishDurable(durable []claim.Record) {
	type recordID struct {
		kind  claim.Kind
		nonce claim.Nonce
	}
	isDurable := make(map[recordID]bool, len(durable))
	for _, r := range durable {
		isDurable[recordID{r.Kind, r.Nonce}] = true
	}
	previous := s.pending
	s.pending = nil
	for _, p := range previous {
		switch {
		case !isDurable[recordID{p.record.Kind, p.record.Nonce}]:
			s.pending = append(s.pending, p)
		case p.record.Kind == claim.Completed:
			s.removeExecution(p.record)
		case p.record.Kind == claim.Abandoned:
			delete(s.unsentClaims, p.record.Nonce)
		}
	}
	for _, p := range previous {
		if p.execution != nil && isDurable[recordID{p.record.Kind, p.record.Nonce}] {
			s.send(p.execution)
		}
	}
}

// abandonLateClaims queues Abandoned records for unsent claims that turn out to be in the log although their write
// seemed to have failed, and forgets the unsent claims that can no longer appear in it. The Abandoned records go before
// the other pending records, because a pending claim of the same key takes effect only after them.
func (s *shard) abandonLateClaims() {
	waiting := s.pending
	s.pending = nil
	defer func() { s.pending = append(s.pending, waiting...) }()
	for nonce, u := range s.unsentClaims {
		if s.index.InForce(u.claimed) {
			s.queueAbandoned(u)
		} else {
			delete(s.unsentClaims, nonce)
		}
	}
}

// failCommit refuses the orders of all pending claims as not run, because the platform did not confirm the write, and
// delays the next write. Other records stay pending. The write of a claim may still take effect later; its order is not
// sent even then.
func (s *shard) failCommit(cause error) {
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.retryAt = time.Now().Add(s.backoff)
	var remaining []pendingRecord
	for _, p := range s.pending {
		if p.execution == nil {
			remaining = append(remaining, p)
			continue
		}
		s.recordUnsent(p.record)
		s.endUnsent(p.execution, retryableRefusal(wire.ReasonPlatformDown, "the claim could not be written", s.backoff))
	}
	event.Info(s.owner.Log, event.OrderPlatformFailed, "shard", s.number, "cause", cause.Error(), "refused",
		len(s.pending)-len(remaining))
	s.pending = remaining
}

// endExpiredClaims removes the pending claims whose attempt was cancelled or has passed its deadline. An earlier write
// that contains them may still be in progress, so they are recorded as unsent.
func (s *shard) endExpiredClaims() {
	now := time.Now()
	var remaining []pendingRecord
	for _, p := range s.pending {
		exec := p.execution
		if exec == nil || !exec.cancelled && now.Before(exec.deadline) {
			remaining = append(remaining, p)
			continue
		}
		s.recordUnsent(p.record)
		s.endUnsent(exec, refusal(wire.NotRun, wire.ReasonDeadline, "ended before the order was claimed"))
	}
	s.pending = remaining
}
