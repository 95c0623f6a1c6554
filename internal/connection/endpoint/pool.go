package endpoint

import (
	"bytes"
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/connection/sockets"
	"primrosecourse/pkg/memory"
)

// Errors of Send and of reading the body of an Answer.
var (
	// ErrNotSent means that no byte of the request left the gateway.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoConnection means that the connections to the endpoint have reached MaxConnections and none is idle. It implies
	// ErrNotSent.
	ErrNoConnection = errors.New("endpoint has reached its connection limit")
	// ErrBroken means that the request was sent, at least in part, and no complete response arrived. The request may have run.
	ErrBroken = errors.New("connection broke during the request")
)

// errNotConnected means that no connection to the endpoint could be opened. It implies ErrNotSent.
var errNotConnected = errors.New("endpoint accepts no connection")

// Target is the endpoint to which a request is sent.
type Target struct {
	ID      string
	Address netip.AddrPort
	// MaxConnections limits the connections to the endpoint; 0 means no limit.
	MaxConnections int
}

// Call is a request to an endpoint. Send does not modify it.
type Call struct {
	Method string
	// Target is the request target of the request line, usually the path with the query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether a response belongs to this call and not to an earlier one on the same connection; first is set if the
	// connection has not carried any. If it is nil, every response is accepted.
	Matches func(status int, header http.Header, first bool) bool
	// RecentConn is set for a request that must not run twice. The request is sent on a new connection or on one that has been
	// idle for less than half of its idle limit, because the endpoint is unlikely to close such a connection just as the request
	// arrives.
	RecentConn bool
	// Alone is set for a call whose response can't be told from those to other calls. It is sent on a new connection, which carries no other call.
	Alone bool
	// Incarnation is when the incarnation of the endpoint started for which the call is meant, zero for any. The call is sent only on a
	// connection to that one; if Pool.Identity is set, an endpoint is asked on a connection that has not been confirmed yet.
	Incarnation time.Time
	// Wanted is called just before the first byte is written. If it returns false, the call is not sent. It may be nil.
	Wanted func() bool
	// Sent is called with the time just before the first byte is written, for each connection that is tried. It may be nil.
	Sent func(at time.Time)
}

// encodeHead returns the request line and the header, with capacity for a body that is sent together with them.
func (c *Call) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(c.Body), maxInlineBody))
	b.WriteString(c.Method + " " + c.Target + " HTTP/1.1\r\nHost: " + c.Host + "\r\n")
	for name, values := range c.Header {
		for _, value := range values {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(c.Body) > 0 || (c.Method != http.MethodGet && c.Method != http.MethodHead && c.Method != http.MethodDelete) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

type key struct {
	id   string
	addr netip.AddrPort
}

// connGroup contains the idle connections to one endpoint. open counts all connections to it, including those being opened.
type connGroup struct {
	idle []*conn
	open int
	// closes is set if the endpoint closed the connection on which it last stated its incarnation.
	closes bool
}

// Pool contains connections to endpoints. Its exported fields must be set before the first call of Send.
type Pool struct {
	// DialTimeout limits the time to open a connection. Default 1 s.
	DialTimeout time.Duration
	// SocketBytes bounds what the kernel holds for each connection; 0 leaves it to the kernel. See package sockets.
	SocketBytes int
	// Memory bounds the memory for long heads of responses; it may be nil.
	Memory *memory.Budget
	// Identity confirms the incarnations of endpoints for calls with an Incarnation. If it is nil, nothing is confirmed.
	Identity Identity
	// Dialed is called with the ID of the endpoint for each new connection; it may be nil.
	Dialed func(id string)

	mu     sync.Mutex
	groups map[key]*connGroup
	// closed is set when Run ends. From then on, connections are closed after their request, since nothing would close them
	// while idle.
	closed bool
	done   chan struct{}
}

// New returns a pool without connections.
func New() *Pool { return &Pool{groups: map[key]*connGroup{}, done: make(chan struct{})} }

// Done returns a channel that is closed when Run returns.
func (p *Pool) Done() <-chan struct{} { return p.done }

// Run closes connections that exceed their idle limit until ctx is done. Then it closes the idle connections, except those that
// may stay idle for more than another hour, which needs a Keep-Alive timeout of more than an hour from the endpoint.
func (p *Pool) Run(ctx context.Context) error {
	defer close(p.done)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.shutDown()
			return nil
		case now := <-ticker.C:
			p.expire(now)
		}
	}
}

// shutDown closes the idle connections, except those that may stay idle for more than another hour, and makes release close every
// connection from now on.
func (p *Pool) shutDown() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.expire(time.Now().Add(time.Hour))
}

// Send sends a call and returns its Answer after the header has been read. Its errors are ErrNotSent, ErrNoConnection,
// ErrNotStated, IncarnationError and ErrBroken. It retries a call on another connection only if no byte could be written to a reused connection.
func (p *Pool) Send(ctx context.Context, t Target, call *Call) (a *Answer, err error) {
	defer func() { err = errors.Wrapf(err, "endpoint %s at %s", t.ID, t.Address) }()
	k := key{id: t.ID, addr: t.Address}
	for {
		c, err := p.acquire(ctx, k, t.MaxConnections, call)
		if err != nil {
			return nil, err
		}
		ok, err := p.confirm(ctx, t, k, c, call.Incarnation)
		if err != nil {
			return nil, err
		}
		if !ok {
			continue
		}
		x, err := c.send(ctx, call)
		if errors.Is(err, ErrNotSent) && c.reused && ctx.Err() == nil {
			p.release(k, c, false)
			continue
		}
		if err != nil {
			p.release(k, c, false)
			return nil, err
		}
		response, err := x.readResponse(call)
		if err != nil {
			x.detach()
			p.release(k, c, false)
			return nil, err
		}
		a := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
			pool: p, key: k,
			exchange: x, response: response}
		a.Body = readerFunc(a.read)
		return a, nil
	}
}

