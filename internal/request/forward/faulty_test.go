package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// oneEndpoint leaves the fixture a single endpoint.
func (f *fixture) oneEndpoint() { f.snapshot.Endpoints["S"] = f.snapshot.Endpoints["S"][:1] }

// TestRepeatedRefusal guards against a refusal of an earlier request that the endpoint writes once more on a kept connection and that is taken
// for the answer to a request which the endpoint runs.
func TestRepeatedRefusal(t *testing.T) {
	refusal := func(id string) string {
		header := ""
		if id != "" {
			header = "Id: " + id + "\r\n"
		}
		return "HTTP/1.1 503 X\r\n" + header + "Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy"
	}
	for name, c := range map[string]struct {
		withID bool
		// delay is the time until the copy is written after the next request has arrived; negative if it is written before that.
		delay time.Duration
	}{
		"with the ID, before the next request":   {true, -1},
		"with the ID, as the next one arrives":   {true, 0},
		"with the ID, while the next one runs":   {true, 30 * time.Millisecond},
		"without an ID, before the next request": {false, -1},
		"without an ID, as the next one arrives": {false, 0},
		"without an ID, while the next one runs": {false, 30 * time.Millisecond},
		"without an ID, long after it has begun": {false, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// kept carried the first request. The next one comes over another if the gateway has not got this one back yet.
			var kept atomic.Pointer[net.Conn]
			f := newFixture(t, func(_ int, id string, r *http.Request, conn net.Conn) bool {
				earlier := ""
				if c.withID {
					earlier = "first"
				}
				if r.Header.Get("Id") == "first" {
					kept.Store(&conn)
					_, _ = io.WriteString(conn, refusal(earlier))
					if c.delay < 0 {
						_, _ = io.WriteString(conn, refusal(earlier))
					}
					return true
				}
				if c.delay >= 0 && conn == *kept.Load() {
					time.Sleep(c.delay)
					_, _ = io.WriteString(conn, refusal(earlier))
				}
				time.Sleep(30 * time.Millisecond)
				return writeOK(conn, id, "good")
			})
			f.oneEndpoint()
			for i, id := range []string{"first", "second", "third"} {
				status, body, err := f.sendAs(t, id, "/never/1")
				is.NoErr(err)
				if i == 0 {
					is.Equal(status, 503)
					continue
				}
				is.Equal(status, 200)
				is.Equal(body, "good")
			}
			is.Equal(f.arrivalCount(), 3) // none ran twice
		})
	}
}

// sendAs sends a request with an ID.
func (f *fixture) sendAs(t *testing.T, id, path string) (status int, body string, err error) {
	t.Helper()
	return f.sendRaw(t, "POST "+path+" HTTP/1.1\r\nHost: h\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
}

// TestErrorInsteadOfResumedStream guards against the text or the head of an error in the middle of a stream that another endpoint began, and
// against a stream that then looks complete.
func TestErrorInsteadOfResumedStream(t *testing.T) {
	const begun = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	const text = "internal error: out of memory\n\n"
	whole := func(status int, header, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	}
	const id, sealed = "Id: r1\r\n", "Id: r1\r\nSeal: s\r\n"
	for name, answer := range map[string]string{
		"500":                          whole(500, sealed, text),
		"500 that looks like events":   whole(500, sealed, "data: "+text),
		"500 without a length":         "HTTP/1.1 500 X\r\n" + sealed + "Connection: close\r\n\r\n" + text,
		"502 without a seal":           whole(502, id, text),
		"503, not run":                 whole(503, id+"Not-Run: 1\r\n", text),
		"429, not run":                 whole(429, id+"Not-Run: 1\r\n", text),
		"400, not run":                 whole(400, id+"Not-Run: 1\r\n", text),
		"421":                          whole(421, id, text),
		"404":                          whole(404, sealed, text),
		"302":                          whole(302, sealed, text),
		"200 without a seal":           whole(200, id, text),
		"200, another type of content": whole(200, sealed+"Content-Type: application/json\r\n", `{"error":"out of memory"}`+"\n\n"),
		"200, a text that is no event": whole(200, sealed+"Content-Type: text/event-stream\r\n", text),
		"200, another head in it":      whole(200, sealed+"Content-Type: text/event-stream\r\n", "HTTP/1.1 500 X\r\nContent-Length: 31\r\n\r\n"+text),
		"chunked 200, another head":    "HTTP/1.1 200 X\r\n" + sealed + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + whole(500, sealed, text),
		"unframed 200, another head":   "HTTP/1.1 200 X\r\n" + sealed + "Content-Type: text/event-stream\r\n\r\n" + whole(500, sealed, text),
		"200, ends within an event":    whole(200, sealed+"Content-Type: text/event-stream\r\n", "id: 3\ndata: c"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, func(n int, id string, _ *http.Request, c net.Conn) bool {
				if n == 0 {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
					chunk(c, begun+"id: 3\nda")
					time.Sleep(20 * time.Millisecond)
					return false
				}
				_, _ = io.WriteString(c, answer)
				return false
			})
			status, body, err := f.send(t, http.MethodPost, "/resume/")
			is.Equal(status, 200)
			is.True(err != nil) // the stream does not look complete
			is.Equal(body, begun)
		})
	}
}

// TestHeadCutOff guards against an endpoint that closes the connection in the middle of its answer's head, or of a body with a length, and
// whose answer reaches the caller as a whole one with an empty or short body.
func TestHeadCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n"
	for name, c := range map[string]struct {
		path, answer string
		// whole is the number of bytes from which the answer is complete.
		whole int
	}{
		"length first":   {"/never/1", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: r1\r\nSeal: s\r\n\r\nwhole answer", 0},
		"length last":    {"/never/1", head + "Content-Length: 12\r\n\r\nwhole answer", 0},
		"chunks":         {"/never/1", head + "Transfer-Encoding: chunked\r\n\r\nc\r\nwhole answer\r\n0\r\n\r\n", 0},
		"stream":         {"/stream/1", head + "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: a\n\n\n\r\n0\r\n\r\n", 0},
		"without length": {"/stream/1", head + "Connection: close\r\n\r\nid: 1\ndata: a\n\n", len(head) + len("Connection: close\r\n\r\nid: 1\ndata: a\n\n")},
	} {
		whole := c.whole
		if whole == 0 {
			whole = len(c.answer)
		}
		for cut := range whole {
			t.Run(fmt.Sprint(name, " after ", cut), func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, func(_ int, _ string, _ *http.Request, conn net.Conn) bool {
					_, _ = io.WriteString(conn, c.answer[:cut])
					return false
				})
				status, body, err := f.send(t, http.MethodPost, c.path)
				is.True(status != 200 || err != nil) // not framed as whole
				is.True(!strings.Contains(body, "HTTP/1.1"))
			})
		}
	}
}
