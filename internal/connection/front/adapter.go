package front

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HTTPHandler handles requests by a handler of net/http. It has the whole body of each request before the handler runs.
//
// A short answer that the handler does not flush gets a Content-Length. The deadline of writes is that of http.ResponseController; a read
// deadline has no effect, since everything has been read. A Connection: close of the handler is followed.
type HTTPHandler struct{ Handler http.Handler }

// Handle implements Handler.
func (h HTTPHandler) Handle(ctx context.Context, r *Request, w *Writer) {
	request := (&http.Request{Method: r.Method, URL: r.url, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: r.Header,
		Body: &WholeBody{Reader: bytes.NewReader(r.Body), content: r.Body}, ContentLength: int64(len(r.Body)), Host: r.Host,
		RequestURI: r.Target}).WithContext(ctx)
	rw := &responseWriter{w: w, header: http.Header{}}
	h.Handler.ServeHTTP(rw, request)
	rw.end()
}

// WholeBody is the body of a request that HTTPHandler passes on. Bytes returns all of it without a copy.
type WholeBody struct {
	*bytes.Reader
	content []byte
}

// Bytes returns the whole body, which must not be changed.
func (b *WholeBody) Bytes() []byte { return b.content }

// Close implements io.Closer.
func (b *WholeBody) Close() error { return nil }

// maxUnsentBytes is the size up to which an answer is kept until its handler returns, so that it gets a length.
const maxUnsentBytes = 4 << 10

// responseWriter is the http.ResponseWriter of HTTPHandler.
type responseWriter struct {
	w      *Writer
	header http.Header
	// status is 0 until the handler has set it.
	status int
	unsent []byte
}

// Header implements http.ResponseWriter.
func (rw *responseWriter) Header() http.Header { return rw.header }

// WriteHeader implements http.ResponseWriter. Informational statuses are not sent.
func (rw *responseWriter) WriteHeader(status int) {
	if rw.status == 0 && status >= http.StatusOK {
		rw.status = status
	}
}

// Write implements http.ResponseWriter.
func (rw *responseWriter) Write(p []byte) (n int, err error) {
	rw.WriteHeader(http.StatusOK)
	if !rw.w.Started() {
		if len(rw.unsent)+len(p) <= maxUnsentBytes {
			rw.unsent = append(rw.unsent, p...)
			return len(p), nil
		}
		if err = rw.start(-1); err != nil {
			return 0, err
		}
	}
	return rw.w.Write(p)
}

// FlushError implements the flushing of http.ResponseController.
func (rw *responseWriter) FlushError() (err error) {
	rw.WriteHeader(http.StatusOK)
	if err = rw.start(-1); err != nil {
		return err
	}
	return rw.w.Flush()
}

// SetWriteDeadline implements the write deadline of http.ResponseController.
func (rw *responseWriter) SetWriteDeadline(t time.Time) error {
	rw.w.deadline = t
	return nil
}

// SetReadDeadline implements the read deadline of http.ResponseController.
func (rw *responseWriter) SetReadDeadline(time.Time) error { return nil }

// start sends the header and the unsent bytes unless that has been done. length is that of the body if the handler has not stated it, negative
// if it is unknown.
func (rw *responseWriter) start(length int64) (err error) {
	if rw.w.Started() {
		return nil
	}
	if stated, err := strconv.ParseInt(rw.header.Get("Content-Length"), 10, 64); err == nil && stated >= 0 {
		length = stated
	}
	if strings.EqualFold(rw.header.Get("Connection"), "close") {
		rw.w.closeAfter = true
	}
	if rw.header.Get("Date") == "" {
		rw.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	if err = rw.w.Start(rw.status, rw.header, length); err != nil {
		return err
	}
	_, err = rw.w.Write(rw.unsent)
	rw.unsent = nil
	return err
}

// end completes the answer. The server sees from the writer whether that failed.
func (rw *responseWriter) end() {
	rw.WriteHeader(http.StatusOK)
	if rw.start(int64(len(rw.unsent))) == nil {
		_ = rw.w.End()
	}
}
