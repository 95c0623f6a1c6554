package forward_test

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/connection/endpoint"
	"primrosecourse/internal/request/forward"
	"primrosecourse/pkg/quarantine"
	"primrosecourse/pkg/site"
)

// marks records the marks by the fingerprint of the request.
type marks struct {
	mu       sync.Mutex
	recorded map[uint64]quarantine.Evidence
	away     bool
}

func (m *marks) RecordCrash(_ context.Context, fingerprint uint64, mark quarantine.Evidence) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away {
		return errors.New("store is away")
	}
	m.recorded[fingerprint] = m.recorded[fingerprint].Merge(mark)
	return nil
}

func (m *marks) ClearCrash(_ context.Context, fingerprint uint64, e quarantine.Evidence) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away {
		return errors.New("store is away")
	}
	if m.recorded[fingerprint].Within(e) {
		delete(m.recorded, fingerprint)
	}
	return nil
}

func (m *marks) setAway(away bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away = away
}

func (m *marks) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.recorded)
}

// noIdleConnections is a Dropper without idle connections.
type noIdleConnections struct{}

func (noIdleConnections) Drop(endpoint.Target) {}

// listen opens a listener and returns its target, the number of connections that it has accepted, and a function that closes
// it.
func listen(t *testing.T) (target endpoint.Target, accepted *atomic.Int32, closeAll func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted = &atomic.Int32{}
	var acceptLoop sync.WaitGroup
	acceptLoop.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			conn.Close()
		}
	})
	closeAll = sync.OnceFunc(func() {
		listener.Close()
		acceptLoop.Wait()
	})
	t.Cleanup(closeAll)
	return endpoint.Target{ID: "e", Address: netip.MustParseAddrPort(listener.Addr().String())}, accepted, closeAll
}

// watchRequests starts a RequestWatch.
func watchRequests(t *testing.T, m forward.Marks) *forward.RequestWatch {
	w := &forward.RequestWatch{Marks: m, Log: logr.Discard()}
	runWatch(t, w)
	return w
}

func runWatch(t *testing.T, w interface{ Run(context.Context) error }) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// TestCrashIsMarked guards against marking a request whose connection broke while the endpoint stayed up, and against not
// marking a request whose endpoint went down.
func TestCrashIsMarked(t *testing.T) {
	for name, crash := range map[string]bool{"endpoint crashed": true, "connection broke": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target, _, closeAll := listen(t)
			m := &marks{recorded: map[uint64]quarantine.Evidence{}}
			w := &forward.CrashWatch{Requests: watchRequests(t, m), Endpoints: noIdleConnections{}, Log: logr.Discard()}
			runWatch(t, w)
			if crash {
				closeAll()
			}
			w.ConnectionBroke(forward.Break{Request: "r1", Fingerprint: 7, Target: target})
			time.Sleep(200 * time.Millisecond)
			is.Equal(m.count() == 1, crash)
		})
	}
}

// TestManyBrokenConnections guards against one probe and one goroutine per request when an endpoint or a network path breaks
// all connections at once.
func TestManyBrokenConnections(t *testing.T) {
	is := is.New(t)
	target, accepted, _ := listen(t)
	w := &forward.CrashWatch{Endpoints: noIdleConnections{}, Log: logr.Discard()}
	runWatch(t, w)
	before := runtime.NumGoroutine()
	for n := range 200 {
		w.ConnectionBroke(forward.Break{Request: "r", Fingerprint: uint64(n), Target: target})
	}
	is.True(runtime.NumGoroutine() <= before+10)
	time.Sleep(300 * time.Millisecond)
	is.True(accepted.Load() > 0 && accepted.Load() <= 8)
}

// TestSuspicionsAreBounded guards against a full queue of suspicions that blocks requests, and against suspicions that are
// discarded without being counted.
func TestSuspicionsAreBounded(t *testing.T) {
	is := is.New(t)
	target, _, _ := listen(t)
	dropped := 0
	w := &forward.CrashWatch{Endpoints: noIdleConnections{}, Log: logr.Discard(),
		Dropped: func() { dropped++ }}
	for n := range 1000 { // Run is not called, so that the queue fills up
		w.ConnectionBroke(forward.Break{Request: "r", Fingerprint: uint64(n), Target: target})
	}
	is.True(dropped > 0 && dropped < 1000)
}

// blockedMarks is a store that does not answer.
type blockedMarks struct{}

func (blockedMarks) RecordCrash(ctx context.Context, _ uint64, _ quarantine.Evidence) error {
	<-ctx.Done()
	return ctx.Err()
}

func (blockedMarks) ClearCrash(ctx context.Context, _ uint64, _ quarantine.Evidence) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestPartsWhileStoreIsBlocked guards against parts that become suspect only once the marks of other requests have been written.
func TestPartsWhileStoreIsBlocked(t *testing.T) {
	is := is.New(t)
	target, _, closeAll := listen(t)
	parts := &forward.PartWatch{Log: logr.Discard()}
	w := &forward.CrashWatch{Requests: watchRequests(t, blockedMarks{}), Endpoints: noIdleConnections{}, Parts: parts, Log: logr.Discard()}
	runWatch(t, w)
	closeAll()
	for n := range uint64(50) {
		w.ConnectionBroke(forward.Break{Request: "r", Fingerprint: n, Target: target, Incarnation: "e/1", Parts: []uint64{n}})
	}
	time.Sleep(500 * time.Millisecond)
	is.True(parts.Suspect(time.Now(), &site.Snapshot{}, 0, []uint64{49}, ""))
}

// TestCrashesWhileStoreIsAway guards against crashes that don't count at the gateway that saw them, or are never recorded, since the store
// is away.
func TestCrashesWhileStoreIsAway(t *testing.T) {
	is := is.New(t)
	m := &marks{recorded: map[uint64]quarantine.Evidence{}, away: true}
	requests := watchRequests(t, m)
	w := &forward.CrashWatch{Requests: requests, Endpoints: noIdleConnections{}, Log: logr.Discard()}
	runWatch(t, w)
	for _, id := range []string{"e1", "e2"} {
		target, _, closeAll := listen(t)
		closeAll()
		target.ID = id
		w.ConnectionBroke(forward.Break{Request: "r", Fingerprint: 7, Target: target, StartedAt: time.Now()})
	}
	time.Sleep(4 * time.Second) // longer than a write may take
	is.Equal(requests.Known(&site.Snapshot{}, 7).Endpoints, []string{"e1", "e2"})
	m.setAway(false)
	time.Sleep(2 * time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	is.Equal(m.recorded[7].Endpoints, []string{"e1", "e2"})
}

// TestSameEndpointCrashesAgain guards against a request that crashes an endpoint each time it has started again under its ID, and counts once.
func TestSameEndpointCrashesAgain(t *testing.T) {
	is := is.New(t)
	requests := watchRequests(t, &marks{recorded: map[uint64]quarantine.Evidence{}})
	w := &forward.CrashWatch{Requests: requests, Endpoints: noIdleConnections{}, Log: logr.Discard()}
	runWatch(t, w)
	target, _, closeAll := listen(t)
	closeAll()
	for _, incarnation := range []string{"e/1", "e/2"} {
		started := time.Now()
		time.Sleep(100 * time.Millisecond)
		w.ConnectionBroke(forward.Break{Request: "r", Fingerprint: 7, Target: target, Incarnation: incarnation, StartedAt: started})
	}
	time.Sleep(200 * time.Millisecond)
	_, quarantined := requests.Quarantined(&site.Snapshot{}, 7)
	is.True(quarantined)
}
