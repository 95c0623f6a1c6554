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

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/connection/endpoint"
	"primrosecourse/internal/request/forward"
	"primrosecourse/pkg/site"
)

// marks records the crashed endpoints by the fingerprint of the request.
type marks struct {
	mu        sync.Mutex
	endpoints map[uint64]string
}

func (m *marks) RecordCrash(_ context.Context, fingerprint uint64, endpoint string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endpoints[fingerprint] = endpoint
	return nil
}

func (m *marks) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.endpoints)
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

func runWatch(t *testing.T, w *forward.CrashWatch) {
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
			m := &marks{endpoints: map[uint64]string{}}
			w := &forward.CrashWatch{Marks: m, Endpoints: noIdleConnections{}, Log: logr.Discard()}
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
	w := &forward.CrashWatch{Marks: &marks{endpoints: map[uint64]string{}}, Endpoints: noIdleConnections{}, Log: logr.Discard()}
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
	w := &forward.CrashWatch{Marks: &marks{endpoints: map[uint64]string{}}, Endpoints: noIdleConnections{}, Log: logr.Discard(),
		Dropped: func() { dropped++ }}
	for n := range 1000 { // Run is not called, so that the queue fills up
		w.ConnectionBroke(forward.Break{Request: "r", Fingerprint: uint64(n), Target: target})
	}
	is.True(dropped > 0 && dropped < 1000)
}

// blockedMarks is a store that does not answer.
type blockedMarks struct{}

func (blockedMarks) RecordCrash(ctx context.Context, _ uint64, _ string) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestPartsWhileStoreIsBlocked guards against parts that become suspect only once the marks of other requests have been written.
func TestPartsWhileStoreIsBlocked(t *testing.T) {
	is := is.New(t)
	target, _, closeAll := listen(t)
	parts := &forward.PartWatch{Log: logr.Discard()}
	w := &forward.CrashWatch{Marks: blockedMarks{}, Endpoints: noIdleConnections{}, Parts: parts, Log: logr.Discard()}
	runWatch(t, w)
	closeAll()
	for n := range uint64(50) {
		w.ConnectionBroke(forward.Break{Request: "r", Fingerprint: n, Target: target, Incarnation: "e/1", Parts: []uint64{n}})
	}
	time.Sleep(500 * time.Millisecond)
	is.True(parts.Suspect(time.Now(), &site.Snapshot{}, 0, []uint64{49}, ""))
}
