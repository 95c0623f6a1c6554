package endpoint

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// lateContext is a context whose timer fires only a while after its deadline, as in a process without processor time.
type lateContext struct {
	context.Context
	deadline time.Time
}

func (c *lateContext) Deadline() (time.Time, bool) { return c.deadline, true }

// TestNoRequestAfterItsDeadline guards against a request that is sent after its deadline or unwanted, since the process is late, and
// against a connection that is lost by that.
func TestNoRequestAfterItsDeadline(t *testing.T) {
	for name, test := range map[string]struct {
		left   time.Duration
		wanted bool
		sent   int
	}{
		"in time":               {left: time.Second, wanted: true, sent: 1},
		"after its deadline":    {left: -time.Millisecond, wanted: true},
		"its caller has left":   {left: time.Second},
		"neither time nor need": {left: -time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
				for {
					id, ok := s.readRequest(br)
					if !ok {
						return
					}
					_, _ = c.Write([]byte(formatResponse(id, "body")))
				}
			})
			p := newPool(t)
			_, err := send(t, p, s, "before")
			is.NoErr(err)
			fired, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			call := newCall("late")
			call.Wanted = func() bool { return test.wanted }
			a, err := p.Send(&lateContext{fired, time.Now().Add(test.left)}, Target{ID: "e1", Address: s.addr}, call)
			if a != nil {
				a.Close()
			}
			is.Equal(errors.Is(err, ErrNotSent), test.sent == 0)
			is.Equal(s.requestCount(), 1+test.sent)
		})
	}
}
