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
)

// marks records the endpoints that requests crashed.
type marks struct {
	mu   sync.Mutex
	list map[uint64]string
}

func (m *marks) Crashed(_ context.Context, fingerprint uint64, endpoint string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list[fingerprint] = endpoint
	return nil
}

func (m *marks) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.list)
}

type noIdle struct{}

func (noIdle) Drop(endpoint.Target) {}

// listen accepts connections and counts them; once it is closed they are refused.
func listen(t *testing.T) (target endpoint.Target, dials *atomic.Int32, closeAll func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dials = &atomic.Int32{}
	var accepting sync.WaitGroup
	accepting.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			dials.Add(1)
			c.Close()
		}
	})
	closeAll = sync.OnceFunc(func() {
		l.Close()
		accepting.Wait()
	})
	t.Cleanup(closeAll)
	return endpoint.Target{ID: "e", Address: netip.MustParseAddrPort(l.Addr().String())}, dials, closeAll
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

// TestCrashIsTold guards against marking a request for a connection that broke alone, and against not marking one whose endpoint
// is gone.
func TestCrashIsTold(t *testing.T) {
	for name, crash := range map[string]bool{"endpoint crashed": true, "connection broke": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target, _, closeAll := listen(t)
			m := &marks{list: map[uint64]string{}}
			w := &forward.CrashWatch{Marks: m, Endpoints: noIdle{}, Log: logr.Discard()}
			runWatch(t, w)
			if crash {
				closeAll()
			}
			w.Broke("r1", 7, target)
			time.Sleep(200 * time.Millisecond)
			is.Equal(m.count() == 1, crash)
		})
	}
}

// TestManyBrokenConnections guards against a question for each request, and a goroutine for each, when an endpoint or a path
// breaks off all that is under way.
func TestManyBrokenConnections(t *testing.T) {
	is := is.New(t)
	target, dials, _ := listen(t)
	w := &forward.CrashWatch{Marks: &marks{list: map[uint64]string{}}, Endpoints: noIdle{}, Log: logr.Discard()}
	runWatch(t, w)
	before := runtime.NumGoroutine()
	for n := range 200 {
		w.Broke("r", uint64(n), target)
	}
	is.True(runtime.NumGoroutine() <= before+10)
	time.Sleep(300 * time.Millisecond)
	is.True(dials.Load() > 0 && dials.Load() <= 8)
}

// TestSuspicionsAreBounded guards against requests that wait for their place in the watch, and against losing count of those
// that find none.
func TestSuspicionsAreBounded(t *testing.T) {
	is := is.New(t)
	target, _, _ := listen(t)
	dropped := 0
	w := &forward.CrashWatch{Marks: &marks{list: map[uint64]string{}}, Endpoints: noIdle{}, Log: logr.Discard(),
		Dropped: func() { dropped++ }}
	for n := range 1000 { // nobody takes them
		w.Broke("r", uint64(n), target)
	}
	is.True(dropped > 0 && dropped < 1000)
}
