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

// send is the step Send: it starts the service call of an order whose claim is durable, or abandons the order if it
// must not be sent any more. The caller must hold the lock of the shard.
func (s *shard) send(exec *execution) {
	now := time.Now()
	if !s.index.InForce(exec.claimed) || exec.cancelled || !claim.MaySend(exec.claimed, s.owner.Incarnation, exec.sent, now, exec.deadline) {
		s.abandon(exec, refusal(wire.NotRun, wire.ReasonDeadline, "ended before the order was sent"))
		return
	}
	exec.sent = true
	go s.callService(exec)
}

// callService sends the order to the service and records the outcome. The call continues when the caller's attempt ends,
// so that a later attempt gets the response.
func (s *shard) callService(exec *execution) {
	ctx, cancel := context.WithTimeout(s.owner.workCtx, s.owner.ReplyTimeout)
	defer cancel()
	reply, err := s.owner.Service.Do(ctx, exec.call)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.complete(exec, exec.claimed.Complete(time.Now(), reply.Status, reply.ContentType, reply.Body), reply)
	case errors.Is(err, service.ErrNotSent):
		m := retryableRefusal(wire.ReasonServiceDown, "the service cannot be reached", 0)
		s.abandon(exec, m)
	case errors.Is(err, service.ErrTooLarge):
		completed := exec.claimed.Complete(time.Now(), reply.Status, "", nil)
		completed.Dropped = service.MaxReplyBytes
		s.complete(exec, completed, refusal(wire.Ran, wire.ReasonReplyLost, "the response exceeds the size limit"))
	default:
		event.Info(s.owner.Log, event.OrderOutcomeUnknown, "shard", s.number, "request", exec.call.RequestID,
			"organisation", exec.call.Organisation, "cause", err.Error())
		s.removeExecution(exec.claimed)
		exec.finish(s.owner, refusal(wire.OutcomeUnknown, wire.ReasonReplyLost, "the order was sent and its reply was lost"))
	}
}

// complete is the step Complete: it queues the Completed record, if the claim is still in force, and finishes the
// execution with m without waiting for the record to be durable. If this agent ends before that, later attempts get
// an unknown outcome.
func (s *shard) complete(exec *execution, completed claim.Record, m wire.Message) {
	if s.owned && s.index.InForce(exec.claimed) {
		s.pending = append(s.pending, pendingRecord{record: completed})
		s.signal()
	} else {
		s.removeExecution(exec.claimed)
		event.Info(s.owner.Log, event.OrderResultNotStored, "shard", s.number, "sequence", completed.Nonce.Sequence)
	}
	exec.finish(s.owner, m)
}

// abandon ends the execution of an order that was claimed and certainly not sent, and queues its Abandoned record if
// the shard is still owned.
func (s *shard) abandon(exec *execution, m wire.Message) {
	u := s.recordUnsent(exec.claimed)
	if s.owned {
		s.queueAbandoned(u)
	}
	s.endUnsent(exec, m)
}

// replay returns the stored response of a completed order, reading its segment from the platform if it is not the last.
func (s *shard) replay(ctx context.Context, key claim.Key, e claim.Entry) wire.Message {
	s.mu.Lock()
	records := s.tail.Segment.Records
	number := s.tail.Number
	s.mu.Unlock()
	if number != e.Segment {
		var t claim.Tail
		err := s.owner.readLimiter.Wait(ctx)
		if err == nil {
			t, err = s.get(ctx, e.Segment)
		}
		if err != nil {
			m := refusal(wire.Ran, wire.ReasonPlatformDown, "the order ran; its response cannot be read now")
			m.RetryAfter = minRetryAfter
			return m
		}
		records = t.Segment.Records
	}
	i := slices.IndexFunc(records, func(r claim.Record) bool { return r.Kind == claim.Completed && r.Key == key })
	if i < 0 {
		return refusal(wire.Ran, wire.ReasonReplyLost, "the order ran; its response is not stored")
	}
	return storedReply(records[i])
}
