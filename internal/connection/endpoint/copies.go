package endpoint

import (
	"bytes"
	"net/http"
	"strings"
	"time"
)

// copyPatience is how long the rest of a copy is waited for if a body ends as the copy begins.
const copyPatience = 2 * time.Millisecond

// copyFinder finds copies of a response in its own body. An endpoint may break a response off in the middle of its body and send it once more on
// the same connection; the copy would then be taken for the rest of the body, as would one after a body without a length.
type copyFinder struct {
	// head is the head of the response as it arrived, or the beginning of it. That of a chunked response lacks the empty line.
	head []byte
	// matched is the number of bytes of head with which the body ends so far.
	matched int
}

// scan goes through the next part of the body. If that has the end of a copied head in it, scan returns how many bytes of the part come before
// the copy.
func (f *copyFinder) scan(p []byte) (own int, found bool) {
	if len(f.head) == 0 {
		return 0, false
	}
	for i := 0; i < len(p); {
		switch {
		case p[i] == f.head[f.matched]:
			i++
			f.matched++
		case f.matched > 0:
			f.matched = 0
			continue
		default:
			next := bytes.IndexByte(p[i:], f.head[0])
			if next < 0 {
				return 0, false
			}
			i += next
			continue
		}
		if f.matched == len(f.head) {
			return max(0, i-len(f.head)), true
		}
	}
	return 0, false
}

// endsInCopy reports whether a body that has been read to its end ends in a part of a copied head, of which the rest follows.
func (x *exchange) endsInCopy() bool {
	if x.copies.matched == 0 {
		return false
	}
	if x.conn.br.Buffered() == 0 {
		// As in Discard, this may replace a deadline by which ctx interrupts the exchange.
		_ = x.conn.SetReadDeadline(time.Now().Add(copyPatience))
		_, _ = x.conn.br.Peek(1)
	}
	surplus, _ := x.conn.br.Peek(x.conn.br.Buffered())
	rest := x.copies.head[x.copies.matched:]
	return len(surplus) > 0 && bytes.Equal(surplus[:min(len(surplus), len(rest))], rest[:min(len(surplus), len(rest))])
}

// isJoined reports whether a head has a status line in it besides its first one: the response to which its beginning belongs broke off there, and
// the rest belongs to another one.
func isJoined(response *http.Response) bool {
	if hasStatusLine(response.Status) {
		return true
	}
	for name, values := range response.Header {
		if hasStatusLine(name) {
			return true
		}
		for _, value := range values {
			if hasStatusLine(value) {
				return true
			}
		}
	}
	return false
}

// hasStatusLine reports whether a text has the beginning of a status line in it, up to the status.
func hasStatusLine(text string) bool {
	const form = "HTTP/0.0 000"
	for {
		i := strings.Index(text, "HTTP/")
		if i < 0 || len(text) < i+len(form) {
			return false
		}
		text = text[i:]
		if isOfForm(text[:len(form)], form) {
			return true
		}
		text = text[1:]
	}
}

// isOfForm reports whether a text of the same length as form equals it, where each 0 stands for any digit.
func isOfForm(text, form string) bool {
	for i := range len(form) {
		digit := form[i] == '0' && text[i] >= '0' && text[i] <= '9'
		if !digit && text[i] != form[i] {
			return false
		}
	}
	return true
}
