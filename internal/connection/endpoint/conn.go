package endpoint

import (
	"bufio"
	"bytes"
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

	"primrosecourse/internal/connection/http1"
	"primrosecourse/pkg/memory"
)

const (
	// silenceTimeout is how long an endpoint may leave sent bytes or keep-alive probes unacknowledged. It is shorter than the
	// time within which a gateway must act on new information, so that a dead network path does not delay the gateway.
	silenceTimeout = 3 * time.Second
	// defaultIdleLimit is how long a connection may be idle if the endpoint sends no Keep-Alive timeout.
	defaultIdleLimit = 4 * time.Second
	// maxInlineBody is the size in bytes up to which a body is sent together with the header. A longer body is sent while the
	// response is awaited, because an endpoint may respond before it has read a long body.
	maxInlineBody = 4096
	// maxStrayResponses limits the responses that are skipped before the expected one: 1xx responses and responses to earlier
	// requests.
	maxStrayResponses = 3
	// maxWriteLeft is how long a request may still be written once a response without a length has ended. The write fails at once after a reset;
	// an endpoint that only closed its side of the connection reads the rest or does not.
	maxWriteLeft = time.Second
	// maxHeadBytes limits the heads of a response and of all that is skipped before it, and maxStrayBody the bodies that are skipped.
	// net/http's parser has no limit of its own: a head without end would be read until the memory is full.
	maxHeadBytes = 256 << 10
	maxStrayBody = 256 << 10
	// freeHeadBytes is the length of a head that needs no memory of the pool's budget. headMemory is the memory for a byte beyond it, most of
	// all in short lines, which take up many times their length once they are parsed.
	freeHeadBytes = 4 << 10
	headMemory    = 10
	// maxSeenHead is the length of the part of a head by which copies of its response are recognised.
	maxSeenHead = 1 << 10
)

// Errors of reading a head.
var (
	// errHeadTooLong means that the endpoint sent maxHeadBytes before the end of a head.
	errHeadTooLong = errors.New("head of the response is too long")
	// errNoHeadMemory means that the heads of the responses to all requests would exceed the pool's budget.
	errNoHeadMemory = errors.New("no memory for the head of the response")
)

// headLimiter reads from a connection and, while limited, no more than remaining bytes, for which there must be memory.
type headLimiter struct {
	net.Conn
	limited   bool
	remaining int
	// read is the number of bytes that were read while limited, memory what they take up.
	read   int
	memory *memory.Holder
	// seen holds the first bytes, up to maxSeenHead, of all that arrived since the last call of see, and arrived their number.
	seen    []byte
	arrived int
	// head checks the field names in what is recorded.
	head http1.Head
}

// see starts to record the next head from what arrives, after the bytes that are buffered already. It returns http1.ErrInvalidField if those have
// an invalid field name in the head.
func (r *headLimiter) see(buffered []byte) error {
	r.seen, r.arrived, r.head = r.seen[:0], 0, http1.Head{}
	return r.record(buffered)
}

func (r *headLimiter) record(p []byte) error {
	r.arrived += len(p)
	r.seen = append(r.seen, p[:min(len(p), maxSeenHead-len(r.seen))]...)
	_, err := r.head.Check(p)
	return err
}

// limit allows n bytes from now on, and any number if n is negative.
func (r *headLimiter) limit(n int) { r.limited, r.remaining = n >= 0, n }

// reset releases the memory of the heads that were read. It ends the use of seen.
func (r *headLimiter) reset() {
	r.read, r.seen = 0, nil
	r.memory.Release()
}

