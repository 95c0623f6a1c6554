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
	// maxPromptAttempts is the maximum number of attempts for one prompt in one round over the endpoints, refused attempts
	// included.
	maxPromptAttempts = 6
	// maxRunsAfterCrash is the maximum number of endpoints that a prompt may run on once one of them has crashed, including
	// the crashed one.
	maxRunsAfterCrash = 2
)

// promptRun is the processing of one prompt, on one or more endpoints in turn.
type promptRun struct {
	h           *Handler
	req         *request
	completion  *completion
	writer      *completionWriter
	fingerprint uint64
	// random is the random input of routing, the same for all attempts.
	random     uint64
	routeInput *routeInput

	// generated holds the answer tokens received so far. They were sent to the caller, or are buffered for it.
	generated []uint32
	// excluded lists the endpoints that are not tried again in this round. mayHaveRun lists those that accepted the prompt, or
	// may have received it without responding; they stay excluded in all rounds.
	excluded   []string
	mayHaveRun []string
	// attempts counts the attempts of this round.
	attempts int
	// runs counts the endpoints that ran the prompt or may have run it. crashes counts those of them that crashed.
	runs, crashes int
	cachedTokens  int
	// accepted is true once any endpoint has accepted the prompt.
	accepted bool
	// attemptAccepted is true once the endpoint of the current attempt has accepted the prompt.
	attemptAccepted bool
	// mayHaveArrived is true once the prompt may have arrived at an agent that did not refuse it.
	mayHaveArrived bool
	firstTokenAt   time.Time
	// begunAt is when the first tokens of the current attempt arrived; cleared is set once its blocks are cleared.
	begunAt time.Time
	cleared bool
	// lastFailure is the failure of the previous attempt.
	lastFailure *failure
}

// attemptResult is the result of an attempt.
type attemptResult uint8

const (
	// completed means that the answer is complete.
	completed attemptResult = iota
	// noRetry means that no other endpoint is tried.
	noRetry
	// freeRetry means that another endpoint may be tried without charging the retry budget.
	freeRetry
	// chargedRetry means that another endpoint may be tried, charged to the retry budget.
	chargedRetry
)

// execute runs the prompt, with retries, and returns nil once the answer is complete.
func (r *promptRun) execute(ctx context.Context) *failure {
	r.random = rand.Uint64()
	for {
		result, f := r.attempt(ctx)
		if result == completed {
			return nil
		}
		if ctx.Err() != nil && f.reason != ReasonSlowReader {
			f = failureFromContext(ctx)
			result = noRetry
		}
		f.outcome = r.outcome(f)
		switch {
		case result == noRetry:
			return f
		case r.crashes > 0 && r.runs >= maxRunsAfterCrash:
			return &failure{reason: "Quarantined", outcome: wire.Ran, detail: "endpoints crashed under the request"}
		case r.attempts >= maxPromptAttempts:
			if !r.startNewRound(ctx, f) {
				return f
			}
		case result == chargedRetry && !r.h.Budget.Retry(time.Now()):
			r.h.count("RetryBudgetSpent")
			return &failure{reason: ReasonRetryBudget, outcome: f.outcome, retryAfter: f.retryAfter,
				detail: "last refusal: " + string(f.reason)}
		}
		r.lastFailure = f
		if f.reason == "OldConfig" && r.h.awaitNewer(ctx, r.routeInput.snapshot) != nil {
			// The endpoint refused the configuration version, not the prompt, so the endpoint may be tried again.
			r.excluded = r.excluded[:len(r.excluded)-1]
		}
		r.h.count("Retries." + string(f.reason))
		if len(r.generated) > 0 || r.accepted {
			event.Info(r.h.Log, event.RequestResumed, "request", r.req.id, "reason", string(f.reason), "detail", f.detail,
				"given", len(r.generated), "tried", r.excluded)
		}
	}
}

// startNewRound waits and then allows all endpoints except those in mayHaveRun to be tried again. If waitForNextRound returns
// false, startNewRound returns false too, and the prompt must not be tried again.
func (r *promptRun) startNewRound(ctx context.Context, f *failure) bool {
	if !r.h.waitForNextRound(ctx, r.req.receivedAt, f) {
		return false
	}
	r.excluded = slices.Clone(r.mayHaveRun)
	r.attempts = 0
	return true
}

// outcome returns the outcome of the whole request. Unlike that of its last failure, it also depends on earlier attempts that
// were accepted or may have arrived.
func (r *promptRun) outcome(f *failure) wire.Outcome {
	switch {
	case r.accepted || f.outcome == wire.Ran:
		return wire.Ran
	case r.mayHaveArrived || f.outcome == wire.OutcomeUnknown:
		return wire.OutcomeUnknown
	}
	return wire.NotRun
}

