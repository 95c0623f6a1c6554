package agent_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"primrosecourse/internal/connection/agent"
	"primrosecourse/pkg/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestStreamDropsForeignAndOutOfOrderMessages guards against answers that lack, repeat or mix up tokens because
// messages are duplicated, out of order or late.
func TestStreamDropsForeignAndOutOfOrderMessages(t *testing.T) {
	runInBubble(t, func(_ *testing.T, n *network) {
		stream, c, sent := n.submit(wire.Submit{Given: []uint32{1, 2}, Model: "M"})
		n.is.Equal(sent.ConfigVersion, uint64(5))
		id, load := sent.Stream, wire.LoadState{State: wire.StateWarm, Running: 3}
		n.write(c,
			wire.Tokens{Stream: id, Index: 2, Tokens: []uint32{'x'}, Text: "x"}, // out of order: before Accepted
			wire.Accepted{Stream: id, CachedTokens: 7, Load: load},
			wire.Accepted{Stream: id, CachedTokens: 8},
			wire.Reply{Stream: id},
			wire.Tokens{Stream: 99, Index: 2, Tokens: []uint32{'y'}, Text: "y"}, // unknown stream
			wire.Tokens{Stream: id, Index: 2, Tokens: []uint32{'a', 'b'}, Text: "ab"},
			wire.Tokens{Stream: id, Index: 2, Tokens: []uint32{'a', 'b'}, Text: "ab"},
			wire.Tokens{Stream: id, Index: 3, Tokens: []uint32{'b', 'c'}, Text: "bc"},
			wire.End{Stream: id, Finish: wire.FinishStop},
			wire.End{Stream: id, Finish: wire.FinishLost},
			wire.Tokens{Stream: id, Index: 5, Tokens: []uint32{'z'}, Text: "z"},
		)
		n.is.Equal(n.next(stream).(wire.Accepted).CachedTokens, 7)
		n.is.Equal(n.next(stream).(wire.Tokens).Text, "ab")
		n.is.Equal(n.next(stream).(wire.Tokens).Text, "c")
		n.is.Equal(n.next(stream).(wire.End).Finish, wire.FinishStop)
		n.is.Equal(n.count("AgentMessagesLate"), int64(3))
		n.is.Equal(n.count("AgentMessagesOutOfTurn"), int64(4))
		n.is.Equal(n.loads.Get("Model1").Load.Running, 3)
	})
}

// TestGapOrSlowReaderEndsStream guards against an answer with missing tokens, and against a slow caller that makes the
// memory of the entry grow.
func TestGapOrSlowReaderEndsStream(t *testing.T) {
	for _, test := range []struct {
		name    string
		batch   []uint32
		step    int
		want    error
		counter string
	}{
		{"gap", []uint32{'a'}, 2, agent.ErrGap, "AgentStreamsGap"},
		{"slow reader", make([]uint32, 500), 500, agent.ErrSlowReader, "AgentStreamsSlowReader"},
	} {
		t.Run(test.name, func(t *testing.T) {
			runInBubble(t, func(_ *testing.T, n *network) {
				stream, c, sent := n.submit(wire.Submit{})
				got := drain(c)
				n.write(c, wire.Accepted{Stream: sent.Stream})
				for i := range 4 {
					n.write(c, wire.Tokens{Stream: sent.Stream, Index: i * test.step, Tokens: test.batch})
				}
				var err error
				for err == nil {
					_, err = stream.Next(context.Background())
				}
				n.is.True(errors.Is(err, test.want) && errors.Is(err, agent.ErrMayHaveArrived))
				n.is.Equal(got()[wire.TypeCancel], 1) // the agent receives a Cancel, which stops the run
				n.is.Equal(n.count(test.counter), int64(1))
			})
		})
	}
}