// Read implements io.Reader.
func (r *headLimiter) Read(p []byte) (n int, err error) {
	if r.limited && r.remaining == 0 {
		return 0, errHeadTooLong
	}
	if r.limited {
		// net/http's parser may drop the error of a look ahead.
		if _, err := r.head.Check(nil); err != nil {
			return 0, err
		}
	}
	if r.limited && len(p) > r.remaining {
		p = p[:r.remaining]
	}
	n, err = r.Conn.Read(p)
	if !r.limited {
		return n, err
	}
	if invalid := r.record(p[:n]); invalid != nil {
		return 0, invalid
	}
	r.remaining -= n
	if r.read += n; r.read > freeHeadBytes && !r.memory.Grow(headMemory*(r.read-freeHeadBytes)) {
		return 0, errNoHeadMemory
	}
	return n, err
}

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	br        *bufio.Reader
	limiter   *headLimiter
	idleSince time.Time
	idleLimit time.Duration
	// reused is set after the first request. The send of a later request may fail because the endpoint has closed the idle
	// connection.
	reused bool
	// kept is set once the connection has been idle in the pool.
	kept bool
	// startedAt is when the incarnation at its other end started, zero if it does not state that; it is valid once identified is set.
	startedAt  time.Time
	identified bool
	// alone is set if the connection carries a single call.
	alone bool
}

func newConn(c net.Conn, budget *memory.Budget) *conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		setKeepAlive(tcp)
	}
	limiter := &headLimiter{Conn: c, memory: budget.Hold(0)}
	return &conn{Conn: c, br: bufio.NewReaderSize(limiter, 4096), limiter: limiter, idleLimit: defaultIdleLimit}
}

// setKeepAlive makes the kernel close a connection whose endpoint has acknowledged nothing for silenceTimeout.
func setKeepAlive(c *net.TCPConn) {
	_ = c.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: silenceTimeout / 3, Interval: silenceTimeout / 3, Count: 2})
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		// The error is ignored: on a kernel without this option, only the keep-alive probes detect a dead endpoint.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
}

// healthy reports whether an idle connection is still open and has no unread bytes, which would belong to no request.
func (c *conn) healthy() bool {
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
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, readErr = syscall.Read(int(fd), buffer[:])
		return true
	})
	return err == nil && (errors.Is(readErr, syscall.EAGAIN) || errors.Is(readErr, syscall.EINTR))
}

// exchange is one request on a connection.
type exchange struct {
	conn *conn
	// detach makes the connection independent of the request's context. It returns false if the context has already interrupted
	// the connection.
	detach func() bool
	// written is closed when writing the request has ended; writeErr is valid then.
	written  chan struct{}
	writeErr error
	// copies finds copies of the response in its body.
	copies copyFinder
}

