package forward_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/request/forward"
	"primrosecourse/pkg/quarantine"
	"primrosecourse/pkg/site"
)

// crashRecords are the records of all gateways, in memory.
type crashRecords struct {
	mu      sync.Mutex
	crashes map[string]quarantine.Crash
	changes uint64
}

func (c *crashRecords) RecordParts(_ context.Context, crash quarantine.Crash) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes++
	old := c.crashes[crash.Endpoint]
	crash = crash.Clone()
	crash.Add(old.Candidates)
	c.crashes[crash.Endpoint] = crash
	return nil
}

func (c *crashRecords) ClearParts(_ context.Context, endpoint string, cleared []quarantine.Candidate) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes++
	old := c.crashes[endpoint]
	crash := old.Clone()
	for _, p := range cleared {
		crash.Clear(p.Part, p.Organisation)
	}
	c.crashes[endpoint] = crash
	return nil
}

// snapshot returns a snapshot with the records.
func (c *crashRecords) snapshot() *site.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &site.Snapshot{CrashesRevision: c.changes, Crashes: map[string]quarantine.Crash{}}
	for endpoint, crash := range c.crashes {
		if len(crash.Candidates) > 0 {
			s.Crashes[endpoint] = crash.Clone()
		}
	}
	return s
}

// runPartWatches runs a test with two gateways' watches on a virtual clock.
func runPartWatches(t *testing.T, test func(t *testing.T, records *crashRecords, watches []*forward.PartWatch)) {
	synctest.Test(t, func(t *testing.T) {
		records := &crashRecords{crashes: map[string]quarantine.Crash{}}
		watches := []*forward.PartWatch{{Records: records, Log: logr.Discard()}, {Records: records, Log: logr.Discard()}}
		ctx, cancel := context.WithCancel(t.Context())
		for _, w := range watches {
			go func() { _ = w.Run(ctx) }()
		}
		test(t, records, watches)
		cancel()
		for _, w := range watches {
			<-w.Done()
		}
	})
}

// TestCrashesOfAllGateways guards against a part that is not quarantined, or not cleared, by what other gateways saw.
func TestCrashesOfAllGateways(t *testing.T) {
	runPartWatches(t, func(t *testing.T, records *crashRecords, watches []*forward.PartWatch) {
		is := is.New(t)
		for n := range 3 {
			watches[n%2].Crashed(forward.Break{Incarnation: fmt.Sprint("e", n), Organisation: 1, Parts: []uint64{7, 8}}, time.Now())
			watches[(n+1)%2].Crashed(forward.Break{Incarnation: fmt.Sprint("e", n), Organisation: 1, Parts: []uint64{7, 9}}, time.Now())
			time.Sleep(time.Second)
			watches[0].Begun(time.Now(), records.snapshot(), 1, []uint64{7, 9})
			time.Sleep(time.Second)
		}
		for _, w := range watches {
			for part, want := range map[uint64]bool{7: false, 8: true, 9: false} {
				_, ok := w.Quarantined(time.Now(), records.snapshot(), 1, []uint64{part})
				is.Equal(ok, want)
				is.Equal(w.Suspect(time.Now(), records.snapshot(), 1, []uint64{part}, ""), false)
			}
			_, ok := w.Quarantined(time.Now(), records.snapshot(), 2, []uint64{8}) // another organisation
			is.True(!ok)
		}
	})
}

// TestNoPartIsRecorded guards against suspects at crashes that say nothing about parts.
func TestNoPartIsRecorded(t *testing.T) {
	for name, crash := range map[string]func(w *forward.PartWatch){
		"several endpoints at once": func(w *forward.PartWatch) {
			for n := range 4 {
				w.Crashed(forward.Break{Incarnation: fmt.Sprint("e", n), Parts: []uint64{uint64(n)}, Begun: n > 1}, time.Now())
			}
		},
		"answer had begun": func(w *forward.PartWatch) {
			w.Crashed(forward.Break{Incarnation: "e", Parts: []uint64{1}, Begun: true}, time.Now())
		},
		"cleared at once": func(w *forward.PartWatch) {
			w.Crashed(forward.Break{Incarnation: "e", Parts: []uint64{1}}, time.Now())
			w.Begun(time.Now(), &site.Snapshot{}, 0, []uint64{1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			runPartWatches(t, func(t *testing.T, records *crashRecords, watches []*forward.PartWatch) {
				crash(watches[0])
				time.Sleep(10 * time.Second)
				is.New(t).Equal(records.changes, uint64(0))
			})
		})
	}
}

// TestQuickCrashesAreRecorded guards against a part that is taken for the loss of a failure domain since it crashes endpoints quickly.
func TestQuickCrashesAreRecorded(t *testing.T) {
	runPartWatches(t, func(t *testing.T, records *crashRecords, watches []*forward.PartWatch) {
		is := is.New(t)
		for n := range 8 {
			watches[0].Crashed(forward.Break{Incarnation: fmt.Sprint("e", n), Parts: []uint64{7}}, time.Now())
			time.Sleep(40 * time.Millisecond)
		}
		time.Sleep(time.Second)
		_, ok := watches[1].Quarantined(time.Now(), records.snapshot(), 0, []uint64{7})
		is.True(ok)
	})
}
