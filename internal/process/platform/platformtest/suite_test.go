package platformtest_test

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/process/platform/platformtest"
	"primrosecourse/internal/standin/fault"
	standin "primrosecourse/internal/standin/platform"
)

const window = 20

// TestFake guards against a fake that does not conform to the interface of the platform.
func TestFake(t *testing.T) {
	platformtest.Run(t, func(*testing.T) platformtest.Target {
		fake := &platformtest.Fake{}
		fake.Store.Window = window
		return platformtest.Target{
			API: fake, Faults: &fake.Faults, Window: window, SetInstances: fake.Store.SetInstances,
		}
	})
}

// serve runs a platform stand-in for the duration of a test and checks that no goroutines are left.
func serve(t *testing.T) (*standin.Server, *platform.Client) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := standin.NewServer()
	server.Store.Window = window
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx, listener) }()
	client := platform.New(listener.Addr().(*net.TCPAddr).AddrPort())
	t.Cleanup(func() {
		client.Close()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return server, client
}

// TestClientAndStandin guards against a client or a stand-in that does not conform to the interface of the platform.
func TestClientAndStandin(t *testing.T) {
	platformtest.Run(t, func(t *testing.T) platformtest.Target {
		server, client := serve(t)
		return platformtest.Target{
			API: client, Faults: &server.Faults, Window: window, SetInstances: server.Store.SetInstances,
		}
	})
}

// TestConnectionRefused guards against reporting an uncertain outcome for a write that was not sent.
func TestConnectionRefused(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := netip.MustParseAddrPort(listener.Addr().String())
	is.NoErr(listener.Close())
	client := platform.New(addr)
	defer client.Close()
	_, err = client.Put(t.Context(), platform.Object{Kind: "Kind", Name: "A"})
	is.True(errors.Is(err, platform.ErrUnavailable))
	is.True(!errors.Is(err, platform.ErrUncertain))
}

// TestLedger guards against a ledger of the stand-in that lacks writes whose response was lost, or refused writes.
func TestLedger(t *testing.T) {
	is := is.New(t)
	server, client := serve(t)
	server.Faults.Set(fault.Rule{Kind: fault.ReplyLost, Count: 1})
	_, err := client.Put(t.Context(), platform.Object{Kind: "Kind", Name: "A"})
	is.True(errors.Is(err, platform.ErrUncertain))
	server.Writes.SetBurst(0)
	_, err = client.Put(t.Context(), platform.Object{Kind: "Kind", Name: "A"})
	is.True(errors.Is(err, platform.ErrRateLimited))
	calls := server.Ledger()
	is.Equal(len(calls), 2)
	is.Equal([]int{calls[0].Status, calls[1].Status}, []int{200, 429})
	is.Equal(calls[0].Version, uint64(1))
}