// TestErrorsDistinguishUnsentRequests guards against a request reported as not sent although its bytes may have left,
// which could run an order twice, and against one reported as possibly arrived although nothing was sent.
func TestErrorsDistinguishUnsentRequests(t *testing.T) {
	runInBubble(t, func(_ *testing.T, n *network) {
		call := func(ctx context.Context) error {
			_, err := n.pool.Call(ctx, target, wire.Call{IdempotencyKey: "k"})
			return err
		}
		n.down.Store(true)
		n.is.True(errors.Is(call(context.Background()), agent.ErrNotSent)) // dial refused
		n.is.True(errors.Is(call(context.Background()), agent.ErrDown))    // fails at once while the agent is probed
		n.down.Store(false)
		time.Sleep(second)
		c := <-n.conns
		results := make(chan error, 2)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { results <- call(ctx) }()
		synctest.Wait() // the writer is blocked on the first call, since the agent reads nothing yet
		go func() { results <- call(ctx) }()
		synctest.Wait()
		cancel()
		sent, unsent := <-results, <-results
		if errors.Is(sent, agent.ErrNotSent) {
			sent, unsent = unsent, sent
		}
		n.is.True(errors.Is(sent, agent.ErrMayHaveArrived) && !errors.Is(sent, agent.ErrNotSent))
		n.is.True(errors.Is(unsent, agent.ErrNotSent) && !errors.Is(unsent, agent.ErrMayHaveArrived))
		got := drain(c)
		n.is.Equal(got(), map[wire.Type]int{wire.TypeCall: 1, wire.TypeCancel: 1}) // the withdrawn call is never sent
		go func() { results <- call(context.Background()) }()
		n.is.Equal(got()[wire.TypeCall], 2)
		n.is.NoErr(c.Close())
		err := <-results
		n.is.True(errors.Is(err, agent.ErrMayHaveArrived) && !errors.Is(err, agent.ErrNotSent))
	})
}

// TestOversizedRequestIsNotSent guards against a request that is too large for a frame and breaks the other streams of
// its connection.
func TestOversizedRequestIsNotSent(t *testing.T) {
	runInBubble(t, func(_ *testing.T, n *network) {
		other, c, sent := n.submit(wire.Submit{})
		drain(c)
		stream, err := n.pool.Submit(context.Background(), target, wire.Submit{RequestID: strings.Repeat("x", wire.MaxFrameBytes)})
		n.is.NoErr(err)
		_, err = stream.Next(context.Background())
		n.is.True(errors.Is(err, agent.ErrNotSent))
		n.write(c, wire.Accepted{Stream: sent.Stream})
		n.next(other)
	})
}

// TestKeepAliveWhileTokensArrive guards against an agent that disconnects the entry during a long answer because the
// entry sends nothing.
func TestKeepAliveWhileTokensArrive(t *testing.T) {
	runInBubble(t, func(_ *testing.T, n *network) {
		stream, c, sent := n.submit(wire.Submit{})
		pings := drain(c)
		n.write(c, wire.Accepted{Stream: sent.Stream})
		n.next(stream)
		for i := range 250 {
			n.write(c, wire.Tokens{Stream: sent.Stream, Index: i, Tokens: []uint32{'a'}})
			n.next(stream)
			time.Sleep(second / 5)
		}
		n.is.Equal(pings()[wire.TypePing], 2)
		stream.Cancel()
	})
}

// TestSilentAgentIsDownAndProbed guards against requests that wait for a paused agent, and against an agent that stays
// down after it has resumed.
func TestSilentAgentIsDownAndProbed(t *testing.T) {
	runInBubble(t, func(_ *testing.T, n *network) {
		stream, c, _ := n.submit(wire.Submit{})
		pings := drain(c)
		start := time.Now()
		n.down.Store(true)
		_, err := stream.Next(context.Background())
		n.is.True(errors.Is(err, agent.ErrMayHaveArrived))
		n.is.Equal(time.Since(start), 2*second)
		n.is.Equal(pings()[wire.TypePing], 3)
		n.is.Equal(n.loads.Get("Model1").Load.State, wire.StateDown)
		time.Sleep(5 * second)
		dials := n.dials.Load()
		n.is.True(dials > 4 && dials < 9) // back-off: 0.1 s, 0.2 s, ... 2 s
		n.down.Store(false)
		time.Sleep(2 * second)
		n.is.Equal(n.loads.Get("Model1").Load.State, wire.StateUnknown)
		drain(<-n.conns)
		next, err := n.pool.Submit(context.Background(), target, wire.Submit{})
		n.is.NoErr(err)
		next.Cancel()
	})
}

