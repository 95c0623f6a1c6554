package engine_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"primrosecourse/internal/process/engine"
)

// TestUnframedRuns guards against a run without length and chunks that was broken off and looks as if the engine had ended it.
func TestUnframedRuns(t *testing.T) {
	const (
		accepted = "event: accepted\ndata: {}\n\n"
		tokens   = "event: tokens\ndata: {\"Index\":0,\"Tokens\":[1]}\n\n"
		ending   = "event: end\ndata: {\"Finish\":\"Stop\"}\n\n"
	)
	for name, test := range map[string]struct {
		sent   string
		reset  bool
		events int // after the first
		ended  bool
	}{
		"closed after the end":             {sent: accepted + tokens + ending, events: 2, ended: true},
		"closed after a whole event":       {sent: accepted + tokens, events: 1},
		"closed inside an event":           {sent: accepted + tokens + ending[:len(ending)-6], events: 1},
		"closed between name and data":     {sent: accepted + "event: end\n"},
		"closed after the first event":     {sent: accepted},
		"reset after a whole event":        {sent: accepted + tokens, reset: true, events: 1},
		"reset inside an event":            {sent: accepted + tokens + ending[:12], reset: true, events: 1},
		"reset after the end of the run":   {sent: accepted + tokens + ending, reset: true, events: 2, ended: true},
		"closed inside the first event":    {sent: accepted[:len(accepted)-4], events: -1},
		"closed before the first event":    {events: -1},
		"reset before the first event":     {reset: true, events: -1},
		"closed after another first event": {sent: tokens, events: -1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+test.sent)
				time.Sleep(20 * time.Millisecond) // a reset would overtake the bytes
				if test.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
			run, err := engine.New(netip.MustParseAddrPort(l.Addr().String())).Generate(t.Context(), engine.Request{})
			if test.events < 0 {
				is.True(errors.Is(err, engine.ErrCut) && !errors.Is(err, engine.ErrNotSent))
				return
			}
			is.NoErr(err)
			defer run.Close()
			events, ended := 0, false
			for !ended {
				event, err := run.Next()
				if err != nil {
					is.True(errors.Is(err, engine.ErrCut))
					break
				}
				events++
				_, ended = event.(engine.End)
			}
			is.Equal(events, test.events)
			is.Equal(ended, test.ended)
		})
	}
}
