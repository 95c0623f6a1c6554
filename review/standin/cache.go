package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// partKey identifies a part of a prompt under a cache salt.
type partKey struct{ salt, id string }

// eventLog holds the events of a store or server. The caller guards it.
type eventLog struct {
	epoch  uint64
	events []cacheEvent
}

type cacheEvent struct {
	at     time.Time
	sign   string
	key    partKey
	tokens int
}

// Events are told 40 to 80 ms late, with events_lag_ms of the site's stores as the mean; each call has its own lag.
const (
	minEventLag  = 40 * time.Millisecond
	eventLagSpan = 40 * time.Millisecond
)

func (l *eventLog) add(sign string, key partKey, tokens int) {
	l.events = append(l.events, cacheEvent{time.Now(), sign, key, tokens})
}

// since returns the rows of the events after a number that are old enough to be told, and the number of the last one told.
func (l *eventLog) since(n int, lag time.Duration) (rows [][]any, next int) {
	next = n
	for i := max(0, n); i < len(l.events); i++ {
		e := l.events[i]
		if time.Since(e.at) < lag {
			break
		}
		rows = append(rows, []any{i + 1, e.sign, e.key.salt, e.key.id, e.tokens, modelName})
		next = i + 1
	}
	return rows, next
}

func nowMs() int64 { return time.Now().UnixMilli() }

// serveEvents answers kv-events. A call waits until there are events, for Wait-Ms at most. One for events that never were shows a gap.
func serveEvents(w http.ResponseWriter, r *http.Request, read func(since int, lag time.Duration) (epoch uint64, rows [][]any, next int, lost bool)) {
	lag := minEventLag + rand.N(eventLagSpan)
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	ms, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	deadline := time.Now().Add(time.Duration(min(ms, 1000)) * time.Millisecond)
	for {
		epoch, rows, next, lost := read(since, lag)
		if len(rows) > 0 || lost || !time.Now().Before(deadline) {
			if rows == nil {
				rows = [][]any{}
			}
			answer(w, http.StatusOK, map[string]any{"epoch": epoch, "next": next, "lost": lost, "events": rows, "clock_ms": nowMs()})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// kvStore is a stand-in of a managed store of KV cache: it drops nothing by itself and loses all when it restarts.
type kvStore struct {
	mu       sync.Mutex
	dark     bool
	log      eventLog
	parts    map[partKey]*storedPart
	capacity int
	mbps     float64
	first    time.Duration
	// calls is told each call with the address of its connection when it arrives.
	calls func(path, from string)
}

type storedPart struct {
	tokens int
	whole  bool
}

func (s *kvStore) used() (n int) {
	for _, p := range s.parts {
		n += p.tokens
	}
	return n
}

// transfer returns how long a part takes between zones.
func (s *kvStore) transfer(tokens int) time.Duration {
	ms := float64(tokens) * tokenBytes * 8 / (s.mbps * 1000)
	return s.first + time.Duration(2*ms*float64(time.Millisecond))
}

// reserve begins to write a part. It returns nil if the part is there already, or there is no room, or the store is down.
func (s *kvStore) reserve(key partKey, tokens int) (p *storedPart, epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dark || s.parts[key] != nil || s.used()+tokens > s.capacity {
		return nil, 0
	}
	p = &storedPart{tokens: tokens}
	s.parts[key] = p
	return p, s.log.epoch
}

// complete ends the writing of a part unless the store has restarted since.
func (s *kvStore) complete(key partKey, p *storedPart, epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.log.epoch == epoch && s.parts[key] == p {
		p.whole = true
		s.log.add("+", key, p.tokens)
	}
}

// state returns whether a part is there and whether it is whole.
func (s *kvStore) state(key partKey) (there, whole, dark bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.parts[key]
	return p != nil, p != nil && p.whole, s.dark
}

// stop makes the store lose everything; start brings it back under another epoch.
func (s *kvStore) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dark = true
	s.parts = map[partKey]*storedPart{}
	s.log = eventLog{epoch: s.log.epoch + 1000}
}

func (s *kvStore) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dark = false
}

// ServeHTTP implements http.Handler.
func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls(r.URL.Path, r.RemoteAddr)
	switch r.URL.Path {
	case "/primrosecourse/kv-list":
		s.mu.Lock()
		held, incomplete := [][]any{}, [][]any{}
		for key, p := range s.parts {
			if p.whole {
				held = append(held, []any{key.salt, key.id, p.tokens, modelName})
			} else {
				incomplete = append(incomplete, []any{key.salt, key.id, 0, p.tokens})
			}
		}
		body := map[string]any{"epoch": s.log.epoch, "next": len(s.log.events), "held": held, "incomplete": incomplete, "clock_ms": nowMs()}
		s.mu.Unlock()
		answer(w, http.StatusOK, body)
	case "/primrosecourse/kv-events":
		serveEvents(w, r, func(since int, lag time.Duration) (uint64, [][]any, int, bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			rows, next := s.log.since(since, lag)
			return s.log.epoch, rows, next, since > len(s.log.events)
		})
	case "/primrosecourse/report":
		s.mu.Lock()
		defer s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"kv_used": s.used(), "kv_total": s.capacity, "epoch": s.log.epoch, "clock_ms": nowMs()})
	default:
		answer(w, http.StatusNotFound, nil)
	}
}

