package agent

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"primrosecourse/pkg/token"
	"primrosecourse/pkg/wire"
)

// callStream is the value of givenTokens for a stream that carries a call instead of a prompt.
const callStream = -1

// Stream is a request in progress. One goroutine may call Next while another calls Cancel.
type Stream struct {
	conn    *conn
	id      uint64
	call    bool
	request *queueItem
	wake    chan struct{} // wakes Next; capacity 1

	mu          sync.Mutex
	queue       []wire.Message
	queuedBytes int
	accepted    bool
	ended       bool
	// nextIndex is the index of the next expected token.
	nextIndex int
	err       error
}

func newStream(c *conn, id uint64, givenTokens int) *Stream {
	return &Stream{conn: c, id: id, call: givenTokens == callStream, request: &queueItem{},
		wake: make(chan struct{}, 1), nextIndex: max(0, givenTokens)}
}

// Next returns the next message. For a prompt it is Accepted, then Tokens in order without repeats and gaps, then End;
// or Refused. For a call it is Reply or Refused. An error ends the stream and is marked ErrNotSent or
// ErrMayHaveArrived. When ctx ends while no message is buffered, the stream is cancelled.
func (s *Stream) Next(ctx context.Context) (wire.Message, error) {
	for {
		s.mu.Lock()
		if len(s.queue) > 0 {
			m := s.queue[0]
			s.queue[0] = nil
			s.queue = s.queue[1:]
			s.queuedBytes -= bufferedSize(m)
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
		case <-s.wake:
		case <-ctx.Done():
			s.cancelWithCause(context.Cause(ctx))
		}
	}
}

// Cancel stops the run unless it has ended. It may be called more than once.
func (s *Stream) Cancel() { s.cancelWithCause(context.Canceled) }

// cancelWithCause ends the stream unless it has ended, and sends Cancel if the request may have arrived.
func (s *Stream) cancelWithCause(cause error) {
	s.mu.Lock()
	ended := s.ended || s.err != nil
	s.mu.Unlock()
	if ended {
		return
	}
	s.conn.removeStream(s.id)
	s.abort(cause)
	if s.request.state.Load() == taken {
		s.conn.trySend(wire.Cancel{Stream: s.id})
	}
}

// abort withdraws the request if it is still queued, and ends the stream with the cause, marked ErrNotSent or
// ErrMayHaveArrived accordingly.
func (s *Stream) abort(cause error) {
	if s.request.state.CompareAndSwap(queued, withdrawn) || s.request.state.Load() == withdrawn {
		s.fail(notSent(cause))
		return
	}
	s.fail(mayHaveArrived(cause))
}

// fail ends the stream with err unless it already has an error. Messages that are buffered can still be read.
func (s *Stream) fail(err error) {
	s.mu.Lock()
	if s.err == nil {
		s.err = err
	}
	s.mu.Unlock()
	s.notifyReader()
}

func (s *Stream) notifyReader() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// push validates a message from the connection and buffers it for Next.
func (s *Stream) push(m wire.Message) {
	s.mu.Lock()
	m, streamErr := s.validate(m)
	if streamErr == nil && m != nil {
		s.queue = append(s.queue, m)
		s.queuedBytes += bufferedSize(m)
	}
	ended := s.ended
	s.mu.Unlock()
	pool := s.conn.peer.pool
	switch {
	case errors.Is(streamErr, ErrSlowReader):
		pool.slowReaders.Inc(1)
		s.cancelWithCause(streamErr)
	case errors.Is(streamErr, ErrGap):
		pool.gaps.Inc(1)
		s.cancelWithCause(streamErr)
	case m == nil:
		pool.outOfTurnMessages.Inc(1)
	case ended:
		s.conn.removeStream(s.id)
	}
	s.notifyReader()
}

// validate returns the message to deliver, nil for one that is out of order or repeated, or an error that ends the
// stream.
func (s *Stream) validate(m wire.Message) (wire.Message, error) {
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
		return s.validateTokens(m)
	}
	return m, nil
}

// validateTokens is validate for tokens. It removes those that were already delivered.
func (s *Stream) validateTokens(m wire.Tokens) (wire.Message, error) {
	if m.Index > s.nextIndex {
		return nil, errors.Wrapf(ErrGap, "got token %d, expected token %d", m.Index, s.nextIndex)
	}
	if repeated := s.nextIndex - m.Index; repeated > 0 {
		if repeated >= len(m.Tokens) {
			return nil, nil
		}
		m.Index, m.Tokens = s.nextIndex, m.Tokens[repeated:]
		m.Text = token.Decode(m.Tokens)
	}
	if s.queuedBytes+bufferedSize(m) > s.conn.peer.pool.StreamBytes && len(s.queue) > 0 {
		return nil, ErrSlowReader
	}
	s.nextIndex += len(m.Tokens)
	return m, nil
}

// bufferedSize is the size in bytes of a message in the buffer of its stream. Only tokens count, since every other
// message comes at most once per stream.
func bufferedSize(m wire.Message) int {
	if t, ok := m.(wire.Tokens); ok {
		return 64 + 4*len(t.Tokens) + len(t.Text)
	}
	return 0
}
