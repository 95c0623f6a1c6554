package agent

import (
	"context"
	"slices"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// maxCalls bounds the concurrent calls of the plain service.
const maxCalls = 256

// Call implements entry.Handler.
func (a *Agent) Call(ctx context.Context, m wire.Call) wire.Message {
	a.init()
	if m.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, m.Timeout)
		defer cancel()
	}
	if !a.beginWork() {
		return a.refuseCall(m, newRefusal(wire.ReasonDraining, "the agent stops"))
	}
	defer a.work.Done()
	cfg, r := a.awaitConfig(ctx, m.ConfigVersion, func(wire.Message) {})
	if r == nil {
		r = a.checkCall(cfg, m)
	}
	if r == nil && !a.beginCall() {
		r = newRefusal(wire.ReasonBusy, "too many calls at a time")
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
		case <-a.forceStop:
			cancel()
		case <-ended:
		}
	}()
	return a.executeCall(ctx, cfg, m)
}

// executeCall runs an admitted call.
func (a *Agent) executeCall(ctx context.Context, cfg *localConfig, m wire.Call) wire.Message {
	var message wire.Message
	if runsAtMostOnce(cfg.service, m) {
		message = a.Orders.Execute(ctx, m)
	} else if reply, err := a.Service.Do(ctx, m); err == nil {
		message = reply
	} else {
		// The call may be retried, so an unknown outcome does no harm.
		r := newRefusal(wire.ReasonServiceDown, err.Error())
		r.outcome = wire.OutcomeUnknown
		return a.refuseCall(m, r)
	}
	switch message := message.(type) {
	case wire.Reply:
		message.Stream = m.Stream
		a.count("calls")
		event.Info(a.Log, event.CallEnded, "RequestID", m.RequestID, "Organisation", m.Organisation,
			"Status", message.Status, "Replayed", message.Replayed)
		return message
	case wire.Refused:
		message.Stream, message.Load = m.Stream, a.Load()
		a.count("refused." + message.Reason.String())
		event.Info(a.Log, event.CallRefused, "RequestID", m.RequestID, "Organisation", m.Organisation,
			"Outcome", message.Outcome.String(), "Reason", message.Reason.String(), "Detail", message.Detail)
		return message
	}
	r := newRefusal(wire.ReasonInternal, "no answer from the order path")
	r.outcome = wire.OutcomeUnknown
	return a.refuseCall(m, r)
}

func (a *Agent) refuseCall(m wire.Call, r *refusal) wire.Message {
	return a.refusedMessage(event.CallRefused, r, m.Stream, m.RequestID, m.Organisation)
}

func (a *Agent) checkCall(cfg *localConfig, m wire.Call) *refusal {
	switch {
	case a.Kind != settings.ServiceEndpoint || cfg.service == nil || m.Service != cfg.service.Name:
		return newRefusal(wire.ReasonNoEndpoint, "the endpoint does not have the service")
	case cfg.leaving:
		return newRefusal(wire.ReasonLeaving, "the endpoint or its failure domain is leaving")
	case !mayUseService(cfg.organisations[m.Organisation], m.Service):
		return newRefusal(wire.ReasonNotEntitled, "the organisation may not use the service")
	case runsAtMostOnce(cfg.service, m) && m.IdempotencyKey == "":
		return newRefusal(wire.ReasonKeyMissing, "the call may not be repeated and has no idempotency key")
	case runsAtMostOnce(cfg.service, m) && a.Orders == nil, !runsAtMostOnce(cfg.service, m) && a.Service == nil:
		return newRefusal(wire.ReasonServiceDown, "the agent has no connection to the service")
	}
	return nil
}

// runsAtMostOnce reports whether a call must not be retried. A call with an idempotency key runs at most once,
// whatever its method.
func runsAtMostOnce(s *settings.Service, m wire.Call) bool {
	methods := s.OnceMethods
	if len(methods) == 0 {
		methods = []string{"POST"}
	}
	return m.IdempotencyKey != "" || slices.Contains(methods, m.Method)
}

func mayUseModel(o *settings.Organisation, model string) bool {
	return o != nil && slices.Contains(o.Models, model)
}

func mayUseService(o *settings.Organisation, service string) bool {
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
