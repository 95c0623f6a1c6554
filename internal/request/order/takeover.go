package order

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/platform"
	"primrosecourse/pkg/claim"
)

// maxTakeoverAttempts limits the attempts of one takeover while another owner keeps writing to the log. The next order
// starts a new takeover.
const maxTakeoverAttempts = 4

// takeover is the step Takeover: it reads the log and makes this agent its owner by raising the term of the last
// segment, or by creating the next segment with a higher term if the last one is sealed. Sealed segments never change,
// so reading them before the term is raised is safe. The conditional update that raises the term fails if the last
// segment changed, or the next one was created, after the log was read.
func (s *shard) takeover(workCtx context.Context) {
	began := time.Now()
	var err error
	for range maxTakeoverAttempts {
		var snapshot *logSnapshot
		if snapshot, err = s.readLog(workCtx); err != nil {
			break
		}
		if err = s.owner.writeLimiter.Wait(workCtx); err != nil {
			break
		}
		t := snapshot.last.Takeover(s.owner.Name, s.owner.Incarnation)
		if t.Version, err = s.raiseTerm(workCtx, t); err == nil {
			s.becomeOwner(snapshot, t, began)
			return
		}
		if !isVersionMismatch(err) {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.retryAt = time.Now().Add(s.backoff)
	event.Info(s.owner.Log, event.OrderTakeoverFailed, "shard", s.number, "cause", err.Error())
}

// logSnapshot is the state of a claim log as read by readLog.
type logSnapshot struct {
	index  *claim.Index
	sealed []claim.Sealed
	last   claim.Tail
}

func (s *shard) readLog(workCtx context.Context) (snapshot *logSnapshot, err error) {
	defer func() { err = errors.Wrapf(err, "read claim log %d", s.number) }()
	ctx, cancel := context.WithTimeout(workCtx, s.owner.PlatformTimeout)
	defer cancel()
	objects, err := s.owner.Platform.List(ctx, claim.ObjectKind, claim.Prefix(s.service, s.number))
	if err != nil {
		return nil, err
	}
	numbers := make([]uint64, 0, len(objects))
	for _, obj := range objects {
		n, err := claim.Number(obj.Name)
		if err != nil {
			return nil, err
		}
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	snapshot = &logSnapshot{index: &claim.Index{}}
	for i, n := range numbers {
		if err := s.owner.readLimiter.Wait(workCtx); err != nil {
			return nil, err
		}
		t, err := s.get(workCtx, n)
		if errors.Is(err, platform.ErrNotFound) && i < len(numbers)-1 {
			continue // it expired after it was listed
		}
		if err != nil {
			return nil, err
		}
		snapshot.index.Apply(n, t.Segment.Records)
		if t.Segment.Sealed {
			snapshot.sealed = append(snapshot.sealed, claim.Sealed{Number: n, Version: t.Version, Newest: t.Segment.Newest()})
		}
		snapshot.last = t
	}
	return snapshot, nil
}

// raiseTerm writes t, the last segment with a raised term, and returns its new version. If the outcome of the write is
// uncertain, it reads the segment to find out whether the write took effect.
func (s *shard) raiseTerm(workCtx context.Context, t claim.Tail) (version uint64, err error) {
	version, err = s.put(workCtx, t)
	if err == nil || isVersionMismatch(err) || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRateLimited) {
		return version, err
	}
	stored, readErr := s.get(workCtx, t.Number)
	switch {
	case errors.Is(readErr, platform.ErrNotFound):
		return 0, err
	case readErr != nil:
		return 0, readErr
	case stored.Segment.Term == t.Segment.Term && stored.Segment.Incarnation == t.Segment.Incarnation:
		return stored.Version, nil
	}
	return 0, err
}

// becomeOwner marks the shard as owned, with the log as read and the last segment as written by the takeover.
func (s *shard) becomeOwner(snapshot *logSnapshot, t claim.Tail, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owned, s.index, s.sealed = true, snapshot.index, snapshot.sealed
	s.advance(t, nil, began)
	s.index.Expire(time.Now(), s.owner.Retention)
	s.updateIndexedOrders()
	event.Info(s.owner.Log, event.OrderShardTaken, "shard", s.number, "term", t.Segment.Term, "from", snapshot.last.Segment.Owner,
		"orders", s.index.Len(), "segments", len(snapshot.sealed)+1, "took", time.Since(began))
}
