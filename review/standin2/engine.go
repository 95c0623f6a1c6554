//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// model is the model of all engines. Its weights have version 1.
const model = "m0"

// engineSlots is the number of requests that an engine runs at once, engineStep the time for a token of an answer.
const (
	engineSlots = 64
	engineStep  = 4 * time.Millisecond
)

// engine is a model server. It reads one prompt after the other.
type engine struct {
	record       *record
	id, zone     string
	tokensPerMs  float64
	stores       map[string]*kvStore
	address      netip.AddrPort
	born         int64
	log          partLog
	jobs         chan *job
	running, all atomic.Int32

	mu sync.Mutex
	// cached are the parts in memory, with the tenants whose requests made them.
	cached map[partKey]string
	// used is called for each part in memory that a request uses; it may be nil.
	used func(request, tenant string, key partKey, maker string)
}

// job is the prompt of a request.
type job struct {
	ctx         context.Context
	id, salt    string
	tenant      string
	parts       []part
	fetch, save []string
	until       time.Duration
	read        chan struct{}
}

type part struct {
	id     string
	tokens int
}

func newEngine(r *record, id, zone string, tokensPerMs float64, stores map[string]*kvStore) *engine {
	e := &engine{record: r, id: id, zone: zone, tokensPerMs: tokensPerMs, stores: stores, born: time.Now().UnixMilli(), jobs: make(chan *job, 256),
		cached: map[partKey]string{}}
	e.log.reset(1)
	go e.work()
	return e
}

// entry is how the engine registers itself.
func (e *engine) entry(service string, sequence int) map[string]any {
	return map[string]any{"service": service, "address": e.address.String(), "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready",
		"cold_remaining_ms": 0, "stage": "both", "models": e.models(), "sequence": sequence, "born": e.born}
}

func (e *engine) models() []map[string]any {
	return []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/primrosecourse/report":
		waiting := max(0, e.all.Load()-e.running.Load())
		reply(w, map[string]any{"stage": "both", "models": e.models(), "busy": false, "sequence": 0, "queued": waiting, "running": e.running.Load(),
			"kv_used": 0, "kv_total": 70494, "handles": 0, "born": e.born, "clock_ms": e.record.now().Milliseconds()})
	case "/primrosecourse/kv-events":
		e.log.serve(w, r, e.record.now)
	case "/primrosecourse/order":
		_ = json.NewEncoder(w).Encode(nil) // the weights are those that are named
	default:
		e.serve(w, r)
	}
}

// serve reads the prompt of a request and answers with a stream.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if version := r.Header.Get("X-Expect-Version"); version != "" && version != "1" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.all.Add(1)
	defer e.all.Add(-1)
	untilMs, _ := strconv.ParseInt(r.Header.Get("X-Kv-Until"), 10, 64)
	j := &job{ctx: r.Context(), id: id, salt: r.Header.Get("X-Cache-Salt"), tenant: r.Header.Get("X-Tenant"), parts: parseParts(r.Header.Get("X-Prompt-Prefix")), until: time.Duration(untilMs) * time.Millisecond, read: make(chan struct{})}
	j.fetch, j.save = strings.Split(r.Header.Get("X-Kv-Fetch"), ","), strings.Split(r.Header.Get("X-Kv-Save"), ",")
	e.record.line("%s arrives at %s, fetch %q, save %q, until %d", id, e.id, r.Header.Get("X-Kv-Fetch"), r.Header.Get("X-Kv-Save"), untilMs)
	e.jobs <- j
	select {
	case <-r.Context().Done():
		return
	case <-j.read:
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Server-Seal", "seal."+e.id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", e.running.Load(), max(0, e.all.Load()-e.running.Load()), engineSlots))
	for n := 1; n <= 20; n++ {
		time.Sleep(engineStep)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
	e.record.line("%s ends at %s", id, e.id)
}

func parseParts(prefix string) (parts []part) {
	for item := range strings.SplitSeq(prefix, ",") {
		id, tokens, _ := strings.Cut(item, ":")
		n, _ := strconv.Atoi(tokens)
		parts = append(parts, part{id, n})
	}
	return parts
}

// work reads prompts one after the other.
func (e *engine) work() {
	for j := range e.jobs {
		if j.ctx.Err() == nil {
			e.readPrompt(j)
		}
		close(j.read)
	}
}

// readPrompt fetches what is to be fetched, reads the rest, and saves what is to be saved once it is read.
func (e *engine) readPrompt(j *job) {
	e.record.line("%s runs at %s", j.id, e.id)
	for i, p := range j.parts {
		key := partKey{j.salt, p.id}
		e.mu.Lock()
		maker, known := e.cached[key]
		e.mu.Unlock()
		if known {
			if e.used != nil {
				e.used(j.id, j.tenant, key, maker)
			}
			continue
		}
		if store := e.stores[at(j.fetch, i)]; store == nil || !store.fetch(j.id, key, e.zone, j.until) {
			time.Sleep(time.Duration(float64(p.tokens) / e.tokensPerMs * float64(time.Millisecond)))
			if store := e.stores[at(j.save, i)]; store != nil {
				go store.save(j.id, key, p.tokens, e.zone)
			}
		}
		e.mu.Lock()
		e.cached[key] = j.tenant
		e.mu.Unlock()
		e.log.add(key, p.tokens)
	}
}

// at returns an element of a list, "" if it is too short.
func at(list []string, i int) string {
	if i < len(list) {
		return list[i]
	}
	return ""
}
