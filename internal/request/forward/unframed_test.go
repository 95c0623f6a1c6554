package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/connection/endpoint"
)

// unframedHead is the header of an answer whose body ends with the connection.
func unframedHead(id string) string { return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: s\r\n\r\n" }

// end makes the connection close or, with reset, break off. The pause lets the bytes before arrive, which a reset would overtake.
func end(c net.Conn, reset bool) bool {
	time.Sleep(20 * time.Millisecond)
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	return false
}

const (
	event1 = "id: 1\ndata: a\n\n"
	event2 = "id: 2\ndata: b\n\n"
)

// TestUnframedStreams guards against a stream without length and chunks that was broken off and looks complete, and against a complete
// one that is run again. An attempt that is resumed gets what is missing.
func TestUnframedStreams(t *testing.T) {
	long := "id: 3\ndata: " + strings.Repeat("x", maxTestEvent) + "\n\n"
	for name, test := range map[string]struct {
		sent           string
		reset          bool
		complete       bool
		relayed        string // to a caller whose stream may not be resumed
		resumableAfter string
	}{
		"closed after a whole event":      {sent: event1 + event2, complete: true, relayed: event1 + event2},
		"closed inside an event":          {sent: event1 + "id: 2\nda", relayed: event1, resumableAfter: "1"},
		"closed before the empty line":    {sent: event1 + "id: 2\ndata: b\n", relayed: event1, resumableAfter: "1"},
		"closed inside the first event":   {sent: "id: 1\nda"},
		"closed before the first event":   {},
		"closed after a blank line more":  {sent: event1 + event2 + "\n", complete: true, relayed: event1 + event2 + "\n"},
		"closed after events with CR LF":  {sent: "id: 1\r\ndata: a\r\n\r\n", complete: true, relayed: "id: 1\r\ndata: a\r\n\r\n"},
		"closed inside a line end":        {sent: event1 + "id: 2\r\ndata: b\r\n\r", relayed: event1, resumableAfter: "1"},
		"closed inside a long event":      {sent: event1 + event2 + long[:len(long)-1], relayed: event1 + event2, resumableAfter: "2"},
		"reset after a whole event":       {sent: event1 + event2, reset: true, relayed: event1 + event2, resumableAfter: "2"},
		"reset inside an event":           {sent: event1 + "id: 2\nda", reset: true, relayed: event1, resumableAfter: "1"},
		"reset before the first event":    {reset: true},
		"reset after a blank line more":   {sent: event1 + "\n", reset: true, relayed: event1, resumableAfter: "1"},
		"reset after a whole long event":  {sent: event1 + event2 + long, reset: true, relayed: event1 + event2 + long, resumableAfter: "3"},
		"reset inside the last line end":  {sent: event1 + "id: 2\ndata: b\n", reset: true, relayed: event1, resumableAfter: "1"},
		"reset after an event with CR LF": {sent: "id: 1\r\ndata: a\r\n\r\n", reset: true, relayed: "id: 1\r\ndata: a\r\n\r\n", resumableAfter: "1"},
	} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, path := range []string{"/stream/", "/resume/"} {
				t.Run(name+" "+version+path, func(t *testing.T) {
					is := is.New(t)
					var after string
					f := newFixture(t, func(n int, id string, r *http.Request, c net.Conn) bool {
						if n == 0 {
							_, _ = io.WriteString(c, unframedHead(id)+test.sent)
							return end(c, test.reset)
						}
						after = r.Header.Get("After")
						_, _ = io.WriteString(c, unframedHead(id)+"id: 9\ndata: end\n\n")
						return end(c, false)
					})
					status, body, err := f.sendVersion(t, version, path)
					switch {
					case test.complete:
						is.NoErr(err)
						is.Equal(status, http.StatusOK)
						is.Equal(body, test.relayed)
						is.Equal(f.arrivalCount(), 1)
					case path == "/resume/":
						is.NoErr(err)
						is.Equal(status, http.StatusOK)
						is.Equal(body, test.relayed+"id: 9\ndata: end\n\n")
						is.Equal(after, test.resumableAfter)
						is.Equal(f.arrivalCount(), 2)
					default:
						is.True(err != nil || status == http.StatusBadGateway)
						if status == http.StatusOK {
							is.Equal(body, test.relayed)
						}
						is.Equal(f.arrivalCount(), 1)
					}
				})
			}
		}
	}
}

