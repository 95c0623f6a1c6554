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

// maxKeyBytes bounds an Idempotency-Key.
const maxKeyBytes = 255

// maxCallAttempts bounds the endpoints that one call is sent to, refusals included.
const maxCallAttempts = 5

// call is a call of a plain service on its way.
type call struct {
	h       *Handler
	q       *request
	service *service
	message wire.Call
	tried   []string
}

func (h *Handler) serveCall(ctx context.Context, q *request) *refusal {
	name := q.r.PathValue("name")
	v := q.state.services[name]
	if v == nil {
		return refuse(ReasonUnknownService, "")
	}
	if !slices.Contains(q.organisation.Services, name) {
		return refuse("NotEntitled", "")
	}
	once := v.once(q.r.Method)
	key := q.r.Header.Get("Idempotency-Key")
	switch {
	case once && key == "":
		return refuse("KeyMissing", "")
	case len(key) > maxKeyBytes:
		return refuse("BadRequest", "Idempotency-Key is longer than 255 bytes")
	case !once:
		key = ""
	}
	body, f := q.readBody()
	if f != nil {
		return f
	}
	c := &call{h: h, q: q, service: v, message: wire.Call{
		ConfigVersion: q.state.version, Organisation: q.organisation.Name, Service: name, Method: q.r.Method, Path: path(q.r),
		ContentType: q.r.Header.Get("Content-Type"), Body: body, IdempotencyKey: key, RequestID: q.id,
	}}
	h.Budget.Request(q.begun)
	var reply wire.Reply
	if once {
		reply, f = c.once(ctx)
	} else {
		reply, f = c.repeat(ctx)
	}
	if f != nil {
		return f
	}
	if reply.ContentType != "" {
		q.w.Header().Set("Content-Type", reply.ContentType)
	}
	if reply.Replayed {
		q.w.Header().Set("Idempotent-Replayed", "true")
	}
	status := reply.Status
	if status < 200 || status > 599 {
		status = http.StatusBadGateway
	}
	_ = q.control.SetWriteDeadline(time.Now().Add(q.limits.BodyTimeout))
	q.w.WriteHeader(status)
	_, _ = q.w.Write(reply.Body)
	return nil
}

// path returns what follows the name of the service, as the caller wrote it.
func path(r *http.Request) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/services/"), "/")
	rest = "/" + rest
	if r.URL.RawQuery != "" {
		rest += "?" + r.URL.RawQuery
	}
	return rest
}

// once sends a call that may not be repeated. It goes to the owner of its shard, and to another endpoint only while it
// certainly did not run.
func (c *call) once(ctx context.Context) (wire.Reply, *refusal) {
	for {
		reply, f := c.round(ctx)
		if f == nil || f.outcome != wire.NotRun || !c.h.pause(ctx, c.q.begun, f) {
			return reply, f
		}
		c.tried, c.message.Unavailable = nil, nil
	}
}

// round offers the call to the owners of its shard until one takes it.
func (c *call) round(ctx context.Context) (wire.Reply, *refusal) {
	shards := c.q.state.deployment.Limits.ClaimShards
	if shards <= 0 {
		shards = 16
	}
	owners := claim.Owners(claim.Shard(c.message.Organisation, c.message.IdempotencyKey, shards), c.service.owners)
	last := refuse("NoEndpoint", "")
	next := ""
	for range maxCallAttempts {
		endpoint, reason := next, "Redirect"
		if endpoint == "" || !slices.Contains(c.service.owners, endpoint) || count(c.tried, endpoint) > 1 {
			i := slices.IndexFunc(owners, func(name string) bool { return !slices.Contains(c.tried, name) })
			if i < 0 {
				return wire.Reply{}, last
			}
			endpoint, reason = owners[i], "Owner"
		}
		c.log(endpoint, reason, owners)
		m, err := c.send(ctx, endpoint)
		if err != nil {
			if !errors.Is(err, agent.ErrNotSent) {
				// The bytes may have left. Another attempt could run the order twice.
				return wire.Reply{}, c.unknown(ctx)
			}
			if errors.Is(err, wire.ErrFrameTooLarge) {
				return wire.Reply{}, refuse(ReasonBodyTooLarge, "the call does not fit into a message")
			}
			if ctx.Err() != nil {
				return wire.Reply{}, refusalOf(ctx)
			}
			last, next = &refusal{reason: "NoEndpoint", detail: "the endpoint cannot be reached"}, ""
			c.message.Unavailable = append(c.message.Unavailable, endpoint)
			continue
		}
		switch m := m.(type) {
		case wire.Reply:
			return m, nil
		case wire.Refused:
			last, next = fromWire(m), m.Redirect
			if m.Outcome == wire.NotRun && m.Reason == wire.ReasonOldConfig && c.renew(ctx) {
				next = endpoint
				continue
			}
			if m.Outcome != wire.NotRun || !followed(m.Reason) {
				return wire.Reply{}, last
			}
			if stops(m.Reason) {
				c.message.Unavailable = append(c.message.Unavailable, endpoint)
			}
		default:
			return wire.Reply{}, c.unknown(ctx)
		}
	}
	return wire.Reply{}, last
}

