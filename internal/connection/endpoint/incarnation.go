package endpoint

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/pkg/memory"
)

const (
	// incarnationTimeout limits the time until an endpoint has stated its incarnation.
	incarnationTimeout = time.Second
	// maxStatementBytes limits the body of the response that states an incarnation, and freeStatementBytes is the part of it that needs no memory
	// of the pool's budget.
	maxStatementBytes  = 64 << 10
	freeStatementBytes = 4 << 10
)

// Identity is how endpoints state their incarnations.
type Identity interface {
	// Question returns the call that asks an endpoint for its incarnation.
	Question(t Target) *Call
	// StartedAt returns when the incarnation that sent a response started, zero if it states no start at all. Its errors are ErrOtherEndpoint,
	// and others if the response does not tell.
	StartedAt(status int, body []byte) (time.Time, error)
}

// ErrOtherEndpoint means that a response came from another endpoint than the one that was asked.
var ErrOtherEndpoint = errors.New("another endpoint responded")

// ErrNotStated means that an endpoint did not state its incarnation, so that a call was not sent. It implies ErrNotSent.
var ErrNotStated = errors.New("endpoint did not state its incarnation")

// IncarnationError means that an endpoint is another incarnation than the one for which a call was meant. It is marked with ErrNotSent.
type IncarnationError struct {
	Wanted, StartedAt time.Time
}

// Error implements error.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("endpoint started at %s, not at %s", e.StartedAt.UTC().Format(time.RFC3339Nano), e.Wanted.UTC().Format(time.RFC3339Nano))
}

// confirm reports whether a connection leads to the wanted incarnation, zero for any. If not, it has released the connection, and another one
// may be tried unless there is an error.
//
// A connection does not outlive the process that accepted it, so that what is stated on it holds for all that it carries. If an endpoint closes
// each connection on which it is asked, what it states on another one after a connection was opened holds for that one, or that one is dead.
func (p *Pool) confirm(ctx context.Context, t Target, k key, c *conn, wanted time.Time) (ok bool, err error) {
	if wanted.IsZero() || p.Identity == nil {
		return true, nil
	}
	if err := p.identify(ctx, t, k, c); err != nil {
		// A kept connection may have been closed; one on which nothing came in time shows that the endpoint is silent.
		tryNext := c.kept && !errors.Is(err, context.DeadlineExceeded)
		p.release(k, c, false)
		if tryNext || errors.Is(err, errClosedAfterwards) {
			return false, nil
		}
		awaitDeadline(ctx)
		return false, errors.Mark(errors.Mark(err, ErrNotSent), ErrNotStated)
	}
	switch {
	case c.startedAt.IsZero() || c.startedAt.Equal(wanted):
		return true, nil
	case c.kept && c.startedAt.Before(wanted):
		p.release(k, c, false)
		return false, nil
	}
	p.release(k, c, true)
	return false, errors.Mark(&IncarnationError{Wanted: wanted, StartedAt: c.startedAt}, ErrNotSent)
}

// errClosedAfterwards means that an endpoint closed the connection on which it stated its incarnation.
var errClosedAfterwards = errors.New("endpoint closed the connection after it stated its incarnation")

// identify finds out which incarnation a connection leads to, if that is not known yet.
func (p *Pool) identify(ctx context.Context, t Target, k key, c *conn) (err error) {
	defer func() { err = errors.Wrap(err, "incarnation") }()
	if c.identified {
		return nil
	}
	var startedAt time.Time
	if c.alone || p.closes(k) {
		startedAt, err = p.askElsewhere(ctx, t, k)
	} else {
		startedAt, err = p.ask(ctx, t, k, c)
	}
	c.startedAt, c.identified = startedAt, err == nil
	return err
}

// askElsewhere asks an endpoint on a connection of its own, whatever the limit, which leaves room for health checks.
func (p *Pool) askElsewhere(ctx context.Context, t Target, k key) (startedAt time.Time, err error) {
	p.takeSlot(k)
	c, err := p.dial(ctx, k)
	if err != nil {
		return startedAt, err
	}
	startedAt, err = p.ask(ctx, t, k, c)
	p.release(k, c, err == nil)
	if errors.Is(err, errClosedAfterwards) {
		err = nil
	}
	return startedAt, err
}

// ask asks an endpoint on a connection for its incarnation. The connection can be used afterwards unless there is an error.
func (p *Pool) ask(ctx context.Context, t Target, k key, c *conn) (startedAt time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	defer func() {
		if err != nil && ctx.Err() != nil {
			err = errors.Mark(err, context.DeadlineExceeded)
		}
	}()
	question, reused := p.Identity.Question(t), c.reused
	x, err := c.send(ctx, question)
	if err != nil {
		return startedAt, err
	}
	response, err := x.readResponse(question)
	if err != nil {
		x.detach()
		return startedAt, err
	}
	statement := p.Memory.Hold(freeStatementBytes)
	defer statement.Release()
	body, err := readStatement(response.Body, statement)
	reusable := x.finish(response, err == nil)
	// The response carries no ID, so that the next one can't be taken for a late copy of it.
	c.reused = reused
	if err == nil {
		startedAt, err = p.Identity.StartedAt(response.StatusCode, body)
	}
	if err == nil && !reusable {
		err = errClosedAfterwards
	}
	p.setCloses(k, errors.Is(err, errClosedAfterwards))
	return startedAt, err
}

// readStatement reads the body of the response that states an incarnation, with the memory that m allows.
func readStatement(r io.Reader, m *memory.Holder) (body []byte, err error) {
	for {
		if len(body) == cap(body) {
			size := max(1<<10, 2*cap(body))
			if size > maxStatementBytes || !m.Grow(size) {
				return nil, errors.Newf("response is too long after %d bytes", len(body))
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// closes reports whether an endpoint closed the connection on which it was last asked.
func (p *Pool) closes(k key) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group(k).closes
}

func (p *Pool) setCloses(k key, closes bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.group(k).closes = closes
}
