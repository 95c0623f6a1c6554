package order

import (
	"context"
	"fmt"
	"time"

	"primrosecourse/pkg/claim"
	"primrosecourse/pkg/wire"
)

// request is one attempt of a caller.
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

// flight is an order that this incarnation works on, from its claim until its end is durable. Its shard's lock guards
// all fields but done.
type flight struct {
	request
	claimed claim.Record
	// sent is set before the service may see the order.
	sent bool
	// cancelled forbids the send.
	cancelled bool
	// message is the outcome once done is closed.
	message wire.Message
	done    chan struct{}
}

// finish sets the outcome. A second call changes nothing. The caller holds the lock of the shard.
func (f *flight) finish(o *Owner, m wire.Message) {
	if f.message != nil {
		return
	}
	f.message = m
	close(f.done)
	o.leave()
}

// await returns the outcome of f for an attempt. first is the attempt that made the flight; only its end forbids a send.
func (s *shard) await(ctx context.Context, f *flight, deadline time.Time, first bool) wire.Message {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	reason := wire.ReasonDeadline
	select {
	case <-f.done:
		return outcome(f, first)
	case <-timer.C:
	case <-ctx.Done():
		reason = wire.ReasonCancelled
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case f.message != nil:
		return outcome(f, first)
	case first && !f.sent:
		f.cancelled = true
		return refuse(wire.NotRun, reason, "ended before the order was sent")
	}
	return refuse(wire.OutcomeUnknown, reason, "the order is still running; ask again with the same key")
}

// outcome is the message of a finished flight for one of its callers.
func outcome(f *flight, first bool) wire.Message {
	if r, ok := f.message.(wire.Reply); ok && !first {
		r.Replayed = true
		return r
	}
	return f.message
}

func refuse(outcome wire.Outcome, reason wire.Reason, detail string) wire.Refused {
	return wire.Refused{Outcome: outcome, Reason: reason, Detail: detail}
}

func refuseLater(reason wire.Reason, detail string, after time.Duration) wire.Refused {
	return wire.Refused{Outcome: wire.NotRun, Reason: reason, Detail: detail, RetryAfter: max(after, minRetryAfter)}
}

// replayOf returns the stored response in a Completed record.
func replayOf(r claim.Record) wire.Reply {
	reply := wire.Reply{Status: r.Status, ContentType: r.ContentType, Body: r.Body, Replayed: true}
	if r.Dropped > 0 {
		reply.ContentType = "application/json"
		reply.Body = fmt.Appendf(nil, `{"Stored":"status only","DroppedBytes":%d}`, r.Dropped)
	}
	return reply
}

func onStream(m wire.Message, stream uint64) wire.Message {
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
