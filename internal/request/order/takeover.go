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

// takeoverTries bounds the tries against an owner that still writes. The next order starts over.
const takeoverTries = 4

// takeover is the step Takeover: it reads the log and raises the term of its last segment. Sealed segments never
// change, so they can be read before; the last one is known from the conditional update that took it.
func (s *shard) takeover(work context.Context) {
	began := time.Now()
	var err error
	for range takeoverTries {
		var l *log
		if l, err = s.load(work); err != nil {
			break
		}
		if err = s.owner.writes.Wait(work); err != nil {
			break
		}
		t := l.last.Takeover(s.owner.Name, s.owner.Incarnation)
		if t.Version, err = s.raise(work, t); err == nil {
			s.take(l, t, began)
			return
		}
		if !gone(err) {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.retryAt = time.Now().Add(s.backoff)
	event.Info(s.owner.Log, event.OrderTakeoverFailed, "shard", s.number, "cause", err.Error())
}

// log is what load read.
type log struct {
	index  *claim.Index
	sealed []claim.Sealed
	last   claim.Tail
}

func (s *shard) load(work context.Context) (l *log, err error) {
	defer func() { err = errors.Wrapf(err, "read claim log %d", s.number) }()
	ctx, cancel := context.WithTimeout(work, s.owner.PlatformTimeout)
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
	l = &log{index: &claim.Index{}}
	for i, n := range numbers {
		if err := s.owner.reads.Wait(work); err != nil {
			return nil, err
		}
		t, err := s.get(work, n)
		if errors.Is(err, platform.ErrNotFound) && i < len(numbers)-1 {
			continue // it expired since it was listed
		}
		if err != nil {
			return nil, err
		}
		l.index.Apply(n, t.Segment.Records)
		if t.Segment.Sealed {
			l.sealed = append(l.sealed, claim.Sealed{Number: n, Version: t.Version, Newest: t.Segment.Newest()})
		}
		l.last = t
	}
	return l, nil
}

// raise writes t and returns its version. If the reply is lost it reads whether the write took effect.
func (s *shard) raise(work context.Context, t claim.Tail) (version uint64, err error) {
	version, err = s.put(work, t)
	if err == nil || gone(err) || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrRateLimited) {
		return version, err
	}
	stored, readErr := s.get(work, t.Number)
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

func (s *shard) take(l *log, t claim.Tail, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owned, s.index, s.sealed = true, l.index, l.sealed
	s.advance(t, nil, began)
	s.index.Expire(time.Now(), s.owner.Retention)
	s.count()
	event.Info(s.owner.Log, event.OrderShardTaken, "shard", s.number, "term", t.Segment.Term, "from", l.last.Segment.Owner,
		"orders", s.index.Len(), "segments", len(l.sealed)+1, "took", time.Since(began))
}
