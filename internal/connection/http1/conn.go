package http1

import (
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Conn is a connection of a Transport. It checks what is read from it.
type Conn struct {
	net.Conn
	// awaited is set before a request is written: what is read next is the head of the response.
	awaited atomic.Bool
	head    Head
	// invalid is set once ErrInvalidField was returned.
	invalid atomic.Bool
}

// Read implements net.Conn. The bytes before a line that is not valid are returned together with ErrInvalidField: net/http makes a call again if
// an error comes before the first byte of a response.
func (c *Conn) Read(p []byte) (n int, err error) {
	if c.invalid.Load() {
		return 0, errors.WithStack(ErrInvalidField) // a parser may drop the error of a look ahead
	}
	n, err = c.Conn.Read(p)
	if n > 0 && c.awaited.Swap(false) {
		c.head = Head{}
	}
	for checked := 0; checked < n && !c.head.Ended(); {
		m, headErr := c.head.Check(p[checked:n])
		checked += m
		if headErr != nil {
			c.invalid.Store(true)
			return checked, headErr
		}
		if c.head.Ended() && c.head.interim() {
			c.head = Head{}
		}
	}
	return n, err
}
