package forward

import (
	"context"
	"sync"
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/quarantine"
)

// Run writes the crashes and clearings that this gateway saw to the shared records until ctx is done. It always returns nil.
func (w *PartWatch) Run(ctx context.Context) error {
	w.init()
	defer close(w.done)
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			w.write(ctx, now)
		}
	}
}

// write makes the writes that are due, and forgets what the shared records show.
func (w *PartWatch) write(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	crashes, clearings := w.due(now)
	slots := make(chan struct{}, maxRecordWrites)
	var writes sync.WaitGroup
	start := func(write func()) {
		slots <- struct{}{}
		writes.Go(func() {
			write()
			<-slots
		})
	}
	for _, c := range crashes {
		start(func() { w.writeCrash(ctx, c) })
	}
	for endpoint, list := range clearings {
		start(func() { w.writeClearings(ctx, endpoint, list) })
	}
	writes.Wait()
}

// due returns the crashes to be recorded, and the parts to be cleared by endpoint.
func (w *PartWatch) due(now time.Time) (crashes []quarantine.Crash, clearings map[string][]quarantine.Candidate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for endpoint, at := range w.crashed {
		if now.Sub(at) > 2*seenTime {
			delete(w.crashed, endpoint)
		}
	}
	for endpoint, o := range w.own {
		if o.isSeen(now) {
			w.forget(endpoint)
			continue
		}
		if !o.writtenAt.IsZero() || now.Before(o.due) {
			continue
		}
		c := o.crash.Clone()
		for cl := range w.cleared {
			if cl.endpoint == endpoint {
				c.Clear(cl.part, cl.organisation)
			}
		}
		if reason := w.withdraw(c); reason != "" {
			event.Info(w.Log, event.PartSuspected, "endpoint", endpoint, "outcome", reason, "parts", hexKeys(partsOf(o.crash)), "cold", c.Cold)
			w.forget(endpoint)
			continue
		}
		crashes = append(crashes, c)
	}
	clearings = map[string][]quarantine.Candidate{}
	for c, write := range w.cleared {
		shared := w.shared[c.endpoint]
		shared = shared.Clone()
		recorded := shared.Clear(c.part, c.organisation)
		switch {
		case !recorded && w.own[c.endpoint] == nil, write.isSeen(now):
			delete(w.cleared, c)
			w.stale = true
		case recorded && write.writtenAt.IsZero() && !now.Before(write.due):
			clearings[c.endpoint] = append(clearings[c.endpoint], quarantine.Candidate{Part: c.part, Organisation: c.organisation})
		}
	}
	return crashes, clearings
}

// isSeen reports whether the shared records show the change by now.
func (o *ownWrite) isSeen(now time.Time) bool {
	return !o.writtenAt.IsZero() && now.Sub(o.writtenAt) > seenTime
}

// withdraw returns the reason why a crash is not recorded, if there is one. The caller must hold mu.
func (w *PartWatch) withdraw(c quarantine.Crash) string {
	switch {
	case len(c.Candidates) == 0:
		return "cleared"
	case len(w.shared) >= maxRecords:
		return "too many crashes are recorded"
	}
	group := 0
	for _, at := range w.crashed {
		if at.Sub(c.At).Abs() < groupSpan {
			group++
		}
	}
	if group >= groupLoss {
		return "several endpoints crashed at once"
	}
	return ""
}

// forget removes an own crash. The caller must hold mu.
func (w *PartWatch) forget(endpoint string) {
	delete(w.own, endpoint)
	w.ownCount.Store(int32(len(w.own)))
	w.stale = true
}

func (w *PartWatch) writeCrash(ctx context.Context, c quarantine.Crash) {
	err := w.Records.RecordParts(ctx, c)
	outcome := "recorded"
	if err != nil {
		outcome = err.Error()
	}
	event.Info(w.Log, event.PartSuspected, "endpoint", c.Endpoint, "outcome", outcome, "parts", hexKeys(partsOf(c)), "cold", c.Cold)
	w.mu.Lock()
	defer w.mu.Unlock()
	if o := w.own[c.Endpoint]; o != nil {
		o.written(err)
	}
}

func (w *PartWatch) writeClearings(ctx context.Context, endpoint string, list []quarantine.Candidate) {
	err := w.Records.ClearParts(ctx, endpoint, list)
	if err != nil {
		event.Info(w.Log, event.StoreWriteFailed, "name", endpoint, "reason", err.Error())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range list {
		if write := w.cleared[clearing{endpoint, p.Part, p.Organisation}]; write != nil {
			write.written(err)
		}
	}
}

// written records the result of a write. A failed one is due again after a second.
func (o *ownWrite) written(err error) {
	if now := time.Now(); err == nil {
		o.writtenAt = now
	} else {
		o.due = now.Add(time.Second)
	}
}

// partsOf returns the parts of the candidates of a crash.
func partsOf(c quarantine.Crash) (parts []uint64) {
	for _, o := range c.Candidates {
		parts = append(parts, o.Part)
	}
	return parts
}
