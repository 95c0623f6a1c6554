package http1

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalidField means that a head or a trailer has a line whose field name is not valid, or one that continues the line before it.
var ErrInvalidField = errors.New("invalid field name in a response")

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=part -output=part_string.go

// part is the part of a head to which the next byte belongs.
type part int

const (
	// statusLine is the line before the fields.
	statusLine part = iota
	// lineStart is the first byte of a line behind the status line.
	lineStart
	// lineEnd is the byte behind a CR at the start of a line.
	lineEnd
	// fieldName is the rest of a name, and the colon.
	fieldName
	// fieldValue is the rest of a line behind the colon.
	fieldValue
	// body is behind the head.
	body
	// invalid is behind the start of a line that is not valid.
	invalid
)

// Head checks the lines of one head of a response. The zero value is at the start of the head.
type Head struct {
	part part
	// versionRead is set behind the first blank of the status line. code has the first codeLength bytes of the status.
	versionRead bool
	code        [3]byte
	codeLength  int
}

// Check checks the bytes that follow those of the calls before. It returns the number n of bytes that belong to the head, which are fewer than
// len(p) if the head ends in p. With ErrInvalidField, n bytes of p precede the line that is not valid, 0 if it began in an earlier call. Each
// later call returns this error.
//
// Lines end as for net/http, with CRLF or LF.
func (h *Head) Check(p []byte) (n int, err error) {
	if h.part == invalid {
		return 0, errors.WithStack(ErrInvalidField)
	}
	line := 0
	for i := 0; i < len(p) && h.part != body; i++ {
		if h.part == lineStart {
			line = i
		}
		if h.part == fieldValue {
			end := bytes.IndexByte(p[i:], '\n')
			if end < 0 {
				return len(p), nil
			}
			i += end
		}
		h.next(p[i])
		if h.part == invalid {
			return line, errors.WithStack(ErrInvalidField)
		}
		n = i + 1
	}
	return n, nil
}

// next goes on by one byte.
func (h *Head) next(c byte) {
	switch h.part {
	case statusLine:
		h.readStatus(c)
	case lineStart:
		switch {
		case c == '\n':
			h.part = body
		case c == '\r':
			h.part = lineEnd
		case isTokenByte(c):
			h.part = fieldName
		default:
			h.part = invalid
		}
	case lineEnd:
		h.part = invalid
		if c == '\n' {
			h.part = body
		}
	case fieldName:
		switch {
		case c == ':':
			h.part = fieldValue
		case !isTokenByte(c):
			h.part = invalid
		}
	case fieldValue:
		if c == '\n' {
			h.part = lineStart
		}
	}
}

func (h *Head) readStatus(c byte) {
	switch {
	case c == '\n':
		h.part = lineStart
	case c == ' ' && h.codeLength == 0:
		h.versionRead = true
	case h.versionRead && h.codeLength < len(h.code):
		h.code[h.codeLength] = c
		h.codeLength++
	}
}

// Ended reports whether the end of the head has been checked.
func (h *Head) Ended() bool { return h.part == body }

// interim reports whether another head follows this one, after a status 1xx other than 101.
func (h *Head) interim() bool { return h.code[0] == '1' && string(h.code[:]) != "101" }

// isTokenByte reports whether a token of RFC 9110, section 5.6.2, may have the byte in it.
func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