// attempt sends the prompt, with the tokens generated so far, to the best endpoint that is not excluded. If there is none, it
// starts a new round.
func (r *promptRun) attempt(ctx context.Context) (attemptResult, *failure) {
	in, f := r.prepareRouting()
	if f != nil {
		return noRetry, f
	}
	if len(r.generated) >= r.completion.maxTokens {
		// All tokens have arrived; only the message that ends the answer was lost.
		r.finish(wire.FinishLength)
		return completed, nil
	}
	now := time.Now()
	if r.h.Blocks != nil {
		if remaining, ok := r.h.Blocks.Quarantined(in.prompt.Chain, now); ok {
			return noRetry, &failure{reason: "Quarantined", detail: "a block of the prompt crashed endpoints; for " + remaining.Round(time.Second).String()}
		}
	}
	in.prompt.Tokens = len(r.completion.prompt) + len(r.generated)
	decision := in.model.router.Route(now, in.prompt, r.excluded)
	r.logRouted(&decision, in.snapshot.version)
	if len(decision.Weighed) == 0 {
		f := r.lastFailure
		if f == nil {
			f = newFailure("NoEndpoint", "")
		}
		if r.startNewRound(ctx, f) {
			return freeRetry, f
		}
		return noRetry, f
	}
	chosen := &decision.Weighed[0]
	r.attempts++
	r.attemptAccepted = false
	r.excluded = append(r.excluded, chosen.Endpoint)
	r.h.Loads.Sent(chosen.Endpoint, in.prompt.Tokens-min(in.prompt.Tokens, chosen.Cached))
	var timeout time.Duration
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(time.Millisecond, deadline.Sub(now))
	}
	to := agent.Target{Name: chosen.Endpoint, Address: in.snapshot.rings.Endpoints[chosen.Endpoint].Address}
	stream, err := r.h.Agents.Submit(ctx, to, wire.Submit{
		ConfigVersion: in.snapshot.version, Organisation: r.req.organisation.Name, Model: r.completion.model,
		WeightVersion: in.model.Version, Prompt: r.completion.prompt, Given: r.generated[:len(r.generated):len(r.generated)],
		MaxTokens: r.completion.maxTokens, Priority: r.req.priority, Timeout: timeout, Fingerprint: r.fingerprint,
		RequestID: r.req.id,
	})
	if err != nil {
		return r.handleError(err)
	}
	defer stream.Cancel()
	return r.relay(ctx, stream, in, chosen)
}

// relay writes the tokens of the stream to the caller until the stream ends.
func (r *promptRun) relay(ctx context.Context, stream Stream, in *routeInput,
	chosen *routing.Weighed) (attemptResult, *failure) {
	r.begunAt, r.cleared = time.Time{}, false
	for {
		m, err := stream.Next(ctx)
		if err != nil {
			return r.handleError(err)
		}
		switch m := m.(type) {
		case wire.Accepted:
			r.recordAccepted(m, in, chosen)
		case wire.Tokens:
			if r.firstTokenAt.IsZero() {
				r.firstTokenAt = time.Now()
			}
			r.clearBlocks(in, false)
			r.generated = append(r.generated, m.Tokens...)
			r.writer.writeText(m.Text)
			if r.writer.err != nil {
				return noRetry, newFailure(ReasonSlowReader, "")
			}
		case wire.Refused:
			r.recordRefused(m, chosen.Endpoint)
			return handleRefused(m)
		case wire.End:
			return r.handleEnd(ctx, m, in, chosen.Endpoint)
		}
	}
}

// deadlineTolerance is how long before the deadline of the entry a cancellation by the agent still counts as caused by the
// deadline. An agent counts the timeout from the arrival of the request, so that its deadline differs by the transit time.
const deadlineTolerance = 250 * time.Millisecond

// handleEnd handles the end of an accepted stream. The entry does not read a stream after cancelling it, so FinishCancelled
// means that the agent reached the deadline or considered the connection lost.
func (r *promptRun) handleEnd(ctx context.Context, m wire.End, in *routeInput, endpoint string) (attemptResult, *failure) {
	switch m.Finish {
	case wire.FinishStop, wire.FinishLength:
		r.finish(m.Finish)
		if r.h.Marks != nil {
			r.h.Marks.Finished(r.fingerprint, time.Now())
		}
		r.clearBlocks(in, true)
		return completed, nil
	case wire.FinishCancelled:
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < deadlineTolerance {
			return noRetry, &failure{reason: "Deadline", outcome: wire.Ran, detail: m.Detail}
		}
	case wire.FinishCrashed:
		r.crashes++
		if r.h.Marks != nil {
			r.h.Marks.Crashed(r.fingerprint, endpoint, time.Now())
		}
		if r.recordCrashedBlocks(in, endpoint) {
			return noRetry, &failure{reason: "Quarantined", outcome: wire.Ran, detail: "a block of the prompt was there when another endpoint crashed"}
		}
		return chargedRetry, &failure{reason: "EngineDown", outcome: wire.Ran, detail: m.Detail}
	}
	return chargedRetry, &failure{reason: ReasonConnectionLost, outcome: wire.Ran, detail: m.Detail}
}

