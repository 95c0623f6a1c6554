package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/process/engine"
)

// maxBodyBytes bounds the body of a request. A prompt of 128k tokens takes about 1 MB of JSON.
const maxBodyBytes = 64 << 20

// Serve executes the batch and serves HTTP on the listener until ctx is done or the listener fails. It then closes the
// listener and cuts open streams.
func (e *Engine) Serve(ctx context.Context, l net.Listener) (err error) {
	defer func() { err = errors.Wrap(err, "engine stand-in") }()
	batchDone := make(chan struct{})
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer close(batchDone)
		e.runBatch(ctx)
	}()
	// Tests must reach the ledger and the admin routes during an injected fault too.
	handler := e.Faults.Wrap(e.Handler(), "/ledger", "/admin/cold", "/admin/cut", "/admin/detach", "/admin/set", "/admin/pause",
		"/admin/resume")
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(l) }()
	select {
	case <-ctx.Done():
		err = server.Close()
		<-serveErr
	case err = <-serveErr:
	}
	cancel()
	<-batchDone
	e.Cut()
	return err
}

// Handler returns the HTTP interface without injected faults. Tokens are generated only while Serve runs.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Ledger()) })
	admin := func(path string, act func(r *http.Request)) {
		mux.HandleFunc("POST /admin/"+path, func(_ http.ResponseWriter, r *http.Request) { act(r) })
	}
	admin("cold", func(*http.Request) { e.TurnCold() })
	admin("detach", func(*http.Request) { e.Detach() })
	admin("cut", func(*http.Request) { e.Cut() })
	admin("pause", func(*http.Request) { e.Pause(true) })
	admin("resume", func(*http.Request) { e.Pause(false) })
	admin("set", func(r *http.Request) { e.Set(r.FormValue("Model"), r.FormValue("Version"), r.FormValue("Role")) })

	handle := func(pattern string, h http.HandlerFunc) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			if e.restarting(time.Now()) {
				http.Error(w, "restarting", http.StatusServiceUnavailable)
				return
			}
			h(w, r)
		})
	}
	handle("POST /generate", e.handleGenerate)
	handle("DELETE /generate/{RequestID}", func(w http.ResponseWriter, r *http.Request) {
		if !e.Cancel(r.PathValue("RequestID")) {
			http.Error(w, "no such run", http.StatusNotFound)
		}
	})
	handle("GET /health", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Health()) })
	handle("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.laggedLoad(time.Now())) })
	handle("GET /cache/events", e.handleCacheEvents)
	handle("GET /cache/blocks/{ID}", e.handleExportBlock)
	handle("PUT /cache/blocks/{ID}", e.handleImportBlock)
	handle("POST /orders", e.handleOrder)
	return mux
}

// restarting reports whether the engine is still down after a crash.
func (e *Engine) restarting(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.downUntil)
}

// Health returns the current state of the engine.
func (e *Engine) Health() engine.Health {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.Health{
		Incarnation: e.incarnation, Warm: e.warm(), Capacity: e.capacity(), Running: len(e.runs),
		Model: e.model, Version: e.version, Role: e.role, Epoch: e.epoch, RateLimited: e.rateLimited, MaxRate: e.maxRate,
	}
}

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var req engine.Request
	if !readJSON(w, r, &req) {
		return
	}
	run, err := e.submit(req, time.Now())
	if err != nil {
		writeError(w, err)
		return
	}
	defer e.abandon(run)
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		events, ended := e.takeEvents(run)
		for _, event := range events {
			if err := writeEvent(w, event); err != nil {
				return
			}
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		if ended {
			if n := len(events); n == 0 || !isEnd(events[n-1]) {
				panic(http.ErrAbortHandler) // closes the connection without ending the response
			}
			return
		}
		select {
		case <-run.wake:
		case <-r.Context().Done():
			return
		}
	}
}

func isEnd(event any) bool {
	_, ok := event.(engine.End)
	return ok
}

// takeEvents returns the pending events of a run and reports whether its stream ends after them.
func (e *Engine) takeEvents(r *run) (events []any, ended bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	events, r.events = r.events, nil
	return events, r.ended || r.detached
}

func writeEvent(w io.Writer, event any) error {
	name := engine.EventTokens
	switch event.(type) {
	case engine.Accepted:
		name = engine.EventAccepted
	case engine.End:
		name = engine.EventEnd
	}
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, data)
	return err
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("After"), 10, 64)
	if err != nil {
		writeError(w, engine.ErrBadRequest)
		return
	}
	e.mu.Lock()
	page := e.cache.eventsAfter(after, time.Now().Add(-e.settings.EventDelay))
	page.Incarnation = e.incarnation
	e.mu.Unlock()
	writeJSON(w, page)
}

func (e *Engine) handleExportBlock(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("ID")
	e.mu.Lock()
	b := e.cache.blocks[id]
	e.mu.Unlock()
	if b == nil {
		writeError(w, engine.ErrNotFound)
		return
	}
	data := b.data
	if data == nil {
		data = blockData(id, e.settings.BlockBytes)
	}
	w.Header().Set(engine.HeaderVersion, b.version)
	w.Header().Set(engine.HeaderChecksum, engine.Checksum(data))
	_, _ = w.Write(data)
}

// blockData returns n pseudo-random bytes that depend only on the identity of a block.
func blockData(id string, n int) []byte {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	var seed [32]byte
	h.Sum(seed[:0])
	data := make([]byte, n)
	_, _ = rand.NewChaCha8(seed).Read(data)
	return data
}

func (e *Engine) handleImportBlock(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || r.Header.Get(engine.HeaderChecksum) != engine.Checksum(data) {
		writeError(w, engine.ErrBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case r.Header.Get(engine.HeaderVersion) != e.version:
		writeError(w, engine.ErrWrongVersion)
	case !e.cache.put(r.PathValue("ID"), e.version, data, time.Now()):
		writeError(w, engine.ErrFull)
	}
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !readJSON(w, r, &o) {
		return
	}
	if err := e.Order(r.Context(), o); err != nil {
		writeError(w, err)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	for target, s := range map[error]int{
		engine.ErrBusy: http.StatusTooManyRequests, engine.ErrWrongVersion: http.StatusConflict,
		engine.ErrOldEpoch: http.StatusConflict, engine.ErrNotFound: http.StatusNotFound,
		engine.ErrFull: http.StatusInsufficientStorage, engine.ErrBadRequest: http.StatusBadRequest,
	} {
		if errors.Is(err, target) {
			status = s
		}
	}
	http.Error(w, err.Error(), status)
}
