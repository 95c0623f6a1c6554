package agent

import (
	"context"
	"slices"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// maxCalls bounds the calls of the plain service at a time.
const maxCalls = 256

// Call implements entry.Handler.
func (a *Agent) Call(ctx context.Context, m wire.Call) wire.Message {
	a.init()
	if m.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, m.Timeout)
		defer cancel()
	}
	if !a.begin() {
		return a.refuseCall(m, refused(wire.ReasonDraining, "the agent stops"))
	}
	defer a.work.Done()
	v, r := a.agree(ctx, m.ConfigVersion, func(wire.Message) {})
	if r == nil {
		r = a.checkCall(v, m)
	}
	if r == nil && !a.beginCall() {
		r = refused(wire.ReasonBusy, "too many calls at a time")
	}
	if r != nil {
		return a.refuseCall(m, r)
	}
	defer a.endCall()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-a.cut:
			cancel()
		case <-ended:
		}
	}()
	return a.run(ctx, v, m)
}

// run runs a call that was let in.
func (a *Agent) run(ctx context.Context, v *view, m wire.Call) wire.Message {
	var answer wire.Message
	if once(v.service, m) {
		answer = a.Orders.Execute(ctx, m)
	} else if reply, err := a.Service.Do(ctx, m); err == nil {
		answer = reply
	} else {
		// The call may be repeated, so that it does not matter to the caller whether it ran.
		r := refused(wire.ReasonServiceDown, err.Error())
		r.outcome = wire.OutcomeUnknown
		return a.refuseCall(m, r)
	}
	switch answer := answer.(type) {
	case wire.Reply:
		answer.Stream = m.Stream
		a.count("calls")
		event.Info(a.Log, event.CallEnded, "RequestID", m.RequestID, "Organisation", m.Organisation,
			"Status", answer.Status, "Replayed", answer.Replayed)
		return answer
	case wire.Refused:
		answer.Stream, answer.Load = m.Stream, a.Load()
		a.count("refused." + answer.Reason.String())
		event.Info(a.Log, event.CallRefused, "RequestID", m.RequestID, "Organisation", m.Organisation,
			"Outcome", answer.Outcome.String(), "Reason", answer.Reason.String(), "Detail", answer.Detail)
		return answer
	}
	r := refused(wire.ReasonInternal, "no answer from the order path")
	r.outcome = wire.OutcomeUnknown
	return a.refuseCall(m, r)
}

func (a *Agent) refuseCall(m wire.Call, r *refusal) wire.Message {
	return a.message(event.CallRefused, r, m.Stream, m.RequestID, m.Organisation)
}

func (a *Agent) checkCall(v *view, m wire.Call) *refusal {
	switch {
	case a.Kind != settings.ServiceEndpoint || v.service == nil || m.Service != v.service.Name:
		return refused(wire.ReasonNoEndpoint, "the endpoint does not have the service")
	case v.leaving:
		return refused(wire.ReasonLeaving, "the endpoint or its failure domain is leaving")
	case !allowed(v.organisations[m.Organisation], m.Service):
		return refused(wire.ReasonNotEntitled, "the organisation may not use the service")
	case once(v.service, m) && m.IdempotencyKey == "":
		return refused(wire.ReasonKeyMissing, "the call may not be repeated and has no idempotency key")
	case once(v.service, m) && a.Orders == nil, !once(v.service, m) && a.Service == nil:
		return refused(wire.ReasonServiceDown, "the agent has no connection to the service")
	}
	return nil
}

// once reports whether a call may not be repeated. A caller that sends a key gets a single run for any method.
func once(s *settings.Service, m wire.Call) bool {
	methods := s.OnceMethods
	if len(methods) == 0 {
		methods = []string{"POST"}
	}
	return m.IdempotencyKey != "" || slices.Contains(methods, m.Method)
}

func entitled(o *settings.Organisation, model string) bool {
	return o != nil && slices.Contains(o.Models, model)
}

func allowed(o *settings.Organisation, service string) bool {
	return o != nil && slices.Contains(o.Services, service)
}

func (a *Agent) beginCall() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.calls >= maxCalls {
		return false
	}
	a.calls++
	return true
}

func (a *Agent) endCall() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls--
}
