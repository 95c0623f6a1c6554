package agent_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"primrosecourse/internal/connection/agent"
	"primrosecourse/pkg/routing"
	"primrosecourse/pkg/wire"
)

var target = agent.Target{Name: "Model1", Address: netip.MustParseAddrPort("127.0.0.1:9")}

// config is a configuration of which only the version matters. StartFetch returns true unless the previous call was for
// the same version.
type config struct{ version, wanted atomic.Uint64 }

func (c *config) Version() uint64 { return c.version.Load() }

func (c *config) StartFetch(version uint64) bool { return c.wanted.Swap(version) != version }

func (c *config) Push() wire.ConfigPush {
	return wire.ConfigPush{Version: c.version.Load(), Content: []byte("{}")}
}

func (c *config) Offer(push wire.ConfigPush) (bool, error) {
	if len(push.Content) > 0 {
		c.version.Store(push.Version)
	}
	return true, nil
}

// network connects a pool to fake agents. After each exchange of Hello, the agent's side of the connection is sent to
// conns.
type network struct {
	pool   *agent.Pool
	config *config
	loads  *routing.Loads
	conns  chan *wire.Conn
	down   atomic.Bool
	dials  atomic.Int32
	hello  wire.Hello
	is     *is.I
}

// runInBubble calls test in a synctest bubble, which has a virtual clock, and checks that the pool leaves no goroutine
// behind.
func runInBubble(t *testing.T, test func(t *testing.T, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{config: &config{}, loads: routing.NewLoads(), conns: make(chan *wire.Conn, 9), is: is.New(t),
			hello: wire.Hello{Protocol: wire.ProtocolVersion, Name: "Model1", ConfigVersion: 5}}
		n.config.version.Store(5)
		n.pool = &agent.Pool{Name: "Entry1", Log: logr.Discard(), Loads: n.loads, Config: n.config, StreamBytes: 4096,
			Metrics: metrics.NewRegistry(), Dial: n.dial}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- n.pool.Run(ctx) }()
		test(t, n)
		cancel()
		n.is.NoErr(<-ended)
		<-n.pool.Done()
	})
}

func (n *network) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	n.dials.Add(1)
	if n.down.Load() {
		return nil, errors.New("connection refused")
	}
	entrySide, agentSide := net.Pipe()
	c := wire.NewConn(agentSide)
	go func() {
		if m, err := c.Read(); err == nil && m.MessageType() == wire.TypeHello && c.Write(n.hello) == nil {
			n.conns <- c
		}
	}()
	return entrySide, nil
}

// submit opens a stream and returns it, with the agent's side of the connection and the Submit that arrived there.
func (n *network) submit(s wire.Submit) (*agent.Stream, *wire.Conn, wire.Submit) {
	stream, err := n.pool.Submit(context.Background(), target, s)
	n.is.NoErr(err)
	c := <-n.conns
	m, err := c.Read()
	n.is.NoErr(err)
	return stream, c, m.(wire.Submit)
}

// drain reads and discards the messages that arrive at the agent. The returned function returns how many
// have arrived so far, by type.
func drain(c *wire.Conn) func() map[wire.Type]int {
	var mu sync.Mutex
	got := map[wire.Type]int{}
	go func() {
		for {
			m, err := c.Read()
			if err != nil {
				return
			}
			mu.Lock()
			got[m.MessageType()]++
			mu.Unlock()
		}
	}()
	return func() map[wire.Type]int {
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		copied := map[wire.Type]int{}
		for k, v := range got {
			copied[k] = v
		}
		return copied
	}
}

func (n *network) write(c *wire.Conn, list ...wire.Message) {
	for _, m := range list {
		n.is.NoErr(c.Write(m))
	}
	synctest.Wait()
}

func (n *network) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, n.pool.Metrics).Count()
}

func (n *network) next(s *agent.Stream) wire.Message {
	m, err := s.Next(context.Background())
	n.is.NoErr(err)
	return m
}

const second = time.Second
