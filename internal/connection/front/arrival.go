package front

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// arrivalReader reads from a connection. A read after the deadline still returns bytes that have arrived, if the connection is one of TCP:
// net.Conn alone would not, so that a process that is late would cut off requests that were there in time. An evicted connection returns none.
type arrivalReader struct {
	net.Conn
	place *place
}

// Read implements io.Reader.
func (r *arrivalReader) Read(p []byte) (n int, err error) {
	n, err = r.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !r.place.isEvicted() {
		if n = receive(r.Conn, p, 0); n > 0 {
			return n, nil
		}
	}
	return n, err
}

// hasArrived reports whether bytes have arrived on a connection that nobody has read yet. The goroutine of the connection reads them as
// soon as it runs.
func hasArrived(c net.Conn) bool {
	var buffer [1]byte
	return receive(c, buffer[:], syscall.MSG_PEEK) > 0
}

// closeArrived reports whether the other side of a connection has closed or reset it, and nothing is left to be read before that.
func closeArrived(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = (n == 0 && err == nil) || errors.Is(err, syscall.ECONNRESET)
	})
	return err == nil && closed
}

// receive reads bytes that have arrived on a connection, without waiting and whatever its deadline, and returns their number.
func receive(c net.Conn, p []byte, flags int) int {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), p, flags|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0
	}
	return max(0, n)
}
