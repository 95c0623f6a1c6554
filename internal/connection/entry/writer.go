package entry

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/pkg/wire"
)

var errTooSlow = errors.New("entry: peer reads too slowly")

// writer buffers messages and writes them in a single goroutine, run.
type writer struct {
	conn       *wire.Conn
	timeout    time.Duration
	limitBytes int

	mu          sync.Mutex
	queue       []wire.Message
	queuedBytes int
	closing     bool // set by finish; later messages are dropped
	err         error
	wake        chan struct{} // wakes run; capacity 1
}

func newWriter(c *wire.Conn, limitBytes int, timeout time.Duration) *writer {
	return &writer{conn: c, limitBytes: limitBytes, timeout: timeout, wake: make(chan struct{}, 1)}
}

// send buffers a message. If the buffer is full, it closes the connection. After finish or an error it drops the message.
func (w *writer) send(m wire.Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closing || w.err != nil {
		return
	}
	if n := messageSize(m); w.queuedBytes+n <= w.limitBytes {
		w.queuedBytes += n
		w.queue = append(w.queue, m)
	} else {
		w.failLocked(errTooSlow)
	}
	w.notify()
}

// finish makes run return after it has written the buffered messages.
func (w *writer) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closing = true
	w.notify()
}

// failLocked stores the first error and closes the connection, which unblocks pending reads and writes. The caller must
// hold mu.
func (w *writer) failLocked(err error) {
	if w.err == nil {
		w.err = err
		_ = w.conn.Close()
	}
}

func (w *writer) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes messages until an error occurs, which it returns, or until all messages that were buffered before finish are
// written. A message that is too large for a frame is dropped.
func (w *writer) run() error {
	for {
		batch, closing, err := w.takeBatch()
		if err != nil {
			return err
		}
		for _, m := range batch {
			_ = w.conn.NetConn().SetWriteDeadline(time.Now().Add(w.timeout))
			if err := w.conn.Write(m); err != nil && !errors.Is(err, wire.ErrFrameTooLarge) {
				w.mu.Lock()
				w.failLocked(err)
				err = w.err
				w.mu.Unlock()
				return err
			}
		}
		if closing && len(batch) == 0 {
			return nil
		}
		if len(batch) == 0 {
			<-w.wake
		}
	}
}

// takeBatch removes and returns the buffered messages, and returns whether finish was called and the first error.
func (w *writer) takeBatch() (batch []wire.Message, closing bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch, w.queue, w.queuedBytes = w.queue, nil, 0
	return batch, w.closing, w.err
}

// messageSize estimates the memory that a message takes, in bytes.
func messageSize(m wire.Message) int {
	const overhead = 128
	switch m := m.(type) {
	case wire.Tokens:
		return overhead + 4*len(m.Tokens) + len(m.Text)
	case wire.Reply:
		return overhead + len(m.Body)
	case wire.ConfigPush:
		return overhead + len(m.Content)
	}
	return overhead
}
