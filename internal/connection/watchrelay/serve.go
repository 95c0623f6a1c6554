package watchrelay

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"primrosecourse/internal/process/bootclock"
)

// ServeHTTP answers other gateways: the objects of a kind without After, else the changes after that revision, for which it waits up
// to WaitMs. It answers 503 if the store has not answered this gateway recently, and 413 if there is more than maxRelayedBytes, unless Much is set.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	k := r.kinds[request.FormValue("Kind")]
	r.mu.Unlock()
	if k == nil {
		http.Error(w, "kind is not known here", http.StatusNotFound)
		return
	}
	k.mu.Lock()
	k.servedAt = time.Now()
	k.mu.Unlock()
	var a answer
	var ok bool
	if after := request.FormValue("After"); after == "" {
		a, ok = k.own.list(bootclock.Now() - k.maxAge)
	} else {
		revision, err := strconv.ParseUint(after, 10, 64)
		waitMs, waitErr := strconv.ParseInt(cmp.Or(request.FormValue("WaitMs"), "0"), 10, 32)
		if err != nil || waitErr != nil || waitMs < 0 {
			http.Error(w, "After and WaitMs must be numbers", http.StatusBadRequest)
			return
		}
		a, ok = r.await(request.Context(), k, revision, time.Duration(waitMs)*time.Millisecond)
	}
	if !ok {
		http.Error(w, "kind is not read here", http.StatusServiceUnavailable)
		return
	}
	if a.valueBytes() > maxRelayedBytes && request.FormValue("Much") == "" {
		http.Error(w, errTooMuch.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	a.AgeMs = (bootclock.Now() - a.directAt).Milliseconds() + 1 // rounded up
	body, err := msgpack.Marshal(&a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// The write fails if the calling gateway has disconnected, which needs no handling.
	_, _ = w.Write(body)
}

// await returns the changes of a kind after a revision as soon as there are any, and what it has after the wait. ok is false if the
// state is not known, or too old by then, or if too many calls wait.
func (r *Relay) await(ctx context.Context, k *Kind, after uint64, wait time.Duration) (a answer, ok bool) {
	r.mu.Lock()
	full := r.waits >= maxWaits
	if !full {
		r.waits++
	}
	r.mu.Unlock()
	if full {
		return a, false
	}
	defer func() {
		r.mu.Lock()
		r.waits--
		r.mu.Unlock()
	}()
	end := bootclock.Now() + wait
	for {
		now := bootclock.Now()
		a, changed, ok := k.own.since(after, now-k.maxAge)
		if !ok || a.Gap || len(a.Names) > 0 || now >= end {
			return a, ok
		}
		// The state is looked at again when it would become too old, unless the store has answered by then.
		next := time.NewTimer(min(end-now, a.directAt+k.maxAge-now) + time.Millisecond)
		select {
		case <-ctx.Done():
			next.Stop()
			return a, false
		case <-next.C:
		case <-changed:
			next.Stop()
		}
	}
}
