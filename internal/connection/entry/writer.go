package entry

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/pkg/wire"
)

var errTooSlow = errors.New("entry: peer reads too slowly")

// writer buffers messages and writes them from one goroutine.
type writer struct {
	conn    *wire.Conn
	timeout time.Duration
	limit   int

	mu      sync.Mutex
	queue   []wire.Message
	bytes   int
	closing bool // no more messages are taken
	err     error
	signal  chan struct{} // has room for one
}

func newWriter(c *wire.Conn, limit int, timeout time.Duration) *writer {
	return &writer{conn: c, limit: limit, timeout: timeout, signal: make(chan struct{}, 1)}
}

// send buffers a message. When the buffer is full, the connection is closed.
func (w *writer) send(m wire.Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closing || w.err != nil {
		return
	}
	if n := size(m); w.bytes+n <= w.limit {
		w.bytes += n
		w.queue = append(w.queue, m)
	} else {
		w.fail(errTooSlow)
	}
	w.tell()
}

// finish lets run end once everything buffered is written.
func (w *writer) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closing = true
	w.tell()
}

// fail must be called with the mutex held. It closes the connection, which ends a write or read that waits.
func (w *writer) fail(err error) {
	if w.err == nil {
		w.err = err
		_ = w.conn.Close()
	}
}

func (w *writer) tell() {
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// run writes until finish or an error, which it returns.
func (w *writer) run() error {
	for {
		batch, last, err := w.take()
		if err != nil {
			return err
		}
		for _, m := range batch {
			_ = w.conn.NetConn().SetWriteDeadline(time.Now().Add(w.timeout))
			if err := w.conn.Write(m); err != nil && !errors.Is(err, wire.ErrFrameTooLarge) {
				w.mu.Lock()
				w.fail(err)
				err = w.err
				w.mu.Unlock()
				return err
			}
		}
		if last && len(batch) == 0 {
			return nil
		}
		if len(batch) == 0 {
			<-w.signal
		}
	}
}

func (w *writer) take() (batch []wire.Message, last bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch, w.queue, w.bytes = w.queue, nil, 0
	return batch, w.closing, w.err
}

// size estimates the memory of a message.
func size(m wire.Message) int {
	const fixed = 128
	switch m := m.(type) {
	case wire.Tokens:
		return fixed + 4*len(m.Tokens) + len(m.Text)
	case wire.Reply:
		return fixed + len(m.Body)
	case wire.ConfigPush:
		return fixed + len(m.Content)
	}
	return fixed
}
