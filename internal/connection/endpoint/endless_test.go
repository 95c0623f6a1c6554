package endpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"primrosecourse/pkg/memory"
)

// TestEndlessBytes guards against bytes without end that are no answer: the call ends with bounded memory, long before its deadline,
// and the connection is closed.
func TestEndlessBytes(t *testing.T) {
	line := strings.Repeat("x", 1000)
	const head = "HTTP/1.1 200 OK\r\n"
	// first is sent once, then again over and over. Both are bytes, so that the sender allocates nothing: what lies in the buffers of the
	// sockets, some MB, would count otherwise.
	for name, bytes := range map[string]struct{ first, again []byte }{
		"head line without end":        {[]byte(head + "A: "), []byte(line)},
		"status line without end":      {nil, []byte(line)},
		"header fields without number": {[]byte(head), []byte("A: " + line + "\r\n")},
		"interim answers without end":  {nil, []byte("HTTP/1.1 103 Early Hints\r\nA: " + line + "\r\n\r\n")},
		"blank lines":                  {nil, []byte("\r\n\r\n\r\n")},
		"body of a foreign answer":     {[]byte(head + "Id: foreign\r\nContent-Length: 9000000000000\r\n\r\n"), []byte(line)},
		"chunks of a foreign answer":   {[]byte(head + "Id: foreign\r\nTransfer-Encoding: chunked\r\n\r\n"), []byte("3e8\r\n" + line + "\r\n")},
		"chunk extension without end":  {[]byte(head + "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3e8;"), []byte(line)},
		"trailer without end":          {[]byte(head + "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"), []byte("A: " + line + "\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan int, 1)
			s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
				if _, ok := s.readRequest(br); !ok {
					return
				}
				_, err := c.Write(bytes.first)
				n := 0
				for ; n < 200_000 && err == nil; n++ {
					_, err = c.Write(bytes.again)
				}
				closed <- n
			})
			p := newPool(t)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			started := time.Now()
			a, err := p.Send(ctx, Target{ID: "e1", Address: s.addr}, newCall("1"))
			if err == nil {
				_, err = io.ReadAll(a.Body)
				a.Close()
			}
			runtime.ReadMemStats(&after)
			is.True(errors.Is(err, ErrBroken))
			is.True(time.Since(started) < 3*time.Second)
			is.True(after.TotalAlloc-before.TotalAlloc < 8<<20)
			select {
			case n := <-closed:
				is.True(n < 200_000) // it would have gone on
			case <-time.After(5 * time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}

// TestHeadsWithoutMemory guards against heads of responses that outgrow the memory together though each keeps within its limit, and against
// memory that stays drawn after the exchange.
func TestHeadsWithoutMemory(t *testing.T) {
	is := is.New(t)
	const fields = "A: b\r\n"
	s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
		for {
			id, ok := s.readRequest(br)
			if !ok {
				return
			}
			n, _ := strconv.Atoi(id)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 0\r\n"+strings.Repeat(fields, n)+"\r\n")
		}
	})
	p := newPool(t)
	p.Memory = memory.New(1 << 20)
	exchange := func(lines string) (held int64, err error) {
		a, err := p.Send(context.Background(), Target{ID: "e1", Address: s.addr}, newCall(lines))
		held = p.Memory.Held()
		if err == nil {
			a.Close()
		}
		return held, err
	}
	held, err := exchange("20") // a usual head
	is.NoErr(err)
	is.Equal(held, int64(0))
	held, err = exchange("5000")
	is.NoErr(err)
	is.True(held > 200_000)
	is.Equal(p.Memory.Held(), int64(0))
	_, err = exchange("30000")
	is.True(errors.Is(err, ErrBroken))
	is.Equal(p.Memory.Held(), int64(0))
}

// TestLateCopies guards against a second copy of an answer that arrives late, on a connection that is in use again, and becomes the
// answer to another request.
func TestLateCopies(t *testing.T) {
	for name, late := range map[string]struct {
		between, during string // what the endpoint sends before the second request arrives, and after
	}{
		"between the requests":              {between: formatResponse("1", "again")},
		"after the second request":          {during: formatResponse("1", "again")},
		"twice":                             {during: formatResponse("1", "again") + formatResponse("1", "again")},
		"with a foreign ID":                 {during: formatResponse("9", "foreign")},
		"part of a copy":                    {during: formatResponse("1", "again")[:20]},
		"a late copy without length":        {during: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nagain"},
		"a refusal without ID":              {during: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"},
		"surplus bytes":                     {between: "surplus"},
		"rest of a body after its length":   {between: "st\r\n"},
		"an interim answer and a copy":      {during: "HTTP/1.1 103 Early Hints\r\n\r\n" + formatResponse("1", "again")},
		"a copy in the same segment":        {between: formatResponse("1", "first")},
		"a copy with another status":        {during: "HTTP/1.1 503 Busy\r\nId: 1\r\nContent-Length: 0\r\n\r\n"},
		"a copy that is broken off":         {during: formatResponse("1", "again")[:50]},
		"a chunked copy":                    {during: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nagain\r\n0\r\n\r\n"},
		"more copies than are ever skipped": {during: strings.Repeat(formatResponse("1", "again"), maxStrayResponses+1)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
				id, ok := s.readRequest(br)
				if !ok {
					return
				}
				_, _ = io.WriteString(c, formatResponse(id, "first")+late.between)
				if id, ok = s.readRequest(br); ok {
					_, _ = io.WriteString(c, late.during+formatResponse(id, "second"))
				}
			})
			p := newPool(t)
			body, err := send(t, p, s, "1")
			is.NoErr(err)
			is.Equal(body, "first")
			time.Sleep(10 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			call := newCall("2")
			call.Matches = func(status int, h http.Header, first bool) bool {
				return h.Get("Id") == "2" || (h.Get("Id") == "" && status == http.StatusServiceUnavailable && first)
			}
			a, err := p.Send(ctx, Target{ID: "e1", Address: s.addr}, call)
			if err != nil {
				is.True(errors.Is(err, ErrBroken)) // no answer at all is true, a foreign one is not
				return
			}
			defer a.Close()
			b, err := io.ReadAll(a.Body)
			if err == nil {
				is.True(string(b) == "second" || string(b) == "first") // the first answer on a new connection
				is.Equal(a.Header.Get("Id"), "2")
			}
		})
	}
}
