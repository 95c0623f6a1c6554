package agent

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"primrosecourse/pkg/token"
	"primrosecourse/pkg/wire"
)

// isCall stands for the number of given tokens in a stream that carries a call.
const isCall = -1

// Stream is a request under way. One goroutine may call Next while another calls Cancel.
type Stream struct {
	conn    *conn
	id      uint64
	call    bool
	request *outgoing
	ready   chan struct{}

	mu       sync.Mutex
	queue    []wire.Message
	bytes    int
	accepted bool
	ended    bool
	// next is the index of the next token that is expected.
	next int
	err  error
}

func newStream(c *conn, id uint64, given int) *Stream {
	return &Stream{conn: c, id: id, call: given == isCall, request: &outgoing{}, ready: make(chan struct{}, 1), next: max(0, given)}
}

// Next returns the next message: Accepted, then Tokens in order without repeats and gaps, then End; or Refused; for a call
// Reply or Refused. An error ends the stream and is marked ErrNotSent or ErrMayHaveArrived. When ctx ends, the stream is
// cancelled.
func (s *Stream) Next(ctx context.Context) (wire.Message, error) {
	for {
		s.mu.Lock()
		if len(s.queue) > 0 {
			m := s.queue[0]
			s.queue[0] = nil
			s.queue = s.queue[1:]
			s.bytes -= size(m)
			s.mu.Unlock()
			return m, nil
		}
		err := s.err
		if err == nil && s.ended {
			err = errEnded
		}
		s.mu.Unlock()
		if err != nil {
			return nil, err
		}
		select {
		case <-s.ready:
		case <-ctx.Done():
			s.stop(context.Cause(ctx))
		}
	}
}

// Cancel stops the run unless it ended. It may be called more than once.
func (s *Stream) Cancel() { s.stop(context.Canceled) }

func (s *Stream) stop(cause error) {
	s.mu.Lock()
	over := s.ended || s.err != nil
	s.mu.Unlock()
	if over {
		return
	}
	s.conn.remove(s.id)
	s.lost(cause)
	if s.request.state.Load() == taken {
		s.conn.send(wire.Cancel{Stream: s.id})
	}
}

// lost ends the stream with what is known of the request's fate.
func (s *Stream) lost(cause error) {
	if s.request.state.CompareAndSwap(queued, withdrawn) || s.request.state.Load() == withdrawn {
		s.fail(notSent(cause))
		return
	}
	s.fail(mayHaveArrived(cause))
}

// fail ends the stream; the first error stays. What was delivered before can still be read.
func (s *Stream) fail(err error) {
	s.mu.Lock()
	if s.err == nil {
		s.err = err
	}
	s.mu.Unlock()
	s.wake()
}

func (s *Stream) wake() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// push takes a message from the connection.
func (s *Stream) push(m wire.Message) {
	s.mu.Lock()
	m, verdict := s.judge(m)
	if verdict == nil && m != nil {
		s.queue = append(s.queue, m)
		s.bytes += size(m)
	}
	ended := s.ended
	s.mu.Unlock()
	pool := s.conn.peer.pool
	switch {
	case errors.Is(verdict, ErrSlowReader):
		pool.slow.Inc(1)
		s.stop(verdict)
	case errors.Is(verdict, ErrGap):
		pool.gaps.Inc(1)
		s.stop(verdict)
	case m == nil:
		pool.outOfTurn.Inc(1)
	case ended:
		s.conn.remove(s.id)
	}
	s.wake()
}

// judge returns the message to deliver, or nil for one that is out of turn, or an error that ends the stream.
func (s *Stream) judge(m wire.Message) (wire.Message, error) {
	if s.ended || s.err != nil {
		return nil, nil
	}
	switch m := m.(type) {
	case wire.Accepted:
		if s.call || s.accepted {
			return nil, nil
		}
		s.accepted = true
	case wire.Refused:
		s.ended = true
	case wire.Reply:
		if !s.call {
			return nil, nil
		}
		s.ended = true
	case wire.End:
		if !s.accepted {
			return nil, nil
		}
		s.ended = true
	case wire.Tokens:
		if !s.accepted {
			return nil, nil
		}
		return s.judgeTokens(m)
	}
	return m, nil
}

func (s *Stream) judgeTokens(m wire.Tokens) (wire.Message, error) {
	if m.Index > s.next {
		return nil, errors.Wrapf(ErrGap, "token %d came, %d was due", m.Index, s.next)
	}
	if old := s.next - m.Index; old > 0 {
		if old >= len(m.Tokens) {
			return nil, nil
		}
		m.Index, m.Tokens = s.next, m.Tokens[old:]
		m.Text = token.Decode(m.Tokens)
	}
	if s.bytes+size(m) > s.conn.peer.pool.StreamBytes && len(s.queue) > 0 {
		return nil, ErrSlowReader
	}
	s.next += len(m.Tokens)
	return m, nil
}

// size is what a message counts in the buffer of its stream. Other messages than tokens come once.
func size(m wire.Message) int {
	if t, ok := m.(wire.Tokens); ok {
		return 64 + 4*len(t.Tokens) + len(t.Text)
	}
	return 0
}
