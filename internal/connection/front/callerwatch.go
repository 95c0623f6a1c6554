package front

import (
	"context"
	"net"
	"sync/atomic"
)

// callerWatch knows whether the caller of a request has left.
type callerWatch struct {
	conn net.Conn
	// cancel ends the context of the request.
	cancel context.CancelFunc
	// pipelined is set once bytes of the next request have been read, after which a close is not looked for. unread is set if the caller was
	// found to have left by a look at the connection.
	pipelined, left, unread atomic.Bool
}

// leave records that the caller has left.
func (w *callerWatch) leave() {
	w.left.Store(true)
	w.cancel()
}

// hasLeft reports whether the caller has left. It looks at the connection itself, since the goroutine that reads from it may be late.
func (w *callerWatch) hasLeft() bool {
	if !w.left.Load() && !w.pipelined.Load() && closeArrived(w.conn) {
		w.unread.Store(true)
		w.leave()
	}
	return w.left.Load()
}