// settleTime is how long an endpoint must live on after the first tokens of an answer for that answer to have begun.
const settleTime = 100 * time.Millisecond

// clearBlocks clears the blocks of the prompt once its answer has begun: settleTime after its first tokens, or at its end.
func (r *promptRun) clearBlocks(in *routeInput, ended bool) {
	if r.begunAt.IsZero() {
		r.begunAt = time.Now()
	}
	if r.h.Blocks != nil && !r.cleared && (ended || time.Since(r.begunAt) >= settleTime) {
		r.cleared = true
		r.h.Blocks.Begun(in.prompt.Chain)
	}
}

// recordCrashedBlocks records the blocks of the prompt unless its answer had begun, and reports whether one of them had been there at
// another crash.
func (r *promptRun) recordCrashedBlocks(in *routeInput, endpoint string) (suspect bool) {
	if now := time.Now(); r.h.Blocks != nil && !r.cleared {
		suspect = r.h.Blocks.Suspect(in.prompt.Chain, now)
		r.h.Blocks.Crashed(in.prompt.Chain, endpoint, now)
	}
	return suspect
}

func (r *promptRun) finish(end wire.Finish) {
	r.writer.finish(end, usage{PromptTokens: len(r.completion.prompt), CompletionTokens: len(r.generated),
		TotalTokens: len(r.completion.prompt) + len(r.generated), Details: usageDetails{CachedTokens: r.cachedTokens}})
}

// recordAccepted records that the endpoint accepted the prompt, and updates the routing data with its cached tokens.
func (r *promptRun) recordAccepted(m wire.Accepted, in *routeInput, chosen *routing.Weighed) {
	if !r.accepted {
		r.cachedTokens = min(m.CachedTokens, len(r.completion.prompt))
	}
	r.accepted = true
	r.attemptAccepted = true
	r.mayHaveRun = append(r.mayHaveRun, chosen.Endpoint)
	r.runs++
	blockTokens := max(1, in.model.BlockTokens)
	chain := in.prompt.Chain
	r.h.Affinity.Observe(chosen.Place, m.CachedTokens-m.FetchedTokens, len(chain)*blockTokens)
	r.h.Hints.Add(chain, r.req.organisation.SharedBlocks, chosen.Endpoint, time.Now())
}

// handleError handles a stream that could not be opened, or that ended without an End or Refused message of the agent.
func (r *promptRun) handleError(err error) (attemptResult, *failure) {
	switch {
	case errors.Is(err, wire.ErrFrameTooLarge):
		return noRetry, newFailure(ReasonBodyTooLarge, "the prompt does not fit into a message")
	case errors.Is(err, agent.ErrNotSent):
		return freeRetry, &failure{reason: "NoEndpoint", detail: "the endpoint cannot be reached"}
	case errors.Is(err, agent.ErrSlowReader):
		return noRetry, &failure{reason: ReasonSlowReader, outcome: wire.Ran}
	}
	r.mayHaveArrived = true
	if !r.attemptAccepted {
		r.runs++
		r.mayHaveRun = append(r.mayHaveRun, r.excluded[len(r.excluded)-1])
	}
	return chargedRetry, &failure{reason: ReasonConnectionLost, outcome: wire.OutcomeUnknown}
}

// recordRefused remembers a refusal that does not exclude that the prompt ran, so that a later refusal by another endpoint is not passed
// on as "not run".
func (r *promptRun) recordRefused(m wire.Refused, endpoint string) {
	if m.Outcome == wire.NotRun {
		return
	}
	r.mayHaveArrived = true
	r.accepted = r.accepted || m.Outcome == wire.Ran
	if !slices.Contains(r.mayHaveRun, endpoint) {
		r.mayHaveRun = append(r.mayHaveRun, endpoint)
		r.runs++
	}
	if m.Reason == wire.ReasonEngineDown {
		r.crashes++
	}
}

// handleRefused returns the result of an attempt that the agent refused.
func handleRefused(m wire.Refused) (attemptResult, *failure) {
	f := failureFromWire(m)
	switch m.Reason {
	case wire.ReasonNotEntitled, wire.ReasonOverLimit, wire.ReasonDeadline, wire.ReasonQuarantined, wire.ReasonBadRequest:
		return noRetry, f
	case wire.ReasonDraining, wire.ReasonLeaving, wire.ReasonOldConfig, wire.ReasonWrongVersion, wire.ReasonUnknownModel,
		wire.ReasonSuspectRunning:
		// Planned shutdowns, configuration changes and the isolation of suspects must not use up the retry budget, which is
		// needed in outages.
		if m.Outcome == wire.NotRun {
			return freeRetry, f
		}
	}
	return chargedRetry, f
}
