package endpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// silenceTime is how long a peer may leave sent bytes or keep-alive probes unanswered. It lies below the time within
	// which a gateway must act on what it learned, so that a silent path is not waited for.
	silenceTime = 3 * time.Second
	// defaultIdle is how long a connection is kept idle if the endpoint states no time.
	defaultIdle = 4 * time.Second
	// backgroundBody is the size from which a body is sent while the answer is awaited: an endpoint may answer before it has
	// read a long body.
	backgroundBody = 4096
	// maxStrayAnswers bounds the answers to earlier requests that are skipped on one connection.
	maxStrayAnswers = 3
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	br        *bufio.Reader
	idleSince time.Time
	idleLimit time.Duration
	used      bool
}

func newConn(c net.Conn) *conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		bound(tcp)
	}
	return &conn{Conn: c, br: bufio.NewReaderSize(c, 4096), idleLimit: defaultIdle}
}

// bound makes the kernel end a connection whose peer fell silent.
func bound(c *net.TCPConn) {
	_ = c.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: silenceTime / 3, Interval: silenceTime / 3, Count: 2})
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		// A kernel without the option leaves the keep-alive probes.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTime.Milliseconds()))
	})
}

// quiet reports whether an idle connection is open and has nothing to read.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var readErr error
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, readErr = syscall.Read(int(fd), one[:])
		return true
	})
	return err == nil && (errors.Is(readErr, syscall.EAGAIN) || errors.Is(readErr, syscall.EINTR))
}

// exchange is one request on a connection.
type exchange struct {
	conn *conn
	// stop ends the link between the context and the connection.
	stop func() bool
	// written is closed when the request has been sent; writeErr is valid then.
	written  chan struct{}
	writeErr error
}

// begin sends the request. It returns ErrNotSent if no byte left.
func (c *conn) begin(ctx context.Context, call *Call) (x *exchange, err error) {
	x = &exchange{conn: c, written: make(chan struct{})}
	// The context ends the exchange, so that a caller that asks it after an error sees why.
	_ = c.SetDeadline(time.Time{})
	x.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	head := call.head()
	first := head
	if len(call.Body) <= backgroundBody {
		first = append(head, call.Body...)
	}
	n, err := c.Write(first)
	switch {
	case err != nil && n == 0:
		x.stop()
		return nil, errors.Mark(errors.Wrap(err, "write"), ErrNotSent)
	case err != nil:
		x.stop()
		return nil, errors.Mark(errors.Wrap(err, "write"), ErrBroken)
	case len(first) > len(head) || len(call.Body) == 0:
		close(x.written)
	default:
		go func() {
			defer close(x.written)
			_, x.writeErr = c.Write(call.Body)
		}()
	}
	return x, nil
}

// read returns the answer to the call.
func (x *exchange) read(call *Call) (response *http.Response, err error) {
	defer func() { err = errors.Wrap(err, "read") }()
	asked := &http.Request{Method: call.Method}
	for range maxStrayAnswers + 1 {
		response, err := http.ReadResponse(x.conn.br, asked)
		if err != nil {
			return nil, errors.Mark(err, ErrBroken)
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if call.Mine == nil || call.Mine(response.StatusCode, response.Header) {
			return response, nil
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			break // It ends with the connection.
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, errors.Mark(err, ErrBroken)
		}
	}
	return nil, errors.Wrap(ErrBroken, "answers to other requests")
}

// finish gives the connection back to the pool if it can carry another request.
func (x *exchange) finish(response *http.Response, whole bool) (reusable bool) {
	stopped := x.stop()
	select {
	case <-x.written:
	default:
		return false
	}
	if !stopped || !whole || x.writeErr != nil || response.Close || x.conn.br.Buffered() > 0 ||
		(response.ContentLength < 0 && len(response.TransferEncoding) == 0) {
		return false
	}
	x.conn.idleLimit = idleLimit(response.Header)
	x.conn.used = true
	return x.conn.SetDeadline(time.Time{}) == nil
}

// idleLimit returns how long a connection may stay idle, some way below what the endpoint states.
func idleLimit(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(seconds)*time.Second-500*time.Millisecond)
		}
	}
	return defaultIdle
}
