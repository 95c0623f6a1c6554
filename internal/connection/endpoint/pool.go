package endpoint

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// The ways in which an exchange fails.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoConnection means that the endpoint has as many connections as it may have. It implies ErrNotSent.
	ErrNoConnection = errors.New("endpoint has no free connection")
	// ErrBroken means that the request was sent, at least in part, and no whole answer came.
	ErrBroken = errors.New("connection broke under the request")
)

// Target is where a request goes.
type Target struct {
	ID      string
	Address netip.AddrPort
	// MaxConnections bounds the connections to the endpoint; 0 for no bound.
	MaxConnections int
}

// Call is a request to an endpoint. It is not changed by an exchange.
type Call struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Mine tells the answer to this call from one to an earlier call. Nil takes any.
	Mine func(status int, header http.Header) bool
	// Once asks for a connection that is unlikely to close under the request.
	Once bool
}

// head returns the request line and the header.
func (c *Call) head() []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(c.Body), backgroundBody))
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

// Answer is the answer of an endpoint. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if it is not known.
	Length int64
	// Body ends with io.EOF only when the whole body has been read.
	Body io.Reader

	pool     *Pool
	key      key
	exchange *exchange
	response *http.Response
	whole    bool
	closed   bool
}

// Read implements io.Reader for Body.
func (a *Answer) read(p []byte) (n int, err error) {
	n, err = a.response.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		a.whole = true
	case err != nil:
		err = errors.Mark(err, ErrBroken)
	}
	return n, err
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Close ends the exchange. A connection whose answer was not read to its end is closed, which cancels the request.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	if a.Length == 0 {
		a.whole = true
	}
	a.pool.put(a.key, a.exchange.conn, a.exchange.finish(a.response, a.whole))
}

type key struct {
	id   string
	addr netip.AddrPort
}

// group are the connections to one endpoint.
type group struct {
	idle []*conn
	open int
}

// Pool keeps connections. Its exported fields are set before the first call.
type Pool struct {
	// DialTimeout bounds a new connection. Default 1 s.
	DialTimeout time.Duration
	// Dialed is called for each new connection; it may be nil.
	Dialed func(id string)

	mu     sync.Mutex
	groups map[key]*group
	// ended tells that Run has ended, after which nobody would close an idle connection.
	ended bool
	done  chan struct{}
}

// New returns a pool without connections.
func New() *Pool { return &Pool{groups: map[key]*group{}, done: make(chan struct{})} }

// Done is closed when Run has ended.
func (p *Pool) Done() <-chan struct{} { return p.done }

// Run closes connections that stood idle until ctx is done, then all idle ones.
func (p *Pool) Run(ctx context.Context) error {
	defer close(p.done)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.end()
			return nil
		case now := <-ticker.C:
			p.expire(now)
		}
	}
}

// end closes all idle connections, and from now on those that are given back.
func (p *Pool) end() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.expire(time.Now().Add(time.Hour))
}

// Send sends a call and returns the header of its answer. Errors: ErrNotSent, ErrNoConnection, ErrBroken.
func (p *Pool) Send(ctx context.Context, t Target, call *Call) (a *Answer, err error) {
	defer func() { err = errors.Wrapf(err, "endpoint %s at %s", t.ID, t.Address) }()
	k := key{id: t.ID, addr: t.Address}
	for {
		c, err := p.get(ctx, k, t.MaxConnections, call.Once)
		if err != nil {
			return nil, err
		}
		x, err := c.begin(ctx, call)
		if errors.Is(err, ErrNotSent) && c.used && ctx.Err() == nil {
			p.put(k, c, false)
			continue
		}
		if err != nil {
			p.put(k, c, false)
			return nil, err
		}
		response, err := x.read(call)
		if err != nil {
			x.stop()
			p.put(k, c, false)
			return nil, err
		}
		a := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, pool: p, key: k,
			exchange: x, response: response}
		a.Body = readerFunc(a.read)
		return a, nil
	}
}

// get takes an idle connection or opens one.
func (p *Pool) get(ctx context.Context, k key, limit int, once bool) (*conn, error) {
	now := time.Now()
	for {
		c, err := p.takeIdle(k, limit, now, once)
		if err != nil {
			return nil, errors.Mark(err, ErrNotSent)
		}
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		p.put(k, c, false)
	}
	dial, cancel := context.WithTimeout(ctx, cmp.Or(p.DialTimeout, time.Second))
	defer cancel()
	dialer := net.Dialer{KeepAlive: -1}
	c, err := dialer.DialContext(dial, "tcp", k.addr.String())
	if err != nil {
		p.release(k)
		settle(ctx)
		return nil, errors.Mark(errors.Wrap(err, "dial"), ErrNotSent)
	}
	if p.Dialed != nil {
		p.Dialed(k.id)
	}
	return newConn(c), nil
}

// settle waits for the end of a context whose deadline has passed: a dialer's own timer may fire just before it.
func settle(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		<-ctx.Done()
	}
}

// takeIdle returns the connection used last, or nil after it has counted a new one.
func (p *Pool) takeIdle(k key, limit int, now time.Time, once bool) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[k]
	if g == nil {
		g = &group{}
		p.groups[k] = g
	}
	for len(g.idle) > 0 {
		c := g.idle[len(g.idle)-1]
		g.idle = g.idle[:len(g.idle)-1]
		allowed := c.idleLimit
		if once {
			allowed /= 2
		}
		if now.Sub(c.idleSince) < allowed {
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

// put gives a connection back, or closes it.
func (p *Pool) put(k key, c *conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[k]
	if !reusable || p.ended {
		_ = c.Close()
		g.open--
		return
	}
	c.idleSince = time.Now()
	g.idle = append(g.idle, c)
}

func (p *Pool) release(k key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.groups[k]; g != nil {
		g.open--
	}
}

// expire closes connections that stood idle for too long.
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

// Drop closes the idle connections to an endpoint, after it crashed or left.
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
