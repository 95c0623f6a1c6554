package endpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRunning guards against an endpoint that ended and counts as running, or whose new start is not noticed, and against one that is busy and
// counts as gone.
func TestRunning(t *testing.T) {
	const reset = "reset"
	for name, test := range map[string]struct {
		responses []string // on each connection; the endpoint stops after the last one if stops is set, and repeats it otherwise
		stops     bool
		want      bool
		startedAt int64
	}{
		"the same incarnation":      {responses: []string{formatResponse("", "100")}, want: true, startedAt: 100},
		"a later one":               {responses: []string{formatResponse("", "101")}, want: true, startedAt: 101},
		"no start stated":           {responses: []string{formatResponse("", "")}, want: true},
		"stopped":                   {stops: true},
		"closes after its response": {responses: []string{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n100"}, want: true, startedAt: 100},
		"refuses":                   {responses: []string{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}, want: true},
		"resets each connection":    {responses: []string{reset}, want: true},
		"resets one, has stopped":   {responses: []string{reset}, stops: true},
		"resets one, started again": {responses: []string{reset, formatResponse("", "101")}, want: true, startedAt: 101},
		"closes without a response": {responses: []string{""}, want: true},
		"another endpoint":          {responses: []string{"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"}},
		"no response":               {responses: []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startEndpoint(t, func(s *fakeEndpoint, n int, c net.Conn, br *bufio.Reader) {
				if test.stops && n == len(test.responses)-1 {
					defer s.stop()
				}
				if _, ok := s.readRequest(br); !ok {
					return
				}
				switch response := test.responses[min(n, len(test.responses)-1)]; response {
				case reset:
					_ = c.(*net.TCPConn).SetLinger(0)
				default:
					_, _ = io.WriteString(c, response)
					if name == "no response" {
						_, _ = io.Copy(io.Discard, br)
					}
				}
			})
			if test.stops && len(test.responses) == 0 {
				s.stop()
			}
			p := newPool(t)
			p.Identity = identity{}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			startedAt, err := p.Running(ctx, Target{ID: "e1", Address: s.addr, MaxConnections: 1})
			is.Equal(err == nil, test.want)
			is.Equal(startedAt.IsZero(), test.startedAt == 0)
			is.True(test.startedAt == 0 || startedAt.Unix() == test.startedAt)
		})
	}
}

// TestRunningWaitsForSilentEndpoint guards against an endpoint that sends nothing for a moment, accepts connections, and counts as gone.
func TestRunningWaitsForSilentEndpoint(t *testing.T) {
	is := is.New(t)
	until := time.Now().Add(incarnationTimeout + 400*time.Millisecond)
	s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
		if _, ok := s.readRequest(br); !ok {
			return
		}
		time.Sleep(time.Until(until))
		_, _ = io.WriteString(c, formatResponse("", "100"))
	})
	p := newPool(t)
	p.Identity = identity{}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	startedAt, err := p.Running(ctx, Target{ID: "e1", Address: s.addr})
	is.NoErr(err)
	is.Equal(startedAt.Unix(), int64(100))
}