// renew takes the configuration that an agent asked for, once it is there. The owners may be others then; an agent that is
// not the owner says so.
func (c *call) renew(ctx context.Context) bool {
	s := c.h.newer(ctx, c.q.state)
	if s == nil || s.services[c.service.Name] == nil {
		return false
	}
	c.q.state, c.service, c.message.ConfigVersion = s, s.services[c.service.Name], s.version
	return true
}

// followed tells whether a refusal that says "not run" sends a call on to another endpoint.
func followed(r wire.Reason) bool {
	switch r {
	case wire.ReasonNotOwner, wire.ReasonBusy, wire.ReasonCold, wire.ReasonDraining, wire.ReasonLeaving, wire.ReasonOldConfig,
		wire.ReasonServiceDown, wire.ReasonEngineDown:
		return true
	}
	return false
}

// stops tells whether an endpoint that refuses with this reason gives its shards up.
func stops(r wire.Reason) bool {
	return r == wire.ReasonDraining || r == wire.ReasonLeaving || r == wire.ReasonServiceDown
}

// unknown is the end of an order whose reply did not come.
func (c *call) unknown(ctx context.Context) *refusal {
	f := refuse("ReplyLost", "")
	if ctx.Err() != nil {
		f = refusalOf(ctx)
	}
	f.outcome = wire.OutcomeUnknown
	return f
}

// repeat sends a call that may be repeated to any endpoint, within the retry budget.
func (c *call) repeat(ctx context.Context) (wire.Reply, *refusal) {
	ring := c.q.state.rings.Services[c.service.Name]
	var candidates []string
	for _, i := range ring.Append(nil, rand.Uint64(), time.Now(), maxCallAttempts) {
		candidates = append(candidates, ring.Endpoint(i).Name)
	}
	// Endpoints that are known to be down come last.
	slices.SortStableFunc(candidates, func(a, b string) int { return c.down(a) - c.down(b) })
	last := refuse("NoEndpoint", "")
	for i, endpoint := range candidates {
		if i > 0 && !c.h.Budget.Retry(time.Now()) {
			c.h.count("RetryBudgetSpent")
			return wire.Reply{}, last
		}
		c.log(endpoint, "Any", candidates)
		m, err := c.send(ctx, endpoint)
		switch m := m.(type) {
		case wire.Reply:
			return m, nil
		case wire.Refused:
			last = fromWire(m)
			if m.Reason == wire.ReasonBadRequest || m.Reason == wire.ReasonNotEntitled || m.Reason == wire.ReasonDeadline {
				return wire.Reply{}, last
			}
		default:
			last = refuse(ReasonConnectionLost, "")
			if !errors.Is(err, agent.ErrNotSent) {
				last.outcome = wire.OutcomeUnknown
			}
		}
		if ctx.Err() != nil {
			f := refusalOf(ctx)
			f.outcome = last.outcome
			return wire.Reply{}, f
		}
	}
	return wire.Reply{}, last
}

func (c *call) down(endpoint string) int {
	if c.h.Loads.Get(endpoint).Load.State == wire.StateDown {
		return 1
	}
	return 0
}

func (c *call) send(ctx context.Context, endpoint string) (wire.Message, error) {
	c.tried = append(c.tried, endpoint)
	if deadline, ok := ctx.Deadline(); ok {
		c.message.Timeout = max(time.Millisecond, time.Until(deadline))
	}
	to := agent.Target{Name: endpoint, Address: c.q.state.rings.Endpoints[endpoint].Address}
	return c.h.Agents.Call(ctx, to, c.message)
}

func (c *call) log(endpoint, reason string, candidates []string) {
	event.Info(c.h.Log, event.CallRouted, "request", c.q.id, "organisation", c.message.Organisation, "service", c.service.Name,
		"endpoint", endpoint, "reason", reason, "attempt", len(c.tried)+1, "candidates", candidates)
}

func count(list []string, s string) (n int) {
	for _, item := range list {
		if item == s {
			n++
		}
	}
	return n
}
