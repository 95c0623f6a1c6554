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

// gone tells that an object does not exist, or not in the expected version.
func gone(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound)
}

// commit writes as many pending records as fit into the last segment with one conditional update, and settles the
// write if it failed or its reply was lost.
func (s *shard) commit(work context.Context) {
	if s.owner.writes.Wait(work) != nil {
		return
	}
	s.mu.Lock()
	if claim.Stale(time.Now(), s.confirmed, s.owner.Retention) {
		s.lose("")
	}
	s.dropEnded()
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
	next, taken := tail.Segment.Append(batch)
	batch = batch[:taken]
	version, err := s.put(work, claim.Tail{Number: tail.Number, Version: tail.Version, Segment: next})
	switch {
	case err == nil:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.advance(claim.Tail{Number: tail.Number, Version: version, Segment: next}, batch, began)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrRateLimited):
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fail(err)
	default:
		s.settle(work, tail, batch, err)
	}
}

func (s *shard) put(work context.Context, t claim.Tail) (version uint64, err error) {
	value, err := t.Segment.Encode()
	if err != nil {
		return 0, errors.Mark(err, platform.ErrUnavailable) // nothing was written
	}
	ctx, cancel := context.WithTimeout(work, s.owner.PlatformTimeout)
	defer cancel()
	return s.owner.Platform.Put(ctx, platform.Object{
		Kind: claim.ObjectKind, Name: claim.Name(s.service, s.number, t.Number), Version: t.Version, Value: value,
	})
}

// get reads a segment.
func (s *shard) get(work context.Context, number uint64) (t claim.Tail, err error) {
	ctx, cancel := context.WithTimeout(work, s.owner.PlatformTimeout)
	defer cancel()
	obj, err := s.owner.Platform.Get(ctx, claim.ObjectKind, claim.Name(s.service, s.number, number))
	if err != nil {
		return claim.Tail{}, err
	}
	segment, err := claim.Decode(obj.Value)
	return claim.Tail{Number: number, Version: obj.Version, Segment: segment}, err
}

// settle reads the segment again after a write that failed or whose reply was lost. Only records that are found there
// count as written.
func (s *shard) settle(work context.Context, tail claim.Tail, batch []claim.Record, cause error) {
	began := time.Now()
	stored, err := s.get(work, tail.Number)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case errors.Is(err, platform.ErrNotFound) && tail.Version == 0:
		s.fail(cause) // not created yet
		return
	case errors.Is(err, platform.ErrNotFound):
		s.lose("")
		return
	case errors.Is(err, claim.ErrMalformed):
		event.Error(s.owner.Log, err, event.OrderSegmentMalformed, "shard", s.number, "segment", tail.Number)
		s.lose("")
		return
	case err != nil:
		s.fail(err)
		return
	}
	standing, durable := tail.Settle(stored.Segment, stored.Version, batch)
	switch standing {
	case claim.Pending:
		s.fail(cause)
	case claim.Owning:
		s.advance(stored, durable, began)
	case claim.Fenced:
		s.index.Apply(tail.Number, stored.Segment.Records)
		s.finishDurable(durable)
		s.lose(stored.Segment.Owner)
	}
}

// advance takes t as the last segment after it was written or read. Earlier writes that are still under way can no
// longer take effect, because the version they expect is gone. began is before the call of the platform, so that a pause
// of this process during the call does not count as ownership.
func (s *shard) advance(t claim.Tail, durable []claim.Record, began time.Time) {
	s.confirmed, s.backoff, s.retryAt = began, 0, time.Time{}
	s.tail = t
	s.index.Apply(t.Number, t.Segment.Records)
	if t.Segment.Sealed {
		s.sealed = append(s.sealed, claim.Sealed{Number: t.Number, Version: t.Version, Newest: t.Segment.Newest()})
		s.tail = t.Next()
	}
	s.count()
	s.finishDurable(durable)
	s.abandonFound()
}

// finishDurable takes the records that are now in the log and in the index off the pending ones and goes on with their
// orders.
func (s *shard) finishDurable(durable []claim.Record) {
	type id struct {
		kind  claim.Kind
		nonce claim.Nonce
	}
	written := make(map[id]bool, len(durable))
	for _, r := range durable {
		written[id{r.Kind, r.Nonce}] = true
	}
	before := s.pending
	s.pending = nil
	for _, p := range before {
		switch {
		case !written[id{p.record.Kind, p.record.Nonce}]:
			s.pending = append(s.pending, p)
		case p.record.Kind == claim.Completed:
			s.remove(p.record)
		case p.record.Kind == claim.Abandoned:
			delete(s.unsent, p.record.Nonce)
		}
	}
	for _, p := range before {
		if p.flight != nil && written[id{p.record.Kind, p.record.Nonce}] {
			s.send(p.flight)
		}
	}
}

// abandonFound queues Abandoned records for claims that were given up as not written and are in the log after all, and
// forgets those that can no longer appear there. They go before the claims that wait: a later claim of the same key
// counts only after them.
func (s *shard) abandonFound() {
	waiting := s.pending
	s.pending = nil
	defer func() { s.pending = append(s.pending, waiting...) }()
	for nonce, u := range s.unsent {
		if s.index.Holds(u.claimed) {
			s.queueAbandoned(u)
		} else {
			delete(s.unsent, nonce)
		}
	}
}

// fail ends the pending claims as not run, because the platform does not take them, and delays the next write. Other
// records stay pending. The write of a claim may still take effect later; the order is not sent then either.
func (s *shard) fail(cause error) {
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.retryAt = time.Now().Add(s.backoff)
	var rest []pending
	for _, p := range s.pending {
		if p.flight == nil {
			rest = append(rest, p)
			continue
		}
		s.remember(p.record)
		s.drop(p.flight, refuseLater(wire.ReasonPlatformDown, "the claim could not be written", s.backoff))
	}
	event.Info(s.owner.Log, event.OrderPlatformFailed, "shard", s.number, "cause", cause.Error(), "refused",
		len(s.pending)-len(rest))
	s.pending = rest
}

// dropEnded takes out claims whose callers are gone. They may be in an earlier write that is still under way.
func (s *shard) dropEnded() {
	now := time.Now()
	var rest []pending
	for _, p := range s.pending {
		f := p.flight
		if f == nil || !f.cancelled && now.Before(f.deadline) {
			rest = append(rest, p)
			continue
		}
		s.remember(p.record)
		s.drop(f, refuse(wire.NotRun, wire.ReasonDeadline, "ended before the order was claimed"))
	}
	s.pending = rest
}
