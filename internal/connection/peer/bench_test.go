package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"primrosecourse/internal/connection/peer"
	"primrosecourse/pkg/wire"
)

// countingConn counts the bytes that a connection carries in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func countingDial(total *atomic.Int64) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		c, err := peer.Dial(ctx, addr)
		return countingConn{c, total}, err
	}
}

// BenchmarkChange measures the distribution of one change of the configuration from the server to all its subscribers, which
// run in the same process.
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{16 << 10, 256 << 10} {
		for _, subscribers := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("bytes=%d/subscribers=%d", size, subscribers), func(b *testing.B) {
				r := newRunner(b)
				var total atomic.Int64
				config := newFakeConfig(1, "one")
				addr := r.serve(&peer.Server{Name: "S", Config: config, MaxConns: subscribers})
				clients := make([]*fakeConfig, subscribers)
				for i := range clients {
					clients[i] = newFakeConfig(0, "")
					r.subscribe(&peer.Client{Name: "C", Address: addr, Config: clients[i], Dial: countingDial(&total)})
				}
				for _, c := range clients {
					c.waitFor(1)
				}
				content := bytes.Repeat([]byte{'x'}, size)
				version := uint64(1)
				total.Store(0)
				for b.Loop() {
					version++
					_, _ = config.Offer(wire.ConfigPush{Version: version, Content: content})
					for _, c := range clients {
						c.waitFor(version)
					}
				}
				n := float64(b.N) * float64(subscribers)
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/n, "ns/subscriber")
				b.ReportMetric(float64(total.Load())/n, "B/subscriber")
			})
		}
	}
}

// BenchmarkIdle measures the traffic of a subscription in both directions while nothing changes. One operation is one
// heartbeat. Run it with -benchtime=20x to include pings.
func BenchmarkIdle(b *testing.B) {
	r := newRunner(b)
	var total atomic.Int64
	pushes := make(chan struct{}, 10)
	addr := r.serve(&peer.Server{Name: "S", Config: newFakeConfig(1<<40, "one")})
	r.subscribe(&peer.Client{
		Name: "C", Address: addr, Config: newFakeConfig(1<<40, "one"), Dial: countingDial(&total),
		OnPush: func(wire.ConfigPush) { pushes <- struct{}{} },
	})
	<-pushes
	total.Store(0)
	b.ResetTimer()
	for range b.N {
		<-pushes
	}
	b.ReportMetric(float64(total.Load())/b.Elapsed().Seconds(), "B/s")
}
