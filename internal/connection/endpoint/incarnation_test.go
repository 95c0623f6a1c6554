package endpoint

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// identity is a simplified Identity for tests: the question has the ID "?", and the body of its response is the Unix time in seconds.
type identity struct{}

func (identity) Question(Target) *Call {
	return &Call{Method: http.MethodGet, Target: "/start", Host: "h", Header: http.Header{"Id": {"?"}}}
}

func (identity) StartedAt(status int, body []byte) (startedAt time.Time, err error) {
	switch status {
	case http.StatusOK:
	case http.StatusMisdirectedRequest:
		return startedAt, ErrOtherEndpoint
	default:
		return startedAt, errors.Newf("status %d", status)
	}
	if len(body) == 0 {
		return startedAt, nil
	}
	seconds, err := strconv.ParseInt(string(body), 10, 64)
	return time.Unix(seconds, 0), err
}

// sendTo sends a call to the incarnation that started at a time.
func sendTo(t *testing.T, p *Pool, s *fakeEndpoint, id string, incarnation time.Time) (err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	call := newCall(id)
	call.Incarnation = incarnation
	a, err := p.Send(ctx, Target{ID: "e1", Address: s.addr, MaxConnections: 4}, call)
	if err != nil {
		return err
	}
	defer a.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return err
}

// stated is a response to the question on a connection that goes on, last one on a connection that ends.
func stated(body string) (string, bool) { return formatResponse("", body), true }

func last(response string) (string, bool) { return response, false }

// TestCallReachesNoOtherIncarnation guards against calls that are meant for one incarnation of an endpoint and reach another one, and against
// those that reach none though the right one serves.
func TestCallReachesNoOtherIncarnation(t *testing.T) {
	const listed, closing = 100, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	for name, test := range map[string]struct {
		respond   func(n int) (response string, goesOn bool) // on connection n, counted from 0
		sent      bool
		other     bool // the error names the other incarnation
		questions int  // for two calls
	}{
		"the listed one":  {func(int) (string, bool) { return stated("100") }, true, false, 1},
		"a later one":     {func(int) (string, bool) { return stated("101") }, false, true, 1},
		"an earlier one":  {func(int) (string, bool) { return stated("99") }, false, true, 2},
		"no start stated": {func(int) (string, bool) { return stated("") }, true, false, 1},
		"stated twice": {func(int) (string, bool) {
			return formatResponse("", "100") + formatResponse("", "100"), true
		}, true, false, 2},
		"closes after the question": {func(n int) (string, bool) {
			if n == 0 {
				return last(closing + "100")
			}
			return stated("100")
		}, true, false, 2},
		"restarts after the question": {func(n int) (string, bool) {
			if n == 0 {
				return last(closing + "100")
			}
			return stated("101")
		}, false, true, 2},
		"always closes after it":      {func(int) (string, bool) { return last(closing + "100") }, true, false, 2},
		"later, always closes":        {func(int) (string, bool) { return last(closing + "101") }, false, true, 2},
		"refuses the question":        {func(int) (string, bool) { return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", true }, false, false, 2},
		"no number":                   {func(int) (string, bool) { return stated("x") }, false, false, 2},
		"too long":                    {func(int) (string, bool) { return stated(string(make([]byte, maxStatementBytes+1))) }, false, false, 2},
		"breaks off":                  {func(int) (string, bool) { return last("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n10") }, false, false, 2},
		"closes without a response":   {func(int) (string, bool) { return last("") }, false, false, 2},
		"no response":                 {func(int) (string, bool) { return "", true }, false, false, 2},
		"half a response and no more": {func(int) (string, bool) { return "HTTP/1.1 200 OK\r\n", true }, false, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startEndpoint(t, func(s *fakeEndpoint, n int, c net.Conn, br *bufio.Reader) {
				for {
					id, ok := s.readRequest(br)
					if !ok {
						return
					}
					response, goesOn := formatResponse(id, "answer"), true
					if id == "?" {
						response, goesOn = test.respond(n)
					}
					if _, _ = io.WriteString(c, response); !goesOn {
						return
					}
				}
			})
			p := newPool(t)
			p.Identity = identity{}
			for i := range 2 {
				err := sendTo(t, p, s, fmt.Sprint(i), time.Unix(listed, 0))
				is.Equal(err == nil, test.sent)
				var other *IncarnationError
				is.Equal(errors.As(err, &other), test.other)
				is.True(err == nil || errors.Is(err, ErrNotSent))
			}
			questions := s.countOf("?")
			is.Equal(s.requestCount()-questions, map[bool]int{true: 2}[test.sent])
			is.Equal(questions, test.questions)
		})
	}
}

// TestKeptConnectionsAreConfirmed guards against calls on connections that were opened before the endpoint was asked, and against questions
// that are not needed.
func TestKeptConnectionsAreConfirmed(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
		for {
			id, ok := s.readRequest(br)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, formatResponse(id, "100"))
		}
	})
	p := newPool(t)
	p.Identity = identity{}
	is.NoErr(sendTo(t, p, s, "any", time.Time{}))
	is.Equal(s.countOf("?"), 0)
	for range 3 {
		is.NoErr(sendTo(t, p, s, "1", time.Unix(100, 0)))
	}
	is.Equal(s.countOf("?"), 1)
	// The entry of a later incarnation has arrived, and the endpoint states the earlier one on all connections.
	is.True(errors.Is(sendTo(t, p, s, "2", time.Unix(200, 0)), ErrNotSent))
	is.Equal(s.countOf("?"), 2)
	is.Equal(s.countOf("2"), 0)
}

// TestSilentEndpointIsAskedOnce guards against a call that asks a silent endpoint on each of its kept connections in turn.
func TestSilentEndpointIsAskedOnce(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
		for {
			id, ok := s.readRequest(br)
			if !ok {
				return
			}
			if id != "?" {
				_, _ = io.WriteString(c, formatResponse(id, "answer"))
			}
		}
	})
	p := newPool(t)
	p.Identity = identity{}
	var open []*Answer
	for i := range 4 {
		a, err := p.Send(context.Background(), Target{ID: "e1", Address: s.addr}, newCall(fmt.Sprint(i)))
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, a.Body)
		open = append(open, a)
	}
	for _, a := range open {
		a.Close()
	}
	err := sendTo(t, p, s, "stream", time.Unix(100, 0))
	is.True(errors.Is(err, ErrNotStated) && errors.Is(err, ErrNotSent))
	is.Equal(s.countOf("?"), 1)
}

// TestQuestionsNeedNoFreeConnection guards against calls that are refused at the connection limit since the endpoint closes each connection on
// which it states its incarnation.
func TestQuestionsNeedNoFreeConnection(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
		for {
			id, ok := s.readRequest(br)
			switch {
			case !ok:
				return
			case id == "?":
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n100")
				return
			}
			_, _ = io.WriteString(c, formatResponse(id, "answer"))
		}
	})
	p := newPool(t)
	p.Identity = identity{}
	for i := range 3 {
		call := newCall(fmt.Sprint(i))
		call.Incarnation = time.Unix(100, 0)
		a, err := p.Send(context.Background(), Target{ID: "e1", Address: s.addr, MaxConnections: 1}, call)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, a.Body)
		a.Close()
	}
}
