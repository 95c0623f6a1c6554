package front

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"
)

// Request is a whole request of a caller.
type Request struct {
	Method string
	// Target is the request target as the caller sent it, Path its path without the query.
	Target string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Arrived is when its header had been read.
	Arrived time.Time
}

// badRequest is a request that is answered without being handled.
type badRequest struct {
	status int
	reason string
}

func (e *badRequest) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.reason) }

func malformed(reason string) error {
	return &badRequest{status: http.StatusBadRequest, reason: reason}
}

// requestLineBytes is what a raw header may exceed the configured bound by, for the request line.
const requestLineBytes = 4096

// readHeader returns the raw header with its empty line.
func readHeader(br *bufio.Reader, limit int) (raw []byte, err error) {
	lineStart := 0
	for {
		part, err := br.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		raw = append(raw, part...)
		if len(raw) > limit+requestLineBytes {
			return nil, &badRequest{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header is too large"}
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
				raw = raw[:0] // Empty lines before a request line are ignored.
				continue
			}
			return raw, nil
		}
		lineStart = len(raw)
	}
}

// checkHeader refuses a header that two parsers may read differently.
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
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
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

// parseHeader parses a raw header that passed checkHeader. The body is not read.
func parseHeader(raw []byte) (*http.Request, error) {
	if err := checkHeader(raw); err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
	if err != nil {
		return nil, malformed(err.Error())
	}
	if request.ProtoMajor != 1 {
		return nil, &badRequest{status: http.StatusHTTPVersionNotSupported, reason: request.Proto}
	}
	return request, nil
}

// readBody reads the body of a request up to limit bytes.
func readBody(request *http.Request, br *bufio.Reader, limit int64, held *share) (body []byte, err error) {
	tooLarge := &badRequest{status: http.StatusRequestEntityTooLarge, reason: "body is too large"}
	switch {
	case len(request.TransferEncoding) > 0:
		body, err = io.ReadAll(&heldReader{from: io.LimitReader(httputil.NewChunkedReader(br), limit+1), held: held})
		if err != nil {
			return nil, chunkError(err)
		}
		if int64(len(body)) > limit {
			return nil, tooLarge
		}
		return body, skipTrailer(br)
	case request.ContentLength > limit:
		return nil, tooLarge
	case request.ContentLength > 0:
		if !held.take(request.ContentLength) {
			return nil, errTooMuchHeld
		}
		body = make([]byte, request.ContentLength)
		_, err = io.ReadFull(br, body)
		return body, err
	}
	return nil, nil
}

// chunkError tells malformed chunks from a connection that ended or timed out.
func chunkError(err error) error {
	var timeout interface{ Timeout() bool }
	var bad *badRequest
	if errors.As(err, &bad) {
		return err
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.As(err, &timeout) {
		return err
	}
	return malformed(err.Error())
}

// skipTrailer reads the fields after the last chunk, which are not passed on.
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
