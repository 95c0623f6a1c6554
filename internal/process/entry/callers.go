package entry

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// callers keeps the open connections of callers. At a stop it closes those without a request, and only those.
type callers struct {
	net.Listener

	mu sync.Mutex
	// open maps each open connection to whether it waits for a request.
	open map[net.Conn]bool
}

func newCallers(l net.Listener) *callers {
	return &callers{Listener: l, open: map[net.Conn]bool{}}
}

// Accept implements net.Listener.
func (c *callers) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok {
		conn = &callerConn{TCPConn: tcp}
	}
	return conn, err
}

// track follows the state of a connection, as http.Server.ConnState does.
func (c *callers) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.open[conn] = true
	case http.StateActive:
		c.open[conn] = false
	case http.StateHijacked, http.StateClosed:
		delete(c.open, conn)
	}
}

// closeIdle makes the connections without a request close and returns the number of all that are still open. A connection on which a request
// has arrived stays open until that is answered: this is decided where the connection is read, since any other look would miss
// bytes that have just been read.
func (c *callers) closeIdle() (open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, waits := range c.open {
		if !waits {
			continue
		}
		if conn, ok := conn.(*callerConn); ok {
			conn.interrupted.Store(true)
		}
		_ = conn.SetReadDeadline(time.Unix(1, 0)) // interrupts the read
	}
	return len(c.open)
}

// callerConn is a connection of a caller.
type callerConn struct {
	*net.TCPConn
	// interrupted is set once the connection shall close if nothing has arrived on it.
	interrupted atomic.Bool
}

// Read implements io.Reader. If it is interrupted, it returns what has arrived, which net.Conn would leave unread: the close would then reset the
// connection.
func (c *callerConn) Read(p []byte) (n int, err error) {
	n, err = c.TCPConn.Read(p)
	if n > 0 || !c.interrupted.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	raw, rawErr := c.SyscallConn()
	if rawErr != nil {
		return 0, err
	}
	received := 0
	rawErr = raw.Control(func(fd uintptr) { received, _, _ = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT) })
	if rawErr != nil || received <= 0 {
		return 0, err
	}
	return received, nil
}
