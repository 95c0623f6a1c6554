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

func (h *Handler) serveCompletion(ctx context.Context, req *request) *failure {
	return h.servePrompt(ctx, req, false)
}

func (h *Handler) serveChat(ctx context.Context, req *request) *failure {
	return h.servePrompt(ctx, req, true)
}

func (h *Handler) servePrompt(ctx context.Context, req *request, chat bool) *failure {
	if req.r.Method != http.MethodPost {
		return methodNotAllowed(req.w, http.MethodPost)
	}
	body, f := req.readBody()
	if f != nil {
		return f
	}
	c, err := decodeCompletion(body, chat, req.limits.MaxTokens)
	if err != nil {
		return newFailure("BadRequest", err.Error())
	}
	m := req.snapshot.models[c.model]
	if m == nil {
		return newFailure("UnknownModel", "")
	}
	if !slices.Contains(req.organisation.Models, c.model) {
		return newFailure("NotEntitled", "")
	}
	r := &promptRun{h: h, req: req, completion: &c, writer: &completionWriter{w: req.w, control: req.control, announceStop: h.announceStop,
		completion: &c, id: req.id, created: req.receivedAt, writeTimeout: req.limits.BodyTimeout},
		fingerprint: fingerprint(req.organisation.Name, &c)}
	if h.Marks != nil {
		if remaining, ok := h.Marks.Quarantined(r.fingerprint, req.receivedAt); ok {
			return &failure{reason: "Quarantined", detail: "for " + remaining.Round(time.Second).String()}
		}
	}
	h.Budget.Request(req.receivedAt)
	f = r.execute(ctx)
	r.recordEnd(f)
	if f != nil && r.writer.started {
		r.writer.fail(f)
		return nil
	}
	return f
}

// fingerprint returns a hash of organisation, model and prompt that identifies a request for crash accounting.
func fingerprint(organisation string, c *completion) uint64 {
	digest := xxhash.New()
	_, _ = fmt.Fprintf(digest, "%d:%s%d:%s", len(organisation), organisation, len(c.model), c.model)
	var buf [4]byte
	for _, t := range c.prompt {
		binary.BigEndian.PutUint32(buf[:], t)
		_, _ = digest.Write(buf[:])
	}
	return digest.Sum64()
}

// routeInput is the input for routing a prompt under one configuration version.
type routeInput struct {
	snapshot *snapshot
	model    *model
	prompt   routing.Prompt
}

// prepareRouting returns the routing input for the configuration in force, which may have changed since the last attempt.
func (r *promptRun) prepareRouting() (*routeInput, *failure) {
	s := r.h.snapshot.Load()
	if r.routeInput != nil && r.routeInput.snapshot == s {
		return r.routeInput, nil
	}
	m := s.models[r.completion.model]
	if m == nil {
		return nil, newFailure("UnknownModel", "")
	}
	o := r.req.organisation
	blockTokens := m.BlockTokens
	if blockTokens <= 0 {
		blockTokens = 1024
	}
	chain := prefix.Chain(o.Name, m.Version, r.completion.prompt, blockTokens)
	r.routeInput = &routeInput{snapshot: s, model: m, prompt: routing.Prompt{
		Key: routing.PlacementKey(o.Name, r.completion.cacheKey, chain, o.SharedBlocks), Chain: chain, Random: r.random}}
	return r.routeInput, nil
}

// logRouted logs a routing decision with its candidates.
func (r *promptRun) logRouted(d *routing.Decision, version uint64) {
	candidates := make([]string, len(d.Weighed))
	for i := range d.Weighed {
		w := &d.Weighed[i]
		candidates[i] = fmt.Sprintf("%s %s %s cost=%.3f wait=%s cold=%s fetch=%s prefill=%s recompute=%s cached=%d", w.Endpoint,
			w.Source, w.Class, w.Cost, roundMillis(w.Wait), roundMillis(w.Cold), roundMillis(w.Fetch), roundMillis(w.Prefill),
			roundMillis(w.Recompute), w.Cached)
	}
	endpoint := ""
	if len(d.Weighed) > 0 {
		endpoint = d.Weighed[0].Endpoint
	}
	event.Info(r.h.Log, event.RequestRouted, "request", r.req.id, "organisation", r.req.organisation.Name,
		"model", r.completion.model, "endpoint", endpoint, "reason", d.Reason.String(), "key", d.Key.Source.String(),
		"attempt", r.attempts+1, "given", len(r.generated), "version", version, "candidates", candidates)
}

func roundMillis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// recordEnd logs the result of the prompt and updates its metrics; f is nil if the answer is complete.
func (r *promptRun) recordEnd(f *failure) {
	result := "complete"
	if f != nil {
		result = string(f.reason)
	}
	took := time.Since(r.req.receivedAt)
	r.h.count("Prompts." + result)
	if !r.firstTokenAt.IsZero() {
		r.h.observe("FirstTokenMicroseconds", r.firstTokenAt.Sub(r.req.receivedAt).Microseconds())
	}
	event.Info(r.h.Log, event.RequestEnded, "request", r.req.id, "organisation", r.req.organisation.Name, "result", result,
		"attempts", r.attempts, "promptTokens", len(r.completion.prompt), "cachedTokens", r.cachedTokens, "tokens", len(r.generated),
		"took", took.String())
}
