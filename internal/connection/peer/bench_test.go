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

// counted counts the bytes that a connection carries both ways.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func countedDial(total *atomic.Int64) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		c, err := peer.Dial(ctx, addr)
		return counted{c, total}, err
	}
}

// BenchmarkChange measures one change of the configuration from the server to all its subscribers, in one process.
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{16 << 10, 256 << 10} {
		for _, subscribers := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("bytes=%d/subscribers=%d", size, subscribers), func(b *testing.B) {
				r := newRunner(b)
				var total atomic.Int64
				config := newConfiguration(1, "one")
				addr := r.serve(&peer.Server{Name: "S", Config: config, MaxConns: subscribers})
				clients := make([]*configuration, subscribers)
				for i := range clients {
					clients[i] = newConfiguration(0, "")
					r.subscribe(&peer.Client{Name: "C", Address: addr, Config: clients[i], Dial: countedDial(&total)})
				}
				for _, c := range clients {
					c.reach(1)
				}
				content := bytes.Repeat([]byte{'x'}, size)
				version := uint64(1)
				total.Store(0)
				for b.Loop() {
					version++
					_, _ = config.Offer(wire.ConfigPush{Version: version, Content: content})
					for _, c := range clients {
						c.reach(version)
					}
				}
				n := float64(b.N) * float64(subscribers)
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/n, "ns/subscriber")
				b.ReportMetric(float64(total.Load())/n, "B/subscriber")
			})
		}
	}
}

// BenchmarkIdle measures what a subscription carries while nothing changes, both ways. One operation is one heartbeat;
// run it with -benchtime=20x to include pings.
func BenchmarkIdle(b *testing.B) {
	r := newRunner(b)
	var total atomic.Int64
	heard := make(chan struct{}, 10)
	addr := r.serve(&peer.Server{Name: "S", Config: newConfiguration(1<<40, "one")})
	r.subscribe(&peer.Client{
		Name: "C", Address: addr, Config: newConfiguration(1<<40, "one"), Dial: countedDial(&total),
		OnPush: func(wire.ConfigPush) { heard <- struct{}{} },
	})
	<-heard
	total.Store(0)
	b.ResetTimer()
	for range b.N {
		<-heard
	}
	b.ReportMetric(float64(total.Load())/b.Elapsed().Seconds(), "B/s")
}
