package registry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"primrosecourse/internal/event"
)

// A store that was restored from a copy lost the marks, the crashes, and what else gateways recorded of late. The gateways still know them, and write
// them again: for each object, the first one in the rendezvous-hash order of its name, or the next ones if it does not appear.

const (
	// maxRewriters is the number of gateways that may write an object again, and rewriteDelay the time for which each waits longer than the one
	// before it.
	maxRewriters = 3
	rewriteDelay = 600 * time.Millisecond
	// rewriteInterval is the mean time between two such writes of a gateway, so that all gateways together stay far below the rate that the
	// store bears.
	rewriteInterval = 20 * time.Millisecond
	// maxRewrites limits the objects that a gateway writes again after a restore.
	maxRewrites = 512
)

// rewrite is an object to be written again if the store still has it at the given revision, or does not have it.
type rewrite struct {
	name     string
	revision uint64
	known    observedChange
}

// queueRewrite records that the store lost the known state of a shared object, which is c there now. The caller must hold mu.
func (r *Registry) queueRewrite(c Change[json.RawMessage], known observedChange) {
	kept := sharedRetention(c.Name) > 0 || c.Name == buildPlanName || strings.HasPrefix(c.Name, rolloutPrefix)
	if !kept || len(known.value) == 0 || len(r.rewrites) >= maxRewrites || (!c.Removed && string(c.Value) == string(known.value)) {
		return
	}
	w := rewrite{name: c.Name, known: known}
	if !c.Removed {
		w.revision = c.Revision
	}
	r.rewrites = append(r.rewrites, w)
	select {
	case r.rewriteSignal <- struct{}{}:
	default:
	}
}

// rewriteLost writes the shared objects again that a restored store lost, until ctx is done.
func (r *Registry) rewriteLost(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.rewriteSignal:
		}
		r.mu.Lock()
		pending := r.rewrites
		r.rewrites = nil
		r.mu.Unlock()
		start := time.Now()
		for rank := range maxRewriters {
			sleep(ctx, time.Until(start.Add(time.Duration(rank)*rewriteDelay)))
			for _, w := range pending {
				if r.Rank(w.name) == rank && r.isLost(w) && ctx.Err() == nil {
					r.writeAgain(ctx, w)
					sleep(ctx, rewriteInterval/2+rand.N(rewriteInterval))
				}
			}
		}
	}
}

// isLost reports whether no change of an object was seen since it was queued.
func (r *Registry) isLost(w rewrite) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sharedChanges[w.name].revision == w.known.revision
}

func (r *Registry) writeAgain(ctx context.Context, w rewrite) {
	_, err := r.Shared.Put(ctx, w.name, w.revision, w.known.value)
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	event.Info(r.Log, event.ObjectRewritten, "kind", "Shared", "name", w.name, "ageMs", time.Since(w.known.at).Milliseconds(), "reason", reason)
}