// engine is a stand-in of a model server.
type engine struct {
	id    string
	zone  string
	store *kvStore
	// storeAddr is the address under which requests name the store.
	storeAddr string
	notes     *notebook
	// pause is the time between two events of an answer.
	pause time.Duration

	mu       sync.Mutex
	log      eventLog
	cached   []cachedPart
	capacity int
	running  int
	broken   int
}

type cachedPart struct {
	key    partKey
	tokens int
}

// has reports whether a part is cached and makes it the most recently used one.
func (e *engine) has(key partKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, p := range e.cached {
		if p.key == key {
			e.cached = append(append(e.cached[:i:i], e.cached[i+1:]...), p)
			return true
		}
	}
	return false
}

// keep caches a part; the least recently used ones yield.
func (e *engine) keep(key partKey, tokens int) {
	if e.has(key) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cached = append(e.cached, cachedPart{key, tokens})
	e.log.add("+", key, tokens)
	for used := 0; ; used = 0 {
		for _, p := range e.cached {
			used += p.tokens
		}
		if used <= e.capacity {
			return
		}
		e.log.add("-", e.cached[0].key, 0)
		e.cached = e.cached[1:]
	}
}

// fetch reads a part from the store and reports whether it is there. It records the breach if the part is still being written.
func (e *engine) fetch(ctx context.Context, request string, key partKey, tokens int, until int64) bool {
	there, whole, dark := e.store.state(key)
	switch {
	case dark:
		pause(ctx, 300*time.Millisecond)
		return false
	case !there:
		pause(ctx, time.Millisecond)
		return false
	}
	took := e.store.transfer(tokens)
	pause(ctx, took)
	if until > 0 && nowMs() > until {
		return false
	}
	if !whole {
		e.mu.Lock()
		e.broken++
		e.mu.Unlock()
		e.notes.add("BROKEN %s: request %s read part %s from the store, which was still being written there", e.id, request, key.id)
	}
	return true
}

func (e *engine) breaches() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.broken
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.WriteHeader(http.StatusOK)
	case "/primrosecourse/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"stage": "both", "models": e.models(), "busy": false, "sequence": 0, "queued": 0,
			"running": e.running, "kv_used": 0, "kv_total": e.capacity, "handles": 0, "born": bornMs, "clock_ms": nowMs()})
	case "/primrosecourse/kv-events":
		serveEvents(w, r, func(since int, lag time.Duration) (uint64, [][]any, int, bool) {
			e.mu.Lock()
			defer e.mu.Unlock()
			rows, next := e.log.since(since, lag)
			return e.log.epoch, rows, next, since > len(e.log.events)
		})
	default:
		e.run(w, r)
	}
}

func (e *engine) models() []map[string]any {
	return []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}}
}

// run serves a request for a stream.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if v := r.Header.Get("X-Expect-Version"); v != "" && v != "1" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.running++
	load := fmt.Sprintf("%d,0,64", e.running)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.notes.add("%s runs %s: fetch %q save %q", e.id, id, r.Header.Get("X-Kv-Fetch"), r.Header.Get("X-Kv-Save"))
	e.read(r, id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Server-Seal", "seal."+e.id)
	w.Header().Set("X-Server-Load", load)
	w.Header().Set("X-Weight-Versions", "1")
	_, out, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	events, _ := strconv.Atoi(out)
	for n := 1; n <= events && r.Context().Err() == nil; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		pause(r.Context(), e.pause)
	}
	if r.Context().Err() != nil {
		e.notes.add("%s: the caller of %s has closed the connection", e.id, id)
	}
}

// read reads the prompt of a request: it fetches what it lacks, prefills the rest and saves it.
func (e *engine) read(r *http.Request, id string) {
	parts := parsePrefix(r.Header.Get("X-Prompt-Prefix"))
	fetches, saves := splitList(r.Header.Get("X-Kv-Fetch"), len(parts)), splitList(r.Header.Get("X-Kv-Save"), len(parts))
	until, _ := strconv.ParseInt(r.Header.Get("X-Kv-Until"), 10, 64)
	salt := r.Header.Get("X-Cache-Salt")
	prefix := true
	unread := 0
	for i, p := range parts {
		key := partKey{salt, p.id}
		switch {
		case e.has(key):
		case prefix && fetches[i] != "" && fetches[i] == e.storeAddr && e.fetch(r.Context(), id, key, p.tokens, until):
			e.keep(key, p.tokens)
		default:
			prefix = false
			unread += p.tokens
		}
	}
	pause(r.Context(), time.Duration(float64(unread)/prefillPerMs*float64(time.Millisecond)))
	if r.Context().Err() != nil {
		return
	}
	for i, p := range parts {
		key := partKey{salt, p.id}
		e.keep(key, p.tokens)
		if saves[i] == "" || saves[i] != e.storeAddr {
			continue
		}
		if reserved, epoch := e.store.reserve(key, p.tokens); reserved != nil {
			e.notes.add("%s begins to write part %s to the store (request %s)", e.id, p.id, id)
			time.AfterFunc(e.store.transfer(p.tokens), func() { e.store.complete(key, reserved, epoch) })
		}
	}
}
