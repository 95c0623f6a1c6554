package order

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/service"
	"primrosecourse/pkg/claim"
	"primrosecourse/pkg/wire"
)

// send is the step Send: it gives an order whose claim is durable to the service, or abandons it. The caller holds the
// lock.
func (s *shard) send(f *flight) {
	now := time.Now()
	if !s.index.Holds(f.claimed) || f.cancelled || !claim.MaySend(f.claimed, s.owner.Incarnation, f.sent, now, f.deadline) {
		s.abandon(f, refuse(wire.NotRun, wire.ReasonDeadline, "ended before the order was sent"))
		return
	}
	f.sent = true
	go s.perform(f)
}

// perform runs the order and takes its outcome. It does not end with the caller, whose later try gets the response.
func (s *shard) perform(f *flight) {
	ctx, cancel := context.WithTimeout(s.owner.work, s.owner.ReplyTimeout)
	defer cancel()
	reply, err := s.owner.Service.Do(ctx, f.call)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.complete(f, f.claimed.Complete(time.Now(), reply.Status, reply.ContentType, reply.Body), reply)
	case errors.Is(err, service.ErrNotSent):
		m := refuseLater(wire.ReasonServiceDown, "the service cannot be reached", 0)
		s.abandon(f, m)
	case errors.Is(err, service.ErrTooLarge):
		done := f.claimed.Complete(time.Now(), reply.Status, "", nil)
		done.Dropped = service.MaxReplyBytes
		s.complete(f, done, refuse(wire.Ran, wire.ReasonReplyLost, "the response exceeds the size limit"))
	default:
		event.Info(s.owner.Log, event.OrderOutcomeUnknown, "shard", s.number, "request", f.call.RequestID,
			"organisation", f.call.Organisation, "cause", err.Error())
		s.remove(f.claimed)
		f.finish(s.owner, refuse(wire.OutcomeUnknown, wire.ReasonReplyLost, "the order was sent and its reply was lost"))
	}
}

// complete is the step Complete. The caller gets the response at once: if this process ends before the record is
// durable, later tries get an unknown outcome.
func (s *shard) complete(f *flight, done claim.Record, m wire.Message) {
	if s.owned && s.index.Holds(f.claimed) {
		s.pending = append(s.pending, pending{record: done})
		s.signal()
	} else {
		s.remove(f.claimed)
		event.Info(s.owner.Log, event.OrderResultNotStored, "shard", s.number, "sequence", done.Nonce.Sequence)
	}
	f.finish(s.owner, m)
}

// abandon ends an order that was claimed and certainly not sent.
func (s *shard) abandon(f *flight, m wire.Message) {
	u := s.remember(f.claimed)
	if s.owned {
		s.queueAbandoned(u)
	}
	s.drop(f, m)
}

// replay gives the stored response of a completed order.
func (s *shard) replay(ctx context.Context, key claim.Key, e claim.Entry) wire.Message {
	s.mu.Lock()
	records := s.tail.Segment.Records
	number := s.tail.Number
	s.mu.Unlock()
	if number != e.Segment {
		var t claim.Tail
		err := s.owner.reads.Wait(ctx)
		if err == nil {
			t, err = s.get(ctx, e.Segment)
		}
		if err != nil {
			m := refuse(wire.Ran, wire.ReasonPlatformDown, "the order ran; its response cannot be read now")
			m.RetryAfter = minRetryAfter
			return m
		}
		records = t.Segment.Records
	}
	i := slices.IndexFunc(records, func(r claim.Record) bool { return r.Kind == claim.Completed && r.Key == key })
	if i < 0 {
		return refuse(wire.Ran, wire.ReasonReplyLost, "the order ran; its response is not stored")
	}
	return replayOf(records[i])
}