const maxTestEvent = 20_000

// TestResumedWithoutEvents guards against a stream that looks complete because the endpoint that resumes it closes before any event.
func TestResumedWithoutEvents(t *testing.T) {
	for name, test := range map[string]struct {
		sent     string
		complete bool
	}{
		"nothing":                        {},
		"blank lines":                    {sent: "\n\n\n"},
		"a comment":                      {sent: ": still here\n\n"},
		"a comment with CR LF":           {sent: ": still here\r\n\r\n"},
		"an event that the caller has":   {sent: event1, complete: true},
		"another event":                  {sent: event2, complete: true},
		"another event and then comment": {sent: event2 + ": end\n\n", complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, func(n int, id string, _ *http.Request, c net.Conn) bool {
				if n == 0 {
					_, _ = io.WriteString(c, unframedHead(id)+event1+"id: 2\nda")
					return end(c, false)
				}
				_, _ = io.WriteString(c, unframedHead(id)+test.sent)
				return end(c, false)
			})
			status, _, err := f.send(t, http.MethodPost, "/resume/")
			is.Equal(err == nil && status == http.StatusOK, test.complete)
			is.Equal(f.arrivalCount(), 2)
			status, _, err = f.send(t, http.MethodPost, "/stream/", "After: 1") // the caller itself resumes
			is.Equal(err == nil && status == http.StatusOK, test.complete)
		})
	}
}

// TestUnframedAnswers guards against answers without length and chunks that a reset broke off and that are delivered as complete.
func TestUnframedAnswers(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 40_000) // longer than what is read before the first byte is relayed
	for name, test := range map[string]struct {
		body       string
		reset      bool
		wantNever  int // status, 0 for a broken-off answer
		wantAlways int
	}{
		"closed":               {body: "answer", wantNever: 200, wantAlways: 200},
		"empty, closed":        {body: "", wantNever: 200, wantAlways: 200},
		"reset":                {body: "answer", reset: true, wantNever: 502, wantAlways: 200},
		"empty, reset":         {body: "", reset: true, wantNever: 502, wantAlways: 200},
		"long answer, closed":  {body: long, wantNever: 200, wantAlways: 200},
		"long answer, reset":   {body: long, reset: true},
		"just too long, reset": {body: long[:256<<10+1], reset: true},
	} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for path, want := range map[string]int{"/never/": test.wantNever, "/always/": test.wantAlways} {
				t.Run(name+" "+version+path, func(t *testing.T) {
					is := is.New(t)
					f := newFixture(t, func(n int, id string, _ *http.Request, c net.Conn) bool {
						if n > 0 {
							return writeOK(c, id, "second")
						}
						_, _ = io.WriteString(c, unframedHead(id)+test.body)
						return end(c, test.reset)
					})
					status, body, err := f.sendVersion(t, version, path)
					is.Equal(err != nil, want == 0)
					if want == 0 {
						is.Equal(f.arrivalCount(), 1) // the caller has the beginning
						return
					}
					is.Equal(status, want)
					switch {
					case !test.reset:
						is.Equal(body, test.body)
						is.Equal(f.arrivalCount(), 1)
					case path == "/always/":
						is.Equal(body, "second")
					default:
						is.True(strings.Contains(body, "outcome unknown"))
					}
				})
			}
		}
	}
}