// acquire returns an idle connection or opens a new one.
func (p *Pool) acquire(ctx context.Context, k key, limit int, call *Call) (c *conn, err error) {
	now := time.Now()
	for {
		if call.Alone {
			err = p.takeNewSlot(k, limit)
		} else {
			c, err = p.takeIdleOrSlot(k, limit, now, call.RecentConn)
		}
		if err != nil {
			return nil, errors.Mark(err, ErrNotSent)
		}
		if c == nil {
			break
		}
		if c.healthy() {
			return c, nil
		}
		p.release(k, c, false)
	}
	if c, err = p.dial(ctx, k); err == nil {
		c.alone = call.Alone
	}
	return c, err
}

// dial opens a connection, which has been counted. If it fails, the connection no longer counts.
func (p *Pool) dial(ctx context.Context, k key) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, cmp.Or(p.DialTimeout, time.Second))
	defer cancel()
	dialer := net.Dialer{KeepAlive: -1}
	if p.SocketBytes > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) { sockets.Bound(fd, p.SocketBytes) })
		}
	}
	c, err := dialer.DialContext(dialCtx, "tcp", k.addr.String())
	if err != nil {
		p.releaseSlot(k)
		awaitDeadline(ctx)
		return nil, errors.Mark(errors.Mark(errors.Wrap(err, "dial"), ErrNotSent), errNotConnected)
	}
	if p.Dialed != nil {
		p.Dialed(k.id)
	}
	return newConn(c, p.Memory), nil
}

// awaitDeadline waits until ctx is done if its deadline has passed, since the timer of a dialer may fire just before that of the
// context. The caller of Send can then see the cause in ctx.Err.
func awaitDeadline(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		<-ctx.Done()
	}
}

// takeIdleOrSlot returns the most recently used connection that is within its idle limit, or half of it with recentConn. It closes
// those that were used later but are not within it. If no connection is left, it returns nil and counts a connection that the
// caller must open, or returns ErrNoConnection if limit is reached.
func (p *Pool) takeIdleOrSlot(k key, limit int, now time.Time, recentConn bool) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.group(k)
	for len(g.idle) > 0 {
		c := g.idle[len(g.idle)-1]
		g.idle = g.idle[:len(g.idle)-1]
		idleLimit := c.idleLimit
		if recentConn {
			idleLimit /= 2
		}
		if now.Sub(c.idleSince) < idleLimit {
			return c, nil
		}
		g.open--
		_ = c.Close()
	}
	if limit > 0 && g.open >= limit {
		return nil, ErrNoConnection
	}
	g.open++
	return nil, nil
}

// takeNewSlot counts a connection that the caller must open. If limit is reached, the connection that has been idle for longest makes room;
// without one, it returns ErrNoConnection.
func (p *Pool) takeNewSlot(k key, limit int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.group(k)
	if limit > 0 && g.open >= limit {
		if len(g.idle) == 0 {
			return ErrNoConnection
		}
		_ = g.idle[0].Close()
		g.idle = slices.Delete(g.idle, 0, 1)
		g.open--
	}
	g.open++
	return nil
}

// takeSlot counts a connection that the caller must open.
func (p *Pool) takeSlot(k key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.group(k).open++
}

// group returns the connections to an endpoint. The caller must hold mu.
func (p *Pool) group(k key) *connGroup {
	g := p.groups[k]
	if g == nil {
		g = &connGroup{}
		p.groups[k] = g
	}
	return g
}

// release returns a connection to the pool if it is reusable and Run has not ended. Otherwise it closes the connection.
func (p *Pool) release(k key, c *conn, reusable bool) {
	c.limiter.reset()
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[k]
	if !reusable || p.closed {
		_ = c.Close()
		g.open--
		return
	}
	c.idleSince, c.kept = time.Now(), true
	g.idle = append(g.idle, c)
}

// releaseSlot decrements the number of open connections to an endpoint after a failed dial.
func (p *Pool) releaseSlot(k key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.groups[k]; g != nil {
		g.open--
	}
}

// expire closes connections that have been idle for longer than their limit.
func (p *Pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, g := range p.groups {
		g.idle = slices.DeleteFunc(g.idle, func(c *conn) bool {
			if now.Sub(c.idleSince) < c.idleLimit {
				return false
			}
			g.open--
			_ = c.Close()
			return true
		})
		if g.open == 0 {
			delete(p.groups, k)
		}
	}
}

// Drop closes the idle connections to an endpoint.
func (p *Pool) Drop(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[key{id: t.ID, addr: t.Address}]
	if g == nil {
		return
	}
	for _, c := range g.idle {
		_ = c.Close()
	}
	g.open -= len(g.idle)
	g.idle = nil
}
