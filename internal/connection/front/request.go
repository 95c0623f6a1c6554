package front

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"time"
)

// Request is a complete request of a caller.
type Request struct {
	Method string
	// Target is the request target as the caller sent it, Path its path, still percent-encoded and without the query.
	Target string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Arrived is the time at which the whole header had been read.
	Arrived time.Time

	url    *url.URL
	caller *callerWatch
}

// CallerLeft reports whether the caller has disconnected, also if its close has arrived and the process has not come to read it. The
// context of the request is then done.
func (r *Request) CallerLeft() bool { return r.caller != nil && r.caller.hasLeft() }

// CloseWasUnread reports whether CallerLeft found a close that the process had not come to read.
func (r *Request) CloseWasUnread() bool { return r.caller != nil && r.caller.unread.Load() }

// statusError refuses a request with an HTTP status before it reaches the handler.
type statusError struct {
	status int
	reason string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.reason) }

func malformed(reason string) error {
	return &statusError{status: http.StatusBadRequest, reason: reason}
}

// requestLineBytes is added to the configured header limit to make room for the request line.
const requestLineBytes = 4096

// errLate replaces the error of a read that timed out after a part of a request had arrived.
var errLate = &statusError{status: http.StatusRequestTimeout, reason: "the request did not arrive in time; it was not run"}

// lateIfTimeout returns errLate if a read timed out, and err otherwise.
func lateIfTimeout(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errLate
	}
	return err
}

// readHeader returns the request line and the header as sent, including the empty line at the end. Blank lines alone are no part of a
// request.
func readHeader(br *bufio.Reader, limit int) (raw []byte, err error) {
	return readHeldHeader(br, limit, nil)
}

// readHeldHeader is readHeader with a reservation for what has arrived of the header; it may be nil.
func readHeldHeader(br *bufio.Reader, limit int, held *reservation) (raw []byte, err error) {
	lineStart := 0
	for {
		fragment, err := br.ReadSlice('\n')
		raw = append(raw, fragment...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if len(raw) > 0 {
				err = lateIfTimeout(err)
			}
			return nil, err
		}
		if len(raw) > limit+requestLineBytes {
			return nil, &statusError{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header is too large"}
		}
		if !held.holdHeader(int64(cap(raw))) {
			return nil, errTooManyHeldBytes
		}
		if err != nil {
			continue
		}
		line := raw[lineStart:]
		if !bytes.HasSuffix(line, []byte("\r\n")) {
			return nil, malformed("bare line feed")
		}
		if len(line) == 2 {
			if lineStart == 0 {
				raw = raw[:0] // Empty lines before the request line are ignored.
				continue
			}
			return raw, nil
		}
		lineStart = len(raw)
	}
}

// checkHeader returns an error for a header that two parsers may interpret differently.
func checkHeader(raw []byte) error {
	_, fields, _ := bytes.Cut(raw, []byte("\r\n"))
	lengths, encodings := 0, 0
	for len(fields) > 2 {
		var line []byte
		line, fields, _ = bytes.Cut(fields, []byte("\r\n"))
		if bytes.ContainsAny(line, "\r\x00") {
			return malformed("control character in header")
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found || len(name) == 0 {
			return malformed("header line without name")
		}
		if bytes.ContainsAny(name, " \t") {
			return malformed("space in header name, or folded line")
		}
		switch {
		case bytes.EqualFold(name, []byte("content-length")):
			lengths++
		case bytes.EqualFold(name, []byte("transfer-encoding")):
			encodings++
		}
	}
	switch {
	case lengths > 1:
		return malformed("two lengths")
	case encodings > 1:
		return malformed("two transfer encodings")
	case lengths == 1 && encodings == 1:
		return malformed("length and transfer encoding")
	}
	return nil
}

// parseHeader checks and parses a raw header. It does not read the body.
func parseHeader(raw []byte) (*http.Request, error) {
	if err := checkHeader(raw); err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
	if err != nil {
		return nil, malformed(err.Error())
	}
	if request.ProtoMajor != 1 {
		return nil, &statusError{status: http.StatusHTTPVersionNotSupported, reason: request.Proto}
	}
	return request, nil
}

// headerCost returns the memory that a parsed header takes up, its text included. Many short fields take more than few long ones.
func headerCost(raw []byte) int64 {
	return int64(len(raw) + headerFieldBytes*bytes.Count(raw, []byte("\r\n")))
}

// progressReader calls a function after each read that returned bytes, with their number.
type progressReader struct {
	source   io.Reader
	progress func(n int)
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (n int, err error) {
	n, err = r.source.Read(p)
	if n > 0 {
		r.progress(n)
	}
	return n, err
}

// firstBodyBytes is the memory with which the buffer of a body begins, of which only what has arrived is reserved. It grows as the body
// arrives, whatever length was announced.
const firstBodyBytes = 8 << 10

// readBody reads the body of a request, which may have up to limit bytes, and reserves memory for it in held as it arrives. It calls progress
// whenever a part of the body has arrived.
func readBody(request *http.Request, br *bufio.Reader, limit int64, held *reservation, progress func(n int)) (body []byte, err error) {
	defer func() { err = lateIfTimeout(err) }()
	tooLarge := &statusError{status: http.StatusRequestEntityTooLarge, reason: "body is too large"}
	switch {
	case len(request.TransferEncoding) > 0:
		body, err = readGrowing(&progressReader{httputil.NewChunkedReader(br), progress}, limit+1, held)
		if err == nil && int64(len(body)) > limit {
			return nil, tooLarge
		}
		if !errors.Is(err, io.EOF) {
			return nil, classifyChunkError(err)
		}
		return body, skipTrailer(br)
	case request.ContentLength > limit:
		return nil, tooLarge
	case !held.fits(request.ContentLength):
		return nil, errTooManyHeldBytes
	case request.ContentLength > 0:
		body, err = readGrowing(&progressReader{br, progress}, request.ContentLength, held)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return body, err
	}
	return nil, nil
}

// readGrowing reads up to limit bytes into a buffer that grows to twice its size at most, after the memory for it has been reserved. The error is
// that of the source if it ended before.
func readGrowing(source io.Reader, limit int64, held *reservation) (body []byte, err error) {
	size := int64(0)
	for int64(len(body)) < limit {
		if len(body) == cap(body) {
			if size = min(limit, max(firstBodyBytes, 2*size)); size > firstBodyBytes && !held.holdBody(size) {
				return nil, errTooManyHeldBytes
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if !held.holdBody(int64(len(body))) {
			return nil, errTooManyHeldBytes
		}
		if err != nil && int64(len(body)) < limit {
			return body, err
		}
	}
	return body, nil
}

// classifyChunkError turns an error in decoding chunks into a malformed request, unless the connection ended or timed out or
// the request was already refused.
func classifyChunkError(err error) error {
	var timeout interface{ Timeout() bool }
	var refused *statusError
	if errors.As(err, &refused) {
		return err
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.As(err, &timeout) {
		return err
	}
	return malformed(err.Error())
}

// skipTrailer reads and discards the trailer fields after the last chunk.
func skipTrailer(br *bufio.Reader) error {
	for range 64 {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return err
		}
		if !bytes.HasSuffix(line, []byte("\r\n")) {
			return malformed("bare line feed in trailer")
		}
		if len(line) == 2 {
			return nil
		}
	}
	return malformed("trailer is too long")
}
