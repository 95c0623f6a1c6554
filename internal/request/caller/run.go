package caller

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/connection/agent"
	"primrosecourse/internal/event"
	"primrosecourse/pkg/routing"
	"primrosecourse/pkg/wire"
)

const (
	// maxAttempts bounds the endpoints that one prompt is sent to, refusals included.
	maxAttempts = 6
	// maxRunsAfterCrash is the number of endpoints that a prompt may run on once one of them crashed.
	maxRunsAfterCrash = 2
)

// run is a prompt on its way through one or more endpoints.
type run struct {
	h           *Handler
	q           *request
	c           *completion
	answer      *answer
	fingerprint uint64
	random      uint64
	place       *place

	// given are the tokens that the caller has, or that are kept for it.
	given []uint32
	// tried are the endpoints that are not tried again, spent those of them that ran the prompt or may have.
	tried    []string
	spent    []string
	attempts int
	// ranOn counts the endpoints that ran it, or may have; crashes those of them that crashed.
	ranOn, crashes int
	cached         int
	accepted       bool
	// runs is true while the endpoint of this attempt has accepted it.
	runs bool
	// sent is true once a request may have arrived at an agent that did not refuse it.
	sent       bool
	firstToken time.Time
	// last is the refusal of the attempt before.
	last *refusal
}

// verdict tells how an attempt ended.
type verdict uint8

const (
	// complete means that the caller has the whole answer.
	complete verdict = iota
	// final means that no other endpoint is tried.
	final
	// free means that another endpoint may be tried without taking from the retry budget.
	free
	// costly means that another endpoint may be tried within the retry budget.
	costly
)

// do runs the prompt to its end; nil means that the caller has the whole answer.
func (u *run) do(ctx context.Context) *refusal {
	u.random = rand.Uint64()
	for {
		v, f := u.attempt(ctx)
		if v == complete {
			return nil
		}
		if ctx.Err() != nil && f.reason != ReasonSlowReader {
			f = refusalOf(ctx)
			v = final
		}
		f.outcome = u.outcome(f)
		switch {
		case v == final:
			return f
		case u.crashes > 0 && u.ranOn >= maxRunsAfterCrash:
			return &refusal{reason: "Quarantined", outcome: wire.Ran, detail: "endpoints crashed under the request"}
		case u.attempts >= maxAttempts:
			if !u.wait(ctx, f) {
				return f
			}
		case v == costly && !u.h.Budget.Retry(time.Now()):
			u.h.count("RetryBudgetSpent")
			return &refusal{reason: ReasonRetryBudget, outcome: f.outcome, retryAfter: f.retryAfter,
				detail: "last refusal: " + string(f.reason)}
		}
		u.last = f
		if f.reason == "OldConfig" && u.h.newer(ctx, u.place.state) != nil {
			// The endpoint did not refuse the request but the version by which it was routed.
			u.tried = u.tried[:len(u.tried)-1]
		}
		u.h.count("Retries." + string(f.reason))
		if len(u.given) > 0 || u.accepted {
			event.Info(u.h.Log, event.RequestResumed, "request", u.q.id, "reason", string(f.reason), "detail", f.detail,
				"given", len(u.given), "tried", u.tried)
		}
	}
}

// wait pauses before the endpoints that refused the prompt are tried again. It reports false if the last refusal is not
// one that passes soon, or if the request has waited long enough.
func (u *run) wait(ctx context.Context, f *refusal) bool {
	if !u.h.pause(ctx, u.q.begun, f) {
		return false
	}
	u.tried = slices.Clone(u.spent)
	u.attempts = 0
	return true
}

// outcome is what is known of the whole request, which is more than what its last refusal says.
func (u *run) outcome(f *refusal) wire.Outcome {
	switch {
	case u.accepted || f.outcome == wire.Ran:
		return wire.Ran
	case u.sent || f.outcome == wire.OutcomeUnknown:
		return wire.OutcomeUnknown
	}
	return wire.NotRun
}

// attempt sends the prompt, with the tokens already given, to the best endpoint not tried yet.
func (u *run) attempt(ctx context.Context) (verdict, *refusal) {
	p, f := u.locate()
	if f != nil {
		return final, f
	}
	if len(u.given) >= u.c.maxTokens {
		// Only the end of the answer was lost.
		u.finish(wire.FinishLength)
		return complete, nil
	}
	now := time.Now()
	p.prompt.Tokens = len(u.c.prompt) + len(u.given)
	d := p.model.router.Route(now, p.prompt, u.tried)
	u.logRouted(&d, p.state.version)
	if len(d.Weighed) == 0 {
		f := u.last
		if f == nil {
			f = refuse("NoEndpoint", "")
		}
		if u.wait(ctx, f) {
			return free, f
		}
		return final, f
	}
	chosen := &d.Weighed[0]
	u.attempts++
	u.runs = false
	u.tried = append(u.tried, chosen.Endpoint)
	u.h.Loads.Sent(chosen.Endpoint, p.prompt.Tokens-min(p.prompt.Tokens, chosen.Cached))
	var timeout time.Duration
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(time.Millisecond, deadline.Sub(now))
	}
	to := agent.Target{Name: chosen.Endpoint, Address: p.state.rings.Endpoints[chosen.Endpoint].Address}
	stream, err := u.h.Agents.Submit(ctx, to, wire.Submit{
		ConfigVersion: p.state.version, Organisation: u.q.organisation.Name, Model: u.c.model, WeightVersion: p.model.Version,
		Prompt: u.c.prompt, Given: u.given[:len(u.given):len(u.given)], MaxTokens: u.c.maxTokens, Priority: u.q.priority,
		Timeout: timeout, Fingerprint: u.fingerprint, RequestID: u.q.id,
	})
	if err != nil {
		return u.broken(err)
	}
	defer stream.Cancel()
	return u.read(ctx, stream, p, chosen)
}

