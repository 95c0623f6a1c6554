package forward_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/standin/malformed"
)

// TestInvalidFieldNames guards against a response whose head has a blank or a control byte in a field name and that a caller gets as the
// endpoint's response, and against a request that runs twice or counts as not run because of one.
func TestInvalidFieldNames(t *testing.T) {
	const fields, body = "Id: r1\r\nSeal: s\r\n", "id: 1\ndata: x\n\n"
	responses := malformed.Responses(fields, body)
	for _, line := range []string{"Not-Run : 1", "Connection : close", "Seal : s", "Id : r2"} {
		responses[line] = "HTTP/1.1 200 OK\r\n" + fields + line + "\r\nContent-Length: 15\r\n\r\n" + body
	}
	for name, response := range responses {
		for path, want := range map[string]int{"/never/": 1, "/always/": 2, "/stream/": 1, "/resume/": 2} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, func(_ int, _ string, _ *http.Request, c net.Conn) bool {
					_, _ = io.WriteString(c, response)
					return true
				})
				status, got, err := f.send(t, http.MethodPost, path)
				is.NoErr(err)
				is.Equal(status, http.StatusBadGateway)
				is.True(!strings.Contains(got, "data: x"))
				is.Equal(f.arrivalCount(), want)
			})
		}
	}
	t.Run("again and again", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool {
			return writeAnswer(c, http.StatusOK, "Id: "+id+"\r\nSeal: s\r\nX-A b: 1\r\n", "body")
		})
		f.oneEndpoint()
		for _, want := range []int{http.StatusBadGateway, http.StatusBadGateway, http.StatusServiceUnavailable} { // suspect after two
			status, _, err := f.send(t, http.MethodPost, "/never/")
			is.NoErr(err)
			is.Equal(status, want)
		}
		is.Equal(f.arrivalCount(), 2)
	})
}

// TestUnusualFields guards against a valid head that is taken for a broken one.
func TestUnusualFields(t *testing.T) {
	for name, fields := range map[string]string{
		"empty value": "X-A:\r\n", "no blank before the value": "X-A:1\r\n", "blanks around the value": "X-A: \t 1 \t\r\n", "lower case": "x-a: 1\r\n",
		"all characters of names": "!#$%&'*+-.^_`|~09azAZ: 1\r\n", "colons in the value": "X-A: b : c\r\n", "bytes above ASCII in the value": "X-A: \xe9\xff\r\n",
		"line feeds alone": "X-A: 1\nX-B: 2\n", "many fields": strings.Repeat("X-A: 1\r\n", 500), "long field": "X-A: " + strings.Repeat("x", 8000) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool {
				return writeAnswer(c, http.StatusOK, fields+"Id: "+id+"\r\nSeal: s\r\n"+fields, "body")
			})
			status, body, err := f.send(t, http.MethodPost, "/never/")
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(body, "body")
		})
	}
}

// TestInvalidFieldNameOfResumedStream guards against a response with an invalid head that continues a stream which another endpoint began.
func TestInvalidFieldNameOfResumedStream(t *testing.T) {
	for _, line := range []string{"X-A b: 1", "Transfer-Encoding : chunked"} {
		is := is.New(t)
		f := newFixture(t, func(n int, id string, _ *http.Request, c net.Conn) bool {
			if n == 0 {
				_, _ = io.WriteString(c, unframedHead(id)+event1+"id: 2\nda")
				return end(c, true)
			}
			return writeAnswer(c, http.StatusOK, "Id: "+id+"\r\nSeal: s\r\n"+line+"\r\n", event2)
		})
		_, body, err := f.send(t, http.MethodPost, "/resume/")
		is.True(err != nil) // the stream ends as broken off
		is.True(!strings.Contains(body, "data: b"))
	}
}

// TestInvalidTrailer guards against a response that counts as whole although its trailer has an invalid field name, and against a valid trailer
// that breaks a response.
func TestInvalidTrailer(t *testing.T) {
	for trailer, want := range map[string]int{"X-A: 1\r\n": http.StatusOK, "X-A b: 1\r\n": http.StatusBadGateway, "X-A\tb: 1\r\n": http.StatusBadGateway} {
		is := is.New(t)
		f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+trailer+"\r\n")
			time.Sleep(10 * time.Millisecond)
			return true
		})
		status, _, err := f.send(t, http.MethodPost, "/never/")
		is.NoErr(err)
		is.Equal(status, want)
	}
}
