package front

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestHTTPHandler guards against answers of net/http handlers that are framed wrongly, so that the next answer on the connection is taken for a
// part of them, and against handlers that see another request than the caller sent.
func TestHTTPHandler(t *testing.T) {
	long := strings.Repeat("x", 3*maxUnsentBytes)
	mux := http.NewServeMux()
	mux.HandleFunc("/short", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, r.Method+" "+r.URL.Query().Get("q")+" "+r.Host+" "+string(body))
	})
	mux.HandleFunc("/long", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) })
	mux.HandleFunc("/stream", func(w http.ResponseWriter, _ *http.Request) {
		for _, event := range []string{"one", "two"} {
			_, _ = io.WriteString(w, event)
			_ = http.NewResponseController(w).Flush()
		}
	})
	mux.HandleFunc("/empty", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("/close", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "bye")
	})
	addr := startServer(t, HTTPHandler{mux}, func(*Server) {})
	is := is.New(t)
	c := dial(t, addr)
	br := bufio.NewReader(c)
	for _, test := range []struct {
		method, target, want string
		status               int
		length               int64
		closes               bool
	}{
		{"POST", "/short?q=1", "POST 1 h abc", 201, 12, false},
		{"HEAD", "/short?q=1", "", 201, 12, false},
		{"POST", "/long", long, 200, -1, false},
		{"HEAD", "/long", "", 200, -1, false},
		{"POST", "/stream", "onetwo", 200, -1, false},
		{"POST", "/empty", "", 204, 0, false},
		{"POST", "/none", "404 page not found\n", 404, 19, false},
		{"POST", "/close", "bye", 200, 3, true},
	} {
		_, err := io.WriteString(c, test.method+" "+test.target+" HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
		is.NoErr(err)
		response, err := http.ReadResponse(br, &http.Request{Method: test.method})
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal([]any{response.StatusCode, response.ContentLength, response.Close, string(body)}, []any{test.status, test.length, test.closes, test.want})
		is.True(response.Header.Get("Date") != "")
	}
	_, err := br.ReadByte()
	is.Equal(err, io.EOF)
}