// send sends the request, or starts to send a long one. It returns ErrNotSent if no byte was written, as when ctx is already done.
func (c *conn) send(ctx context.Context, call *Call) (x *exchange, err error) {
	x = &exchange{conn: c, written: make(chan struct{})}
	// When ctx is done, a deadline in the past interrupts the exchange. ctx.Err is set before the connection returns an error, so
	// that the caller of Send can see the cause.
	_ = c.SetDeadline(time.Time{})
	x.detach = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	head := call.encodeHead()
	first := head
	if len(call.Body) <= maxInlineBody {
		first = append(head, call.Body...)
	}
	if err := mayStillSend(ctx, call); err != nil {
		x.detach()
		return nil, errors.Mark(errors.Wrap(err, "write"), ErrNotSent)
	}
	if call.Sent != nil {
		call.Sent(time.Now())
	}
	n, err := c.Write(first)
	switch {
	case err != nil && n == 0:
		x.detach()
		return nil, errors.Mark(errors.Wrap(err, "write"), ErrNotSent)
	case err != nil:
		x.detach()
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

// errUnwanted means that Call.Wanted returned false.
var errUnwanted = errors.New("call is no longer wanted")

// mayStillSend returns an error if the call must not be sent any more. The clock is asked too, since in a late process the timer of ctx
// may not have fired although the deadline has passed; ctx is done when it returns an error for that.
func mayStillSend(ctx context.Context, call *Call) error {
	if call.Wanted != nil && !call.Wanted() {
		return errUnwanted
	}
	awaitDeadline(ctx)
	return ctx.Err()
}

// ValidStatus reports whether a status is one of a final response. RFC 9110 defines the classes 1xx to 5xx only; it lets a client treat a
// status of 600 and more as a server error, but an endpoint that sends one is in no known state. net/http's parser takes any three
// characters that make a number that is not negative, such as 000, +20 and 999.
func ValidStatus(status int) bool { return status >= 200 && status <= 599 }

// readResponse returns the response to the call with its body unread. It skips up to maxStrayResponses
// responses that are 1xx or belong to earlier requests, as long as their heads and bodies are not too long.
func (x *exchange) readResponse(call *Call) (response *http.Response, err error) {
	defer func() { err = errors.Wrap(err, "read") }()
	request := &http.Request{Method: call.Method}
	x.conn.limiter.limit(maxHeadBytes)
	for range maxStrayResponses + 1 {
		response, err := x.readHead(request)
		if err != nil {
			return nil, errors.Mark(err, ErrBroken)
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if !ValidStatus(response.StatusCode) {
			return nil, errors.Mark(errors.Newf("status line %q", response.Status), ErrBroken)
		}
		if call.Matches == nil || call.Matches(response.StatusCode, response.Header, !x.conn.reused) {
			x.conn.limiter.limit(-1)
			return response, nil
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			break // The end of this response is the end of the connection, so that no other can follow.
		}
		x.conn.limiter.limit(-1)
		if n, err := io.CopyN(io.Discard, response.Body, maxStrayBody+1); n > maxStrayBody || !errors.Is(err, io.EOF) {
			return nil, errors.Mark(errors.Newf("stray response has no end after %d bytes: %v", n, err), ErrBroken)
		}
		x.conn.limiter.limit(maxHeadBytes)
	}
	return nil, errors.Wrap(ErrBroken, "no response to this request among those that arrived")
}

// readHead reads the head of the next response.
func (x *exchange) readHead(request *http.Request) (response *http.Response, err error) {
	br, limiter := x.conn.br, x.conn.limiter
	buffered, _ := br.Peek(br.Buffered())
	if err = limiter.see(buffered); err != nil {
		return nil, err
	}
	if response, err = http.ReadResponse(br, request); err != nil {
		return nil, err
	}
	if isJoined(response) {
		return nil, errors.New("head of the response has another status line in it")
	}
	head := limiter.seen[:min(len(limiter.seen), limiter.arrived-br.Buffered())]
	if len(response.TransferEncoding) > 0 {
		// Of a copy in a chunk, the empty line may be taken for the end of the chunk.
		head = bytes.TrimSuffix(head, []byte("\r\n"))
	}
	x.copies = copyFinder{head: head}
	http1.CheckTrailer(response, x.conn)
	return response, nil
}

// writeLeft returns an error if the request could not be written, or is not written within maxWriteLeft. A reset is reported once, to a write
// or a read: after a write that failed the connection reads as closed, as at the end of a body without a length.
func (x *exchange) writeLeft() error {
	timer := time.NewTimer(maxWriteLeft)
	defer timer.Stop()
	select {
	case <-x.written:
		return errors.Wrap(x.writeErr, "write, while the response was read")
	case <-timer.C:
		return errors.New("response ended before the request was written")
	}
}

// finish ends the exchange and reports whether the connection can carry another request.
func (x *exchange) finish(response *http.Response, complete bool) (reusable bool) {
	detached := x.detach()
	select {
	case <-x.written:
	default:
		return false
	}
	if x.conn.alone || !detached || !complete || x.writeErr != nil || response.Close || x.conn.br.Buffered() > 0 ||
		(response.ContentLength < 0 && len(response.TransferEncoding) == 0) {
		return false
	}
	x.conn.idleLimit = idleLimit(response.Header)
	x.conn.reused = true
	return x.conn.SetDeadline(time.Time{}) == nil
}

// idleLimit returns how long a connection may stay idle: 500 ms less than the Keep-Alive timeout that the endpoint sends, or
// defaultIdleLimit if it sends none.
func idleLimit(h http.Header) time.Duration {
	for parameter := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(seconds)*time.Second-500*time.Millisecond)
		}
	}
	return defaultIdleLimit
}
