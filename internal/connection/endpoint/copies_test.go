package endpoint

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestJoinedHeads guards against a late copy that breaks off in its head and gives its status or its header to the response behind it, such as
// the success of one request to the failure of another.
func TestJoinedHeads(t *testing.T) {
	const own = "HTTP/1.1 500 Internal Server Error\r\nId: 2\r\nContent-Length: 6\r\n\r\nfailed"
	const late = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 23:00:00 GMT\r\nNot-Run: 1\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	for cut := range len(late) + 1 {
		is := is.New(t)
		s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
			id, _ := s.readRequest(br)
			_, _ = io.WriteString(c, formatResponse(id, "first"))
			if _, ok := s.readRequest(br); ok {
				_, _ = io.WriteString(c, late[:cut]+own)
			}
		})
		p := newPool(t)
		_, err := send(t, p, s, "1")
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		a, err := p.Send(ctx, Target{ID: "e1", Address: s.addr}, newCall("2"))
		if err == nil {
			is.Equal(a.Status, http.StatusInternalServerError)
			is.Equal(len(a.Header), 2)
			a.Close()
		}
		is.Equal(err == nil, cut == 0 || cut == len(late))
		is.True(err == nil || errors.Is(err, ErrBroken))
		cancel()
	}
}

// TestBrokenOffAndSentAgain guards against a body that breaks off and is completed by a copy of its response, and against whole ones that are
// taken for that.
func TestBrokenOffAndSentAgain(t *testing.T) {
	const body = "the whole body"
	framed, unframed := formatResponse("1", body), "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+body
	chunked := "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nthe who\r\n7\r\nle body\r\n0\r\n\r\n"
	answer := func(t *testing.T, raw string) (body string, err error) {
		s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
			if _, ok := s.readRequest(br); ok {
				_, _ = io.WriteString(c, raw)
			}
		})
		return send(t, newPool(t), s, "1")
	}
	for name, response := range map[string]string{"length": framed, "chunks": chunked, "neither": unframed} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for cut := strings.Index(response, "\r\n\r\n") + 4; cut < len(response); cut++ {
				_, err := answer(t, response[:cut]+response)
				is.True(errors.Is(err, ErrBroken))
			}
		})
	}
	t.Run("copied head is the rest of a chunk", func(t *testing.T) {
		is := is.New(t)
		const head = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n"
		broken := fmt.Sprintf("%s\r\n%x\r\nthe", head, len("the"+head))
		_, err := answer(t, broken+head+"\r\n3\r\nthe\r\n0\r\n\r\n")
		is.True(errors.Is(err, ErrBroken))
	})
	for name, raw := range map[string]string{
		"sent twice":              framed + framed,
		"chunked, sent twice":     chunked + chunked,
		"surplus":                 framed + "HTTP/1.1",
		"ends like a head":        formatResponse("1", "see HTTP/1.1 200 OK"),
		"ends like one, surplus":  formatResponse("1", "see HTTP/1.1 200 OK") + "x",
		"ends like one, sent on":  formatResponse("1", "see HTT") + formatResponse("1", "see HTT"),
		"another response in it":  formatResponse("1", formatResponse("9", "foreign")),
		"beginnings of its head":  formatResponse("1", "HHTTHTTP/1.1 20HTTP/1.1 200 OK\r\nIHTTP"),
		"without a length, a few": "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + formatResponse("9", "foreign"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := answer(t, raw)
			is.NoErr(err)
		})
	}
}
