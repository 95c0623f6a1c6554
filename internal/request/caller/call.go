package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/connection/agent"
	"primrosecourse/internal/event"
	"primrosecourse/pkg/claim"
	"primrosecourse/pkg/wire"
)

// maxIdempotencyKeyBytes is the maximum length of an Idempotency-Key header.
const maxIdempotencyKeyBytes = 255

// maxCallAttempts is the maximum number of attempts for one call in one round over the endpoints, refused attempts included.
const maxCallAttempts = 5

// serviceCall is a call to a plain service that is in progress.
type serviceCall struct {
	h       *Handler
	req     *request
	service *service
	message wire.Call
	// tried lists the endpoint of each attempt of this round, in order, also if the call could not be sent.
	tried []string
}

func (h *Handler) serveCall(ctx context.Context, req *request) *failure {
	name := req.r.PathValue("name")
	svc := req.snapshot.services[name]
	if svc == nil {
		return newFailure(ReasonUnknownService, "")
	}
	if !slices.Contains(req.organisation.Services, name) {
		return newFailure("NotEntitled", "")
	}
	nonRepeatable := svc.nonRepeatable(req.r.Method)
	key := req.r.Header.Get("Idempotency-Key")
	switch {
	case nonRepeatable && key == "":
		return newFailure("KeyMissing", "")
	case len(key) > maxIdempotencyKeyBytes:
		return newFailure("BadRequest", "Idempotency-Key is longer than 255 bytes")
	case !nonRepeatable:
		key = ""
	}
	body, f := req.readBody()
	if f != nil {
		return f
	}
	c := &serviceCall{h: h, req: req, service: svc, message: wire.Call{
		ConfigVersion: req.snapshot.version, Organisation: req.organisation.Name, Service: name, Method: req.r.Method,
		Path: servicePath(req.r), ContentType: req.r.Header.Get("Content-Type"), Body: body, IdempotencyKey: key, RequestID: req.id,
	}}
	h.Budget.Request(req.receivedAt)
	var reply wire.Reply
	if nonRepeatable {
		reply, f = c.sendNonRepeatable(ctx)
	} else {
		reply, f = c.sendRepeatable(ctx)
	}
	if f != nil {
		return f
	}
	if reply.ContentType != "" {
		req.w.Header().Set("Content-Type", reply.ContentType)
	}
	if reply.Replayed {
		req.w.Header().Set("Idempotent-Replayed", "true")
	}
	status := reply.Status
	if status < 200 || status > 599 {
		status = http.StatusBadGateway
	}
	_ = req.control.SetWriteDeadline(time.Now().Add(req.limits.BodyTimeout))
	h.announceStop(req.w)
	req.w.WriteHeader(status)
	_, _ = req.w.Write(reply.Body)
	return nil
}

// servicePath returns the escaped path and the query that follow the name of the service in the URL.
func servicePath(r *http.Request) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/services/"), "/")
	rest = "/" + rest
	if r.URL.RawQuery != "" {
		rest += "?" + r.URL.RawQuery
	}
	return rest
}

// sendNonRepeatable sends a call that must not be repeated. The call goes to the owner of its shard, and to another endpoint
// only while it is certain that it did not run.
func (c *serviceCall) sendNonRepeatable(ctx context.Context) (wire.Reply, *failure) {
	for {
		reply, f := c.tryOwners(ctx)
		if f == nil || f.outcome != wire.NotRun || !c.h.waitForNextRound(ctx, c.req.receivedAt, f) {
			return reply, f
		}
		c.tried, c.message.Unavailable = nil, nil
	}
}

// tryOwners sends the call to the endpoints that may own its shard, most preferred first, or to the one that a refusal names as
// the owner. It ends when an endpoint replies, may have received the call without replying, or refuses it for a reason that
// does not allow another attempt, when all endpoints have been tried, or after maxCallAttempts.
func (c *serviceCall) tryOwners(ctx context.Context) (wire.Reply, *failure) {
	shards := c.req.snapshot.deployment.Limits.ClaimShards
	if shards <= 0 {
		shards = 16
	}
	owners := claim.Owners(claim.Shard(c.message.Organisation, c.message.IdempotencyKey, shards), c.service.eligibleOwners)
	lastFailure := newFailure("NoEndpoint", "")
	preferred := ""
	for range maxCallAttempts {
		// A redirect to an endpoint that was tried twice already is ignored, so that circular redirects end.
		endpoint, reason := preferred, "Redirect"
		if endpoint == "" || !slices.Contains(c.service.eligibleOwners, endpoint) || occurrences(c.tried, endpoint) > 1 {
			i := slices.IndexFunc(owners, func(name string) bool { return !slices.Contains(c.tried, name) })
			if i < 0 {
				return wire.Reply{}, lastFailure
			}
			endpoint, reason = owners[i], "Owner"
		}
		c.logRouted(endpoint, reason, owners)
		m, err := c.send(ctx, endpoint)
		if err != nil {
			if !errors.Is(err, agent.ErrNotSent) {
				// The agent may have received the call. Another attempt could run the order twice.
				return wire.Reply{}, c.replyLost(ctx)
			}
			if errors.Is(err, wire.ErrFrameTooLarge) {
				return wire.Reply{}, newFailure(ReasonBodyTooLarge, "the call does not fit into a message")
			}
			if ctx.Err() != nil {
				return wire.Reply{}, failureFromContext(ctx)
			}
			lastFailure, preferred = &failure{reason: "NoEndpoint", detail: "the endpoint cannot be reached"}, ""
			c.message.Unavailable = append(c.message.Unavailable, endpoint)
			continue
		}
		switch m := m.(type) {
		case wire.Reply:
			return m, nil
		case wire.Refused:
			lastFailure, preferred = failureFromWire(m), m.Redirect
			if m.Outcome == wire.NotRun && m.Reason == wire.ReasonOldConfig && c.adoptNewerConfig(ctx) {
				preferred = endpoint
				continue
			}
			if m.Outcome != wire.NotRun || !mayTryNextOwner(m.Reason) {
				return wire.Reply{}, lastFailure
			}
			if releasesShards(m.Reason) {
				c.message.Unavailable = append(c.message.Unavailable, endpoint)
			}
		default:
			return wire.Reply{}, c.replyLost(ctx)
		}
	}
	return wire.Reply{}, lastFailure
}

