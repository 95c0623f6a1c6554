package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestHead guards against an invalid field name that is missed, and a valid head that is refused, wherever the bytes are divided.
func TestHead(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	for raw, valid := range map[string]bool{
		status + "\r\n": true, "HTTP/1.1 200\n\n": true, status + "A: 1\r\nB:\r\nC:2\n\r\n": true, status + "A-b_!#$%&'*+.^`|~09: x : y\r\n\r\n": true,
		status + "A: \xff\t \r\n\r\n": true, " : \tno status line\r\nA: 1\r\n\r\n": true,
		status + "A b: 1\r\n\r\n": false, status + "A : 1\r\n\r\n": false, status + "A: 1\r\nB : 1\r\n\r\n": false, status + " A: 1\r\n\r\n": false,
		status + "A: 1\r\n\tB: 1\r\n\r\n": false, status + "A: 1\r\n \r\n\r\n": false, status + "A\tb: 1\r\n\r\n": false, status + "A\x00: 1\r\n\r\n": false,
		status + "A\r: 1\r\n\r\n": false, status + "\rA: 1\r\n\r\n": false, status + "A\x7f: 1\r\n\r\n": false, status + "A\xe9: 1\r\n\r\n": false,
		status + ": 1\r\n\r\n": false, status + "A\r\n\r\n": false, status + "A\n\n": false, status + "\r\r\n": false, status + "A(b): 1\r\n\r\n": false,
	} {
		t.Run(raw, func(t *testing.T) {
			is := is.New(t)
			for split := range len(raw) + 1 {
				h := Head{}
				n, err := h.Check([]byte(raw[:split]))
				if err == nil {
					var m int
					m, err = h.Check([]byte(raw[split:] + "X : body"))
					n += m
				}
				is.Equal(err == nil, valid)
				is.Equal(h.Ended(), valid)
				if valid {
					is.Equal(n, len(raw))
					continue
				}
				is.True(errors.Is(err, ErrInvalidField))
				is.True(n < len(raw))
				_, err = h.Check([]byte("A: 1\r\n\r\n"))
				is.True(errors.Is(err, ErrInvalidField))
			}
		})
	}
}

// FuzzHead guards against a head that passes and from which net/http reads an invalid name, and against one that is refused although net/http
// reads valid names from it alone, without a folded line.
func FuzzHead(f *testing.F) {
	for _, raw := range []string{"HTTP/1.1 200 OK\r\nA: 1\r\n\r\n", "HTTP/1.1 200 OK\nA :1\n\n", "HTTP/1.1 200 OK\r\nA: 1\r\n b: 2\r\n\r\nrest", "HTTP/1.1 103 X\r\nA\tb:\r\n\r\n"} {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		h := Head{}
		n, err := h.Check([]byte(raw))
		response, parseErr := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
		if parseErr != nil {
			return
		}
		names := true
		for name := range response.Header {
			names = names && isToken(name)
		}
		switch {
		case err == nil && (!names || !h.Ended()):
			t.Fatalf("%q passes", raw)
		case err != nil && names:
			// A folded line may stand anywhere before the invalid one.
			head, _, _ := bytes.Cut(bytes.ReplaceAll([]byte(raw), []byte("\r\n"), []byte("\n")), []byte("\n\n"))
			if !bytes.Contains(head, []byte("\n ")) && !bytes.Contains(head, []byte("\n\t")) {
				t.Fatalf("%q is refused behind byte %d", raw, n)
			}
		}
	})
}

func BenchmarkHead(b *testing.B) {
	raw := []byte("HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 23:00:00 GMT\r\nContent-Type: text/event-stream\r\nX-Request-Id: 0123456789abcdef\r\n" +
		"X-Server-Load: 12/64\r\nCache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n")
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	for b.Loop() {
		h := Head{}
		if _, err := h.Check(raw); err != nil || !h.Ended() {
			b.Fatal(err)
		}
	}
}
