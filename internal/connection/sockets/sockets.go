// Package sockets bounds what the kernel holds for TCP connections whose other side sends or reads at will.
//
// # Usage
//
//	sockets.BoundListener(listener, sockets.Bytes)
//	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
//		return c.Control(func(fd uintptr) { sockets.Bound(fd, sockets.Bytes) })
//	}}
package sockets

import (
	"net"
	"syscall"
)

// Bytes is a size of receive buffers with which the kernel holds at most 24 KB that have not been read. On loopback 50 KB take as long as without a
// bound, and 4 MB take 4 ms in place of 2 ms; with 32 KB they take 3 ms, and the kernel holds 48 KB.
const Bytes = 16 << 10

// unsentBytes bounds what could not be sent. The send buffer is not bounded: with 32 KB, 4 MB took over a second on loopback.
const unsentBytes = 8 << 10

// tcpNotSentLowat is TCP_NOTSENT_LOWAT of Linux, which package syscall lacks.
const tcpNotSentLowat = 25

// BoundListener bounds the bytes that the process has not read for each connection that the listener accepts from now on. On an accepted
// connection Bound is too late for that: the other side has been offered a window of 64 KB, and a smaller one then stalls it. What cannot be
// sent is not inherited from the listener and is left to Bound.
func BoundListener(l net.Listener, n int) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		// An error means that the listener has been closed, which the next Accept returns.
		_ = raw.Control(func(fd uintptr) { Bound(fd, n) })
	}
}

// Bound bounds what the kernel holds for a connection to about n bytes that the process has not read, and unsentBytes that cannot be sent since
// the other side does not read. Sent bytes that are on their way are not bounded, so that a long way does not slow sending down. Without a bound, the
// kernel raises these to several megabytes. Errors are ignored; the bounds of the kernel apply after them.
func Bound(fd uintptr, n int) {
	_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, n)
	_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpNotSentLowat, unsentBytes)
}