// read passes the stream on until it ends.
func (u *run) read(ctx context.Context, stream Stream, p *place, chosen *routing.Weighed) (verdict, *refusal) {
	for {
		m, err := stream.Next(ctx)
		if err != nil {
			return u.broken(err)
		}
		switch m := m.(type) {
		case wire.Accepted:
			u.learn(m, p, chosen)
		case wire.Tokens:
			if u.firstToken.IsZero() {
				u.firstToken = time.Now()
			}
			u.given = append(u.given, m.Tokens...)
			u.answer.add(m.Text)
			if u.answer.err != nil {
				return final, refuse(ReasonSlowReader, "")
			}
		case wire.Refused:
			if m.Outcome != wire.NotRun && m.Reason == wire.ReasonEngineDown {
				u.ranOn++
				u.crashes++
			}
			return refused(m)
		case wire.End:
			return u.ended(ctx, m, chosen.Endpoint)
		}
	}
}

// deadlineTolerance covers the time that a message takes: an agent counts the deadline from the arrival of the request, and
// may end it a little before or after the entry.
const deadlineTolerance = 250 * time.Millisecond

// ended judges the end of an accepted stream. The entry reads no stream that it cancelled, so that an agent which says
// "cancelled" met the deadline or took the connection for lost.
func (u *run) ended(ctx context.Context, m wire.End, endpoint string) (verdict, *refusal) {
	switch m.Finish {
	case wire.FinishStop, wire.FinishLength:
		u.finish(m.Finish)
		if u.h.Marks != nil {
			u.h.Marks.Finished(u.fingerprint, time.Now())
		}
		return complete, nil
	case wire.FinishCancelled:
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < deadlineTolerance {
			return final, &refusal{reason: "Deadline", outcome: wire.Ran, detail: m.Detail}
		}
	case wire.FinishCrashed:
		u.crashes++
		if u.h.Marks != nil {
			u.h.Marks.Crashed(u.fingerprint, endpoint, time.Now())
		}
		return costly, &refusal{reason: "EngineDown", outcome: wire.Ran, detail: m.Detail}
	}
	return costly, &refusal{reason: ReasonConnectionLost, outcome: wire.Ran, detail: m.Detail}
}

func (u *run) finish(f wire.Finish) {
	u.answer.finish(f, usage{PromptTokens: len(u.c.prompt), CompletionTokens: len(u.given),
		TotalTokens: len(u.c.prompt) + len(u.given), Details: usageDetails{CachedTokens: u.cached}})
}

// learn takes what an accepted request tells of the caches.
func (u *run) learn(m wire.Accepted, p *place, chosen *routing.Weighed) {
	if !u.accepted {
		u.cached = min(m.CachedTokens, len(u.c.prompt))
	}
	u.accepted = true
	u.runs = true
	u.spent = append(u.spent, chosen.Endpoint)
	u.ranOn++
	block := max(1, p.model.BlockTokens)
	chain := p.prompt.Chain
	u.h.Affinity.Observe(chosen.Place, m.CachedTokens-m.FetchedTokens, len(chain)*block)
	u.h.Hints.Add(chain, u.q.organisation.SharedBlocks, chosen.Endpoint, time.Now())
}

// broken judges a stream that ended without the agent's word.
func (u *run) broken(err error) (verdict, *refusal) {
	switch {
	case errors.Is(err, wire.ErrFrameTooLarge):
		return final, refuse(ReasonBodyTooLarge, "the prompt does not fit into a message")
	case errors.Is(err, agent.ErrNotSent):
		return free, &refusal{reason: "NoEndpoint", detail: "the endpoint cannot be reached"}
	case errors.Is(err, agent.ErrSlowReader):
		return final, &refusal{reason: ReasonSlowReader, outcome: wire.Ran}
	}
	u.sent = true
	if !u.runs {
		u.ranOn++
		u.spent = append(u.spent, u.tried[len(u.tried)-1])
	}
	return costly, &refusal{reason: ReasonConnectionLost, outcome: wire.OutcomeUnknown}
}

// refused judges the refusal of an agent.
func refused(m wire.Refused) (verdict, *refusal) {
	f := fromWire(m)
	switch m.Reason {
	case wire.ReasonNotEntitled, wire.ReasonOverLimit, wire.ReasonDeadline, wire.ReasonQuarantined, wire.ReasonBadRequest:
		return final, f
	case wire.ReasonDraining, wire.ReasonLeaving, wire.ReasonOldConfig, wire.ReasonWrongVersion, wire.ReasonUnknownModel,
		wire.ReasonSuspectRunning:
		// Planned stops, changes of the configuration and the isolation of suspects must not use up what outages need.
		if m.Outcome == wire.NotRun {
			return free, f
		}
	}
	return costly, f
}
