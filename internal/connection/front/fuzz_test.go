package front

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
)

// FuzzReadHeader guards against a request head that stops the gateway, is longer than allowed, or is read otherwise than by net/http.
func FuzzReadHeader(f *testing.F) {
	for _, raw := range []string{"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", "POST /a HTTP/1.0\r\nContent-Length: 3\r\n\r\nabc",
		"GET /a HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n", "GET /a HTTP/1.1\nHost: h\n\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		const limit = 1024
		raw, err := readHeader(bufio.NewReader(bytes.NewReader(b)), limit)
		if err != nil {
			return
		}
		if len(raw) > limit+requestLineBytes {
			t.Fatalf("a head of %d bytes", len(raw))
		}
		parsed, err := parseHeader(raw)
		if err != nil {
			return
		}
		if other, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw))); err != nil || other.RequestURI != parsed.RequestURI ||
			other.ContentLength != parsed.ContentLength {
			t.Fatalf("read as %q and %v (%v)", parsed.RequestURI, other, err)
		}
	})
}
