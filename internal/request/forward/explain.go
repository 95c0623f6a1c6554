package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"primrosecourse/internal/connection/front"
	"primrosecourse/internal/process/explain"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/tiering"
)

// Explain returns where a request would go now and why, by the same decisions as for a request, without sending or counting it. A stream is
// explained as a new one, and the quarantine of single requests is that of one without a body.
func (h *Handler) Explain(q *explain.Question) *explain.Explanation {
	now := time.Now()
	req := &request{handler: h, incoming: &front.Request{Method: http.MethodPost, Host: q.Host, Path: q.Path, Target: q.Path, Arrived: now},
		caller: context.Background(), started: now, meta: Meta{ID: strconv.FormatUint(rand.Uint64(), 16), Credential: q.Credential, Model: q.Model,
			PromptTokens: q.PromptTokens, MaxTokens: q.MaxTokens}}
	for _, p := range q.Parts {
		req.meta.Parts = append(req.meta.Parts, tiering.Part{ID: p.ID, Tokens: p.Tokens})
	}
	x := &explain.Explanation{}
	d := req.identify()
	req.describe(x)
	if d != nil {
		x.Refusal = &explain.Refusal{Status: d.status, Reason: d.reason, Detail: d.detail, RetryAfter: d.retryAfter.Milliseconds()}
		return x
	}
	req.deadline = now.Add(req.timeout)
	if h.Builds != nil && req.route.Repeat == site.Resume {
		req.pinned.stream = req.buildStream()
		req.pinned.build, req.pinned.active = h.Builds.Planned(req.pinned.stream)
		x.Build = req.pinned.build
	}
	placementRequest, candidates := req.placementRequest(now)
	choice, refusal, list := h.Table.Explain(now, placementRequest, candidates)
	for _, e := range list {
		x.Candidates = append(x.Candidates, req.explainCandidate(placementRequest, e))
	}
	if refusal != nil {
		x.Refusal = &explain.Refusal{Status: http.StatusServiceUnavailable, Reason: refusal.Reason.String(), RetryAfter: refusal.RetryAfter.Milliseconds(),
			Waits: mayFindRoom(refusal, now.Add(time.Duration(roomPatience*float64(req.timeout))))}
		return x
	}
	x.Endpoint, x.Reason = choice.Endpoint.ID, choice.Reason.String()
	return x
}

// describe states what is known of the request before an endpoint is chosen.
func (req *request) describe(x *explain.Explanation) {
	if c := req.snapshot.Configuration; c != nil {
		x.Configuration = c.Version
	}
	x.Service, x.Version = req.service, req.snapshot.Versions[req.meta.Model]
	if req.organisation != nil {
		x.Organisation = req.organisation.Name
	}
	if req.route == nil {
		return
	}
	x.Route, x.Kind = req.route.Name, routeKind(req.route)
	if len(req.route.Shares) > 1 {
		for _, s := range req.route.Shares {
			x.Shares = append(x.Shares, fmt.Sprintf("%s (%g)", s.Service, s.Weight))
		}
	}
}

// explainCandidate returns the parts of the cost at an endpoint.
func (req *request) explainCandidate(r *placement.Request, e placement.Explained) explain.Candidate {
	c := explain.Candidate{Endpoint: e.Endpoint.ID, Build: e.Endpoint.Build, Excluded: e.Excluded}
	c.Version, _ = e.Endpoint.Version(req.meta.Model)
	if e.Choice.Endpoint == nil {
		return c
	}
	prefill := time.Duration(float64(e.Choice.PrefillTokens) / req.handler.Table.PrefillRate(req.service) * float64(time.Second))
	c.Cost, c.Wait, c.Prefill = milliseconds(e.Cost), milliseconds(e.Choice.Wait), milliseconds(prefill)
	c.Fetch, c.Other = milliseconds(max(0, e.Choice.FirstToken-e.Choice.Wait-prefill)), milliseconds(e.Cost-e.Choice.FirstToken)
	c.PrefillTokens, c.CachedTokens = e.Choice.PrefillTokens, r.Tokens-e.Choice.PrefillTokens
	return c
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