// TestHeartbeatAndIdleClose guards against an agent considered down although it responds to pings during a long
// prefill, and against idle connections that stay open.
func TestHeartbeatAndIdleClose(t *testing.T) {
	runInBubble(t, func(_ *testing.T, n *network) {
		stream, c, sent := n.submit(wire.Submit{})
		for range 20 {
			m, err := c.Read()
			n.is.NoErr(err)
			n.is.Equal(m.MessageType(), wire.TypePing)
			n.write(c, wire.Load{Load: wire.LoadState{State: wire.StateWarm}})
		}
		n.write(c, wire.Accepted{Stream: sent.Stream}, wire.End{Stream: sent.Stream})
		n.next(stream)
		n.next(stream)
		start := time.Now()
		m, err := c.Read()
		n.is.NoErr(err)
		n.is.Equal(m.MessageType(), wire.TypePing) // keep-alive: agents disconnect an entry that is silent for 30 s
		n.is.Equal(time.Since(start), 20*second)
		m, err = c.Read()
		n.is.NoErr(err)
		n.is.Equal(m, wire.Goodbye{Reason: "idle"})
		n.is.Equal(time.Since(start), 30*second)
		synctest.Wait()
		n.is.Equal(n.loads.Get("Model1").Load.State, wire.StateWarm) // idle, but not down
	})
}

// TestUnexpectedHelloFailsDial guards against a connection to the wrong agent, which would run a request that is meant
// for another endpoint.
func TestUnexpectedHelloFailsDial(t *testing.T) {
	for name, hello := range map[string]wire.Hello{
		"other protocol version": {Protocol: 2, Name: "Model1"},
		"other name":             {Protocol: wire.ProtocolVersion, Name: "Model2"},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(_ *testing.T, n *network) {
				n.hello = hello
				response := make(chan wire.Message, 1)
				go func() {
					m, _ := (<-n.conns).Read()
					response <- m
				}()
				_, err := n.pool.Submit(context.Background(), target, wire.Submit{})
				n.is.True(errors.Is(err, agent.ErrNotSent))
				n.is.Equal((<-response).MessageType(), wire.TypeGoodbye)
				n.pool.Retain(func(string) bool { return false })
			})
		})
	}
}

// TestConfigVersionsAreReconciled guards against two sides that stay on different configurations, and against sending
// the same announcement or request repeatedly.
func TestConfigVersionsAreReconciled(t *testing.T) {
	runInBubble(t, func(_ *testing.T, n *network) {
		n.hello.ConfigVersion = 3
		_, err := n.pool.Submit(context.Background(), target, wire.Submit{})
		n.is.NoErr(err)
		c := <-n.conns
		got := drain(c)
		old := wire.Load{Load: wire.LoadState{State: wire.StateWarm, ConfigVersion: 3}}
		n.write(c, old, old)
		n.is.Equal(got()[wire.TypeConfigPush], 1)
		newer := wire.Load{Load: wire.LoadState{State: wire.StateWarm, ConfigVersion: 8}}
		n.write(c, newer, newer)
		n.is.Equal(got()[wire.TypeConfigWant], 1)
		n.write(c, wire.ConfigPush{Version: 8, Content: []byte("{}")})
		n.is.Equal(n.config.version.Load(), uint64(8))
		n.write(c, wire.ConfigWant{Version: 7})
		n.is.Equal(got()[wire.TypeConfigPush], 2)
	})
}
