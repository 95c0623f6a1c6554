package endpoint

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// discardTimeout and maxDiscardedBytes limit the rest of a body that Discard reads. A short body usually arrives with its head.
const (
	discardTimeout    = 50 * time.Millisecond
	maxDiscardedBytes = 256 << 10
)

// Answer is the response of an endpoint. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	// Body returns io.EOF only after the whole body has been read; a truncated body gives ErrBroken.
	Body io.Reader

	pool     *Pool
	key      key
	exchange *exchange
	response *http.Response
	complete bool
	closed   bool
}

// read implements io.Reader for Body.
func (a *Answer) read(p []byte) (n int, err error) {
	n, err = a.response.Body.Read(p)
	if own, found := a.exchange.copies.scan(p[:n]); found {
		return own, errors.Wrap(ErrBroken, "body has a copy of the response in it")
	}
	switch {
	case errors.Is(err, io.EOF):
		if a.exchange.endsInCopy() {
			return n, errors.Wrap(ErrBroken, "body ends in a copy of the response")
		}
		if a.Unframed() {
			if writeErr := a.exchange.writeLeft(); writeErr != nil {
				return n, errors.Mark(writeErr, ErrBroken)
			}
		}
		a.complete = true
	case err != nil:
		err = errors.Mark(err, ErrBroken)
	}
	return n, err
}

// Unframed reports whether there is a body with neither a length nor chunks, so that it ends with the connection,
// and its end can also be that of the endpoint.
func (a *Answer) Unframed() bool {
	return a.Length < 0 && len(a.response.TransferEncoding) == 0 && a.response.Request.Method != http.MethodHead
}

// Incarnation returns when the incarnation of the endpoint started that responds, zero if its connection was not confirmed.
func (a *Answer) Incarnation() time.Time { return a.exchange.conn.startedAt }

// Discard reads the rest of the body so that the connection can be used again. It gives up if the rest is long or late, and does not read
// a body that ends with the connection.
func (a *Answer) Discard() {
	if a.Unframed() {
		return
	}
	// If this replaces the deadline by which ctx interrupts the exchange, the read takes discardTimeout longer.
	_ = a.exchange.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, a.Body, maxDiscardedBytes)
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Close ends the exchange. If the response was not read to its end, the connection is closed, which cancels the request at the
// endpoint.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	if a.Length == 0 {
		a.complete = true
	}
	a.pool.release(a.key, a.exchange.conn, a.exchange.finish(a.response, a.complete))
}