// adoptNewerConfig waits for a configuration newer than the one that an agent refused, and uses it for the call. It reports
// whether the call can continue. The new configuration may give the shard another owner; an agent that is not the owner refuses
// the call with ReasonNotOwner.
func (c *serviceCall) adoptNewerConfig(ctx context.Context) bool {
	s := c.h.awaitNewer(ctx, c.req.snapshot)
	if s == nil || s.services[c.service.Name] == nil {
		return false
	}
	c.req.snapshot, c.service, c.message.ConfigVersion = s, s.services[c.service.Name], s.version
	return true
}

// mayTryNextOwner reports whether a call is sent to another endpoint after a refusal with the outcome "not run" and this
// reason.
func mayTryNextOwner(r wire.Reason) bool {
	switch r {
	case wire.ReasonNotOwner, wire.ReasonBusy, wire.ReasonCold, wire.ReasonDraining, wire.ReasonLeaving, wire.ReasonOldConfig,
		wire.ReasonServiceDown, wire.ReasonEngineDown:
		return true
	}
	return false
}

// releasesShards reports whether an endpoint that refuses with this reason is named as unavailable to the endpoints tried next,
// so that one of them may take the shard over.
func releasesShards(r wire.Reason) bool {
	return r == wire.ReasonDraining || r == wire.ReasonLeaving || r == wire.ReasonServiceDown
}

// replyLost returns the failure of a call that may have run but whose reply did not arrive.
func (c *serviceCall) replyLost(ctx context.Context) *failure {
	f := newFailure("ReplyLost", "")
	if ctx.Err() != nil {
		f = failureFromContext(ctx)
	}
	f.outcome = wire.OutcomeUnknown
	return f
}

// sendRepeatable sends a repeatable call to any endpoint, with retries within the retry budget.
func (c *serviceCall) sendRepeatable(ctx context.Context) (reply wire.Reply, f *failure) {
	ring := c.req.snapshot.rings.Services[c.service.Name]
	var candidates []string
	for _, i := range ring.Append(nil, rand.Uint64(), time.Now(), maxCallAttempts) {
		candidates = append(candidates, ring.Endpoint(i).Name)
	}
	// Endpoints known to be down are tried last.
	slices.SortStableFunc(candidates, func(a, b string) int { return c.downRank(a) - c.downRank(b) })
	lastFailure := newFailure("NoEndpoint", "")
	// worst is the outcome of all attempts together: what may have run at one endpoint may have run, whatever the next one says.
	worst := wire.NotRun
	defer func() {
		if f != nil && f.outcome == wire.NotRun {
			f.outcome = worst
		}
	}()
	for i, endpoint := range candidates {
		if i > 0 && !c.h.Budget.Retry(time.Now()) {
			c.h.count("RetryBudgetSpent")
			return wire.Reply{}, lastFailure
		}
		c.logRouted(endpoint, "Any", candidates)
		m, err := c.send(ctx, endpoint)
		switch m := m.(type) {
		case wire.Reply:
			return m, nil
		case wire.Refused:
			lastFailure = failureFromWire(m)
			if m.Reason == wire.ReasonBadRequest || m.Reason == wire.ReasonNotEntitled || m.Reason == wire.ReasonDeadline {
				return wire.Reply{}, lastFailure
			}
		default:
			lastFailure = newFailure(ReasonConnectionLost, "")
			if !errors.Is(err, agent.ErrNotSent) {
				lastFailure.outcome = wire.OutcomeUnknown
			}
		}
		if lastFailure.outcome != wire.NotRun && worst != wire.Ran {
			worst = lastFailure.outcome
		}
		if ctx.Err() != nil {
			f := failureFromContext(ctx)
			f.outcome = lastFailure.outcome
			return wire.Reply{}, f
		}
	}
	return wire.Reply{}, lastFailure
}

func (c *serviceCall) downRank(endpoint string) int {
	if c.h.Loads.Get(endpoint).Load.State == wire.StateDown {
		return 1
	}
	return 0
}

func (c *serviceCall) send(ctx context.Context, endpoint string) (wire.Message, error) {
	c.tried = append(c.tried, endpoint)
	if deadline, ok := ctx.Deadline(); ok {
		c.message.Timeout = max(time.Millisecond, time.Until(deadline))
	}
	to := agent.Target{Name: endpoint, Address: c.req.snapshot.rings.Endpoints[endpoint].Address}
	return c.h.Agents.Call(ctx, to, c.message)
}

func (c *serviceCall) logRouted(endpoint, reason string, candidates []string) {
	event.Info(c.h.Log, event.CallRouted, "request", c.req.id, "organisation", c.message.Organisation, "service", c.service.Name,
		"endpoint", endpoint, "reason", reason, "attempt", len(c.tried)+1, "candidates", candidates)
}

func occurrences(list []string, s string) (n int) {
	for _, item := range list {
		if item == s {
			n++
		}
	}
	return n
}
