package operator

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/connection/peer"
	"primrosecourse/internal/standin/fault"
	"primrosecourse/internal/version/config"
)

// pipeListener is a listener that accepts in-memory connections.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestPushReachesTrackers guards against a stored value that entries cannot decode, and against a push that entries do not
// apply while the platform is down. It runs the tracker and the server of the real processes.
func TestPushReachesTrackers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		listeners := map[string]*pipeListener{}
		f.Dial = func(_ context.Context, address string) (net.Conn, error) {
			client, server := net.Pipe()
			listeners[address].conns <- server
			return client, nil
		}
		trackers := map[string]*config.Tracker{}
		d := deployment()
		// Trackers dial each other, so all listeners exist before the first tracker runs.
		for _, e := range d.Entries {
			listeners[e.Address.String()] = &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		}
		for _, e := range d.Entries {
			tracker := &config.Tracker{Name: e.Name, FailureDomain: e.FailureDomain, Platform: f.fake, Log: logr.Discard(),
				IsEntry: true, Address: e.Address, Dial: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
					return f.Dial(ctx, a.String())
				}}
			listener := listeners[e.Address.String()]
			server := &peer.Server{Name: e.Name, FailureDomain: e.FailureDomain, Config: tracker, Log: logr.Discard()}
			trackers[e.Name] = tracker
			wg.Go(func() { _ = tracker.Run(ctx) })
			wg.Go(func() { _ = server.Run(ctx, listener) })
		}
		for name, tracker := range trackers {
			select {
			case <-tracker.Ready():
			case <-time.After(time.Minute):
				t.Fatalf("%s did not apply the accepted configuration", name)
			}
		}
		old, err := f.readExisting(ctx)
		is.NoErr(err)
		f.fake.Faults.Set(fault.Rule{Kind: fault.Outage, Method: "GET"})
		next := deployment()
		next.Models[0].Version = "V2"
		report, err := f.change(ctx, old, next, Options{})
		is.NoErr(err)
		is.Equal(len(report.NotPushed), 0)
		for _, tracker := range trackers {
			is.Equal(tracker.Version(), report.Version)
			is.Equal(tracker.Current().Deployment.Models[0].Version, "V2")
		}
		f.Entry = d.Entries[0].Address
		report, err = f.Get(ctx)
		is.NoErr(err)
		is.Equal(report.Operator, "ada")
		is.Equal(*report.Deployment, next)
	})
}
