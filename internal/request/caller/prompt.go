package caller

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/routing"
)

func (h *Handler) serveCompletion(ctx context.Context, q *request) *refusal {
	return h.servePrompt(ctx, q, false)
}

func (h *Handler) serveChat(ctx context.Context, q *request) *refusal {
	return h.servePrompt(ctx, q, true)
}

func (h *Handler) servePrompt(ctx context.Context, q *request, chat bool) *refusal {
	if q.r.Method != http.MethodPost {
		return methodNotAllowed(q.w, http.MethodPost)
	}
	body, f := q.readBody()
	if f != nil {
		return f
	}
	c, err := decodeCompletion(body, chat, q.limits.MaxTokens)
	if err != nil {
		return refuse("BadRequest", err.Error())
	}
	m := q.state.models[c.model]
	if m == nil {
		return refuse("UnknownModel", "")
	}
	if !slices.Contains(q.organisation.Models, c.model) {
		return refuse("NotEntitled", "")
	}
	u := &run{h: h, q: q, c: &c, answer: &answer{w: q.w, control: q.control, request: &c, id: q.id, created: q.begun,
		writeTimeout: q.limits.BodyTimeout}, fingerprint: fingerprint(q.organisation.Name, &c)}
	if h.Marks != nil {
		if left, yes := h.Marks.Quarantined(u.fingerprint, q.begun); yes {
			return &refusal{reason: "Quarantined", detail: "for " + left.Round(time.Second).String()}
		}
	}
	h.Budget.Request(q.begun)
	f = u.do(ctx)
	u.end(f)
	if f != nil && u.answer.started {
		u.answer.fail(f)
		return nil
	}
	return f
}

// fingerprint identifies a request for crash accounting: organisation, model and prompt.
func fingerprint(organisation string, c *completion) uint64 {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%d:%s%d:%s", len(organisation), organisation, len(c.model), c.model)
	var b [4]byte
	for _, t := range c.prompt {
		binary.BigEndian.PutUint32(b[:], t)
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}

// place is what routing knows of a prompt under one configuration version.
type place struct {
	state  *state
	model  *model
	prompt routing.Prompt
}

// locate prepares routing by the configuration in force, which may have changed since the last attempt.
func (u *run) locate() (*place, *refusal) {
	s := u.h.state.Load()
	if u.place != nil && u.place.state == s {
		return u.place, nil
	}
	m := s.models[u.c.model]
	if m == nil {
		return nil, refuse("UnknownModel", "")
	}
	o := u.q.organisation
	block := m.BlockTokens
	if block <= 0 {
		block = 1024
	}
	chain := prefix.Chain(o.Name, m.Version, u.c.prompt, block)
	u.place = &place{state: s, model: m, prompt: routing.Prompt{
		Key: routing.PlacementKey(o.Name, u.c.cacheKey, chain, o.SharedBlocks), Chain: chain, Random: u.random}}
	return u.place, nil
}

// logRouted logs a routing decision with its candidates.
func (u *run) logRouted(d *routing.Decision, version uint64) {
	candidates := make([]string, len(d.Weighed))
	for i := range d.Weighed {
		w := &d.Weighed[i]
		candidates[i] = fmt.Sprintf("%s %s %s cost=%.3f wait=%s cold=%s fetch=%s prefill=%s recompute=%s cached=%d", w.Endpoint,
			w.Source, w.Class, w.Cost, short(w.Wait), short(w.Cold), short(w.Fetch), short(w.Prefill), short(w.Recompute), w.Cached)
	}
	endpoint := ""
	if len(d.Weighed) > 0 {
		endpoint = d.Weighed[0].Endpoint
	}
	event.Info(u.h.Log, event.RequestRouted, "request", u.q.id, "organisation", u.q.organisation.Name, "model", u.c.model,
		"endpoint", endpoint, "reason", d.Reason.String(), "key", d.Key.Source.String(), "attempt", u.attempts+1,
		"given", len(u.given), "version", version, "candidates", candidates)
}

func short(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// end logs how a prompt ended.
func (u *run) end(f *refusal) {
	result := "complete"
	if f != nil {
		result = string(f.reason)
	}
	took := time.Since(u.q.begun)
	u.h.count("Prompts." + result)
	if !u.firstToken.IsZero() {
		u.h.observe("FirstTokenMicroseconds", u.firstToken.Sub(u.q.begun).Microseconds())
	}
	event.Info(u.h.Log, event.RequestEnded, "request", u.q.id, "organisation", u.q.organisation.Name, "result", result,
		"attempts", u.attempts, "promptTokens", len(u.c.prompt), "cachedTokens", u.cached, "tokens", len(u.given),
		"took", took.String())
}