// TestUnframedAnswerOfKilledEndpoint guards against an answer without length and chunks that ends as its endpoint is killed, which closes the
// connection in the same way, and looks complete.
func TestUnframedAnswerOfKilledEndpoint(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 40_000)
	stream := event1 + event2
	for _, test := range []struct {
		path, body string
		// status, answer and arrivals are what the caller gets after a kill, and how many requests it takes; status 0 stands for a broken answer.
		status   int
		answer   string
		arrivals int
	}{
		{"/resume/", stream, 200, stream + "id: 9\ndata: end\n\n", 2},
		{"/stream/", stream, 0, stream, 1},
		{"/always/", "answer", 200, "id: 9\ndata: end\n\n", 2},
		{"/never/", "answer", 502, `{"reason":"OutcomeUnknown","outcome":"outcome unknown"}` + "\n", 1},
		{"/always/", long, 0, long, 1},
		{"/never/", long, 0, long, 1},
	} {
		for name, killed := range map[string]bool{"runs on": false, "restarted before": false, "killed": true, "restarted": true} {
			t.Run(fmt.Sprintf("%s %d bytes, %s", test.path, len(test.body), name), func(t *testing.T) {
				is := is.New(t)
				listed := time.Now().Add(-time.Hour)
				var f *fixture
				f = newFixture(t, func(n int, id string, r *http.Request, c net.Conn) bool {
					if n > 0 {
						_, _ = io.WriteString(c, unframedHead(id)+"id: 9\ndata: end\n\n")
						return end(c, false)
					}
					_, _ = io.WriteString(c, unframedHead(id)+test.body)
					if name == "killed" {
						_ = f.listeners[r.Header.Get("Endpoint")].Close()
					}
					return end(c, false)
				})
				f.setStarts(listed, func(id string) time.Time {
					f.mu.Lock()
					defer f.mu.Unlock()
					switch answered := len(f.arrivals) > 0 && f.arrivals[0] == id; {
					case name == "restarted before":
						return listed.Add(time.Minute) // the entry lags
					case name == "restarted" && answered:
						return time.Now()
					}
					return time.UnixMilli(listed.UnixMilli())
				})
				f.handler.Incarnations = f.handler.Endpoints.(*endpoint.Pool)
				status, body, err := f.send(t, http.MethodPost, test.path)
				if !killed {
					is.NoErr(err)
					is.Equal(status, http.StatusOK)
					is.True(body == test.body)
					is.Equal(f.arrivalCount(), 1)
					return
				}
				is.Equal(err != nil, test.status == 0)
				is.True(body == test.answer)
				is.True(test.status == 0 || status == test.status)
				is.Equal(f.arrivalCount(), test.arrivals)
			})
		}
	}
}

// TestAnswersWithoutBody guards against waiting for the end of the connection where an answer has no body, and against a stream that is
// run again because such an answer has no events.
func TestAnswersWithoutBody(t *testing.T) {
	for name, test := range map[string]struct{ method, path, status string }{
		"HEAD":            {http.MethodHead, "/always/", "200"},
		"HEAD, stream":    {http.MethodHead, "/resume/", "200"},
		"204":             {http.MethodPost, "/always/", "204"},
		"204, stream":     {http.MethodPost, "/resume/", "204"},
		"304":             {http.MethodGet, "/always/", "304"},
		"304, stream":     {http.MethodGet, "/resume/", "304"},
		"204, not always": {http.MethodPost, "/never/", "204"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 "+test.status+" X\r\nId: "+id+"\r\nSeal: s\r\n\r\n")
				return true
			})
			started := time.Now()
			c, err := net.Dial("tcp", f.addr)
			is.NoErr(err)
			defer c.Close()
			br := bufio.NewReader(c)
			for n := range 2 { // the caller's connection is in step after the first answer
				_, err = io.WriteString(c, test.method+" "+test.path+" HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 0\r\n\r\n")
				is.NoErr(err)
				response, err := http.ReadResponse(br, &http.Request{Method: test.method})
				is.NoErr(err)
				is.Equal(response.Status[:3], test.status)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(len(body), 0)
				is.Equal(f.arrivalCount(), n+1)
			}
			is.True(time.Since(started) < 2*time.Second)
		})
	}
}

// TestUnframedRefusal guards against a request that waits for the rest of a refusal which nobody reads.
func TestUnframedRefusal(t *testing.T) {
	for name, framing := range map[string]string{
		"without length, kept open": "", "with a length, never sent": "Content-Length: 100\r\n",
		"chunked, never ended": "Transfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, func(n int, id string, _ *http.Request, c net.Conn) bool {
				if n > 0 {
					return writeOK(c, id, "good")
				}
				_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nId: "+id+"\r\nNot-Run: 1\r\n"+framing+"\r\n")
				_, _ = io.Copy(io.Discard, c) // until the gateway closes the connection
				return false
			})
			started := time.Now()
			status, body, err := f.send(t, http.MethodPost, "/never/", "Deadline: 2000")
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(body, "good")
			is.True(time.Since(started) < time.Second)
		})
	}
}

// sendVersion sends a POST request in a version of HTTP and returns what arrived, with an error if the answer is incomplete.
func (f *fixture) sendVersion(t testing.TB, version, path string) (status int, body string, err error) {
	t.Helper()
	return f.sendRaw(t, "POST "+path+" "+version+"\r\nHost: h\r\nId: r1\r\nContent-Length: 0\r\n\r\n")
}
