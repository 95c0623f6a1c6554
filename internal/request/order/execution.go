package order

import (
	"context"
	"fmt"
	"time"

	"primrosecourse/pkg/claim"
	"primrosecourse/pkg/wire"
)

// request is one attempt of a caller to run an order.
type request struct {
	call     wire.Call
	key      claim.Key
	digest   claim.Digest
	deadline time.Time
}

func newRequest(call wire.Call, deadline time.Time) request {
	return request{
		call:     call,
		key:      claim.KeyOf(call.Organisation, call.IdempotencyKey),
		digest:   claim.DigestOf(call.Service, call.Method, call.Path, call.Body),
		deadline: deadline,
	}
}

// execution is the processing of one order by this incarnation. It starts when the claim is queued and ends when the
// Completed record is durable, or earlier if the order is not sent, its outcome is unknown or its result cannot be
// stored. The lock of its shard guards sent, cancelled and message. The other fields do not change, and message may be
// read without the lock once done is closed.
type execution struct {
	request
	claimed claim.Record
	// sent is set before the call of the service begins.
	sent bool
	// cancelled is set once the order must no longer be sent.
	cancelled bool
	// message is the outcome. It is set before done is closed.
	message wire.Message
	done    chan struct{}
}

// finish sets the outcome and wakes the waiting attempts. Only the first call has an effect. The caller must hold the
// lock of the shard.
func (exec *execution) finish(o *Owner, m wire.Message) {
	if exec.message != nil {
		return
	}
	exec.message = m
	close(exec.done)
	o.endWork()
}

// awaitOutcome waits for the outcome of exec on behalf of one attempt, until its deadline. initiator reports whether
// this attempt created exec. If the initiator's wait ends before the order is sent, the order is cancelled; the end of
// another attempt's wait does not cancel it.
func (s *shard) awaitOutcome(ctx context.Context, exec *execution, deadline time.Time, initiator bool) wire.Message {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	reason := wire.ReasonDeadline
	select {
	case <-exec.done:
		return outcomeFor(exec, initiator)
	case <-timer.C:
	case <-ctx.Done():
		reason = wire.ReasonCancelled
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case exec.message != nil:
		return outcomeFor(exec, initiator)
	case initiator && !exec.sent:
		exec.cancelled = true
		return refusal(wire.NotRun, reason, "ended before the order was sent")
	}
	return refusal(wire.OutcomeUnknown, reason, "the order is still running; ask again with the same key")
}

// outcomeFor returns the message of a finished execution for one attempt: a reply is marked as replayed for all
// attempts but the initiator.
func outcomeFor(exec *execution, initiator bool) wire.Message {
	if r, ok := exec.message.(wire.Reply); ok && !initiator {
		r.Replayed = true
		return r
	}
	return exec.message
}

func refusal(outcome wire.Outcome, reason wire.Reason, detail string) wire.Refused {
	return wire.Refused{Outcome: outcome, Reason: reason, Detail: detail}
}

func retryableRefusal(reason wire.Reason, detail string, after time.Duration) wire.Refused {
	return wire.Refused{Outcome: wire.NotRun, Reason: reason, Detail: detail, RetryAfter: max(after, minRetryAfter)}
}

// storedReply returns the response stored in a Completed record. For a response that was too large to store, the body
// is a JSON object with the number of bytes dropped, or with service.MaxReplyBytes if the response was larger than
// that.
func storedReply(r claim.Record) wire.Reply {
	reply := wire.Reply{Status: r.Status, ContentType: r.ContentType, Body: r.Body, Replayed: true}
	if r.Dropped > 0 {
		reply.ContentType = "application/json"
		reply.Body = fmt.Appendf(nil, `{"Stored":"status only","DroppedBytes":%d}`, r.Dropped)
	}
	return reply
}

// withStream returns m with its stream number set.
func withStream(m wire.Message, stream uint64) wire.Message {
	switch m := m.(type) {
	case wire.Reply:
		m.Stream = stream
		return m
	case wire.Refused:
		m.Stream = stream
		return m
	}
	return m
}
