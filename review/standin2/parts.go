//go:build review

package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// eventLag is how late a server or KV store tells what it holds.
const eventLag = 60 * time.Millisecond

// partKey is the salt and the ID of a part.
type partKey struct{ salt, id string }

// partEvent is a part that appeared.
type partEvent struct {
	number  int
	key     partKey
	tokens  int
	visible time.Time
}

// partLog holds the events of a server or KV store.
type partLog struct {
	mu     sync.Mutex
	epoch  uint64
	events []partEvent
}

// reset begins a new epoch without events.
func (l *partLog) reset(epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch, l.events = epoch, nil
}

func (l *partLog) add(key partKey, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, partEvent{len(l.events), key, tokens, time.Now().Add(eventLag)})
}

// next returns the number of the next event.
func (l *partLog) next() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.events)
}

// serve answers a call for events, as soon as there is one or after the wait of the call.
func (l *partLog) serve(w http.ResponseWriter, r *http.Request, clock func() time.Duration) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	waitMs, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	end := time.Now().Add(time.Duration(min(waitMs, 1000)) * time.Millisecond)
	for {
		l.mu.Lock()
		rows, next, epoch, now := [][]any{}, since, l.epoch, time.Now()
		for _, e := range l.events {
			if e.number >= since && now.After(e.visible) {
				rows, next = append(rows, []any{e.number, "+", e.key.salt, e.key.id, e.tokens, model}), e.number+1
			}
		}
		l.mu.Unlock()
		if len(rows) > 0 || !now.Before(end) {
			reply(w, map[string]any{"epoch": epoch, "next": next, "lost": false, "events": rows, "clock_ms": clock().Milliseconds()})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has left
}

// heldPart is a part in a KV store. It is being written until complete is set.
type heldPart struct {
	tokens   int
	complete bool
}

// kvStore is a managed KV store. Its link has two directions, on each of which transfers run one after the other.
type kvStore struct {
	record        *record
	address, zone string
	tokenBytes    int
	linkMbps      float64
	first         time.Duration
	capacity      int

	log partLog
	// in and out are the directions of the link.
	in, out sync.Mutex

	mu    sync.Mutex
	parts map[partKey]*heldPart
	// starts is the number of starts, dark is set while the store is silent.
	starts int
	dark   bool
	// unfinishedFetches are the requests that took memory of a part while it was being written.
	unfinishedFetches []string
}

func newKVStore(r *record, zone string) *kvStore {
	k := &kvStore{record: r, zone: zone, tokenBytes: 18432, linkMbps: 42_000, first: 6 * time.Millisecond, capacity: 634_412, parts: map[partKey]*heldPart{}, starts: 1}
	k.log.reset(1)
	return k
}

// startOf is the key of the number of starts at which a connection was accepted.
type startOf struct{}

func (k *kvStore) connContext(ctx context.Context, _ net.Conn) context.Context {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := k.starts
	if k.dark {
		n = 0
	}
	return context.WithValue(ctx, startOf{}, n)
}

// crash makes the store silent for d. It returns empty, and nothing more comes on connections of before.
func (k *kvStore) crash(d time.Duration) {
	k.mu.Lock()
	k.dark = true
	k.starts++
	k.mu.Unlock()
	k.record.line("KV store crashes and is silent")
	time.Sleep(d)
	k.mu.Lock()
	k.parts = map[partKey]*heldPart{}
	k.log.reset(uint64(k.starts))
	k.dark = false
	k.mu.Unlock()
	k.record.line("KV store is back, empty, epoch %d", k.starts)
}

// silent reports whether nothing may be sent on a connection any more, since the store has crashed.
func (k *kvStore) silent(r *http.Request) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.dark || r.Context().Value(startOf{}) != k.starts
}

// ServeHTTP implements http.Handler.
func (k *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := &pendingAnswer{header: http.Header{}}
	if !k.silent(r) {
		k.answer(answer, r)
	}
	if k.silent(r) {
		<-r.Context().Done()
		return
	}
	for name, values := range answer.header {
		w.Header()[name] = values
	}
	_, _ = w.Write(answer.body)
}

// pendingAnswer is an answer that is not sent yet.
type pendingAnswer struct {
	header http.Header
	body   []byte
}

func (a *pendingAnswer) Header() http.Header { return a.header }

func (a *pendingAnswer) WriteHeader(int) {}

func (a *pendingAnswer) Write(b []byte) (int, error) {
	a.body = append(a.body, b...)
	return len(b), nil
}

func (k *kvStore) answer(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/primrosecourse/kv-events":
		k.log.serve(w, r, k.record.now)
	case "/primrosecourse/kv-list":
		k.mu.Lock()
		held, incomplete := [][]any{}, [][]any{}
		for key, p := range k.parts {
			if p.complete {
				held = append(held, []any{key.salt, key.id, p.tokens, model})
			} else {
				incomplete = append(incomplete, []any{key.salt, key.id, 0, p.tokens})
			}
		}
		epoch := k.starts
		k.mu.Unlock()
		reply(w, map[string]any{"epoch": epoch, "next": k.log.next(), "held": held, "incomplete": incomplete, "clock_ms": k.record.now().Milliseconds()})
	default:
		reply(w, map[string]any{})
	}
}

// transferTime returns how long a part is on the link to a zone.
func (k *kvStore) transferTime(tokens int, zone string) time.Duration {
	d := k.first + time.Duration(float64(tokens*k.tokenBytes*8)/(k.linkMbps*1e6)*float64(time.Second))
	if zone != k.zone {
		d *= 2
	}
	return d
}

// save writes a part for a request. Its room is reserved at once, or the save is lost.
func (k *kvStore) save(request string, key partKey, tokens int, zone string) {
	k.mu.Lock()
	used := 0
	for _, p := range k.parts {
		used += p.tokens
	}
	if k.dark || k.parts[key] != nil || used+tokens > k.capacity {
		k.mu.Unlock()
		k.record.line("save of part %s for %s is lost", key.id, request)
		return
	}
	p := &heldPart{tokens: tokens}
	k.parts[key] = p
	k.mu.Unlock()
	k.record.line("save of part %s for %s begins", key.id, request)
	k.in.Lock()
	time.Sleep(k.transferTime(tokens, zone))
	k.in.Unlock()
	k.mu.Lock()
	whole := k.parts[key] == p
	p.complete = whole
	k.mu.Unlock()
	if whole {
		k.log.add(key, tokens)
		k.record.line("part %s is whole", key.id)
	}
}

// fetch reads a part for a request and reports whether it arrived by a time on the servers' clock.
func (k *kvStore) fetch(request string, key partKey, zone string, until time.Duration) bool {
	k.mu.Lock()
	p, dark, starts := k.parts[key], k.dark, k.starts
	k.mu.Unlock()
	switch {
	case dark:
		time.Sleep(300 * time.Millisecond)
		return false
	case p == nil:
		time.Sleep(time.Millisecond)
		k.record.line("fetch of part %s for %s is a miss", key.id, request)
		return false
	}
	k.out.Lock()
	k.mu.Lock()
	unfinished := !p.complete // when the first byte is read
	k.mu.Unlock()
	time.Sleep(k.transferTime(p.tokens, zone))
	k.out.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.record.now() > until || k.starts != starts {
		k.record.line("fetch of part %s for %s is thrown away", key.id, request)
		return false
	}
	if unfinished {
		k.unfinishedFetches = append(k.unfinishedFetches, request)
		k.record.line("BROKEN: %s took part %s from the KV store while it was being written", request, key.id)
	} else {
		k.record.line("fetch of part %s for %s", key.id, request)
	}
	return true
}
