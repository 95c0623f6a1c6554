package http1_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"primrosecourse/internal/connection/http1"
)

const (
	sound   = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
)

// serve answers the requests on all connections with the responses one after the other, the later ones with sound ones, in pieces of the given
// size. It returns the URL and a channel with the number of the connection of each request.
func serve(t *testing.T, size int, responses ...string) (url string, requests <-chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	arrived := make(chan int, 100)
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					raw := sound
					if len(arrived) < len(responses) {
						raw = responses[len(arrived)]
					}
					arrived <- n
					for len(raw) > 0 {
						_, _ = io.WriteString(c, raw[:min(size, len(raw))])
						raw = raw[min(size, len(raw)):]
						time.Sleep(20 * time.Microsecond)
					}
				}
			}()
		}
	}()
	return "http://" + l.Addr().String() + "/", arrived
}

// TestTransport guards against a response with an invalid field name that is returned or that ends as whole, against a connection that is used again
// after it, and against a call that is made again for it, on a new connection and on a kept one.
func TestTransport(t *testing.T) {
	for name, raw := range map[string]string{
		"no body":               "HTTP/1.1 204 No Content\r\nX-A b: 1\r\n\r\n",
		"empty body":            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Ab : 1\r\n\r\n",
		"length with a blank":   "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody",
		"chunks with a blank":   "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 14\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"control byte":          "HTTP/1.1 200 OK\r\nX\x00A: 1\r\nContent-Length: 4\r\n\r\nbody",
		"folded line":           "HTTP/1.1 200 OK\r\nX-A: 1\r\n Content-Length: 4\r\n\r\nbody",
		"interim":               "HTTP/1.1 103 Early Hints\r\nX-A b: 1\r\n\r\n" + sound,
		"behind interim ones":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1  103 X\r\n\r\nHTTP/1.1 200 OK\r\nX-A b: 1\r\nContent-Length: 4\r\n\r\nbody",
		"trailer":               chunked + "X-A b: 1\r\n\r\n",
		"behind a status alone": "HTTP/1.1 200\nX-A b: 1\nContent-Length: 4\n\nbody",
	} {
		for _, size := range []int{1, 1000} {
			for _, kept := range []bool{false, true} {
				t.Run(name, func(t *testing.T) {
					is := is.New(t)
					responses := []string{raw}
					if kept {
						responses = []string{chunked + "X-A: 1\r\n\r\n", raw}
					}
					url, requests := serve(t, size, responses...)
					client := &http.Client{Transport: http1.NewTransport(&http.Transport{}), Timeout: 2 * time.Second}
					defer client.CloseIdleConnections()
					get := func() (body string, err error) {
						response, err := client.Get(url)
						if err != nil {
							return "", err
						}
						defer response.Body.Close()
						b, err := io.ReadAll(response.Body)
						return string(b), err
					}
					if kept {
						_, err := get()
						is.NoErr(err)
					}
					_, err := get()
					is.True(errors.Is(err, http1.ErrInvalidField))
					is.Equal(len(requests), len(responses))
					body, err := get()
					is.NoErr(err)
					is.Equal(body, "body")
					is.Equal(len(requests), len(responses)+1)
					for range responses {
						is.Equal(<-requests, 0)
					}
					is.Equal(<-requests, 1) // on another connection
				})
			}
		}
	}
}
