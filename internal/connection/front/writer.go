package front

import (
	"bufio"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// writeTimeout limits one write, which blocks if the caller does not read.
const writeTimeout = 10 * time.Second

// Writer writes the response to one request. Only the goroutine that runs Handle may use it.
type Writer struct {
	place *place
	bw    *bufio.Writer
	// noBody is set for responses to HEAD requests.
	noBody bool
	http10 bool
	// closeAfter is set if the connection closes after this response.
	closeAfter bool
	// draining, unless nil, is set once each answer that starts is the last one of its connection.
	draining *atomic.Bool

	// deadline of writes in place of one writeTimeout from each; zero means none was set.
	deadline time.Time

	// onStart, unless nil, is called before the first byte of the response is written.
	onStart func()

	started bool
	chunked bool
	// unframed is set if only the end of the connection marks the end of the body.
	unframed  bool
	remaining int64 // the announced length minus the bytes written; negative if no length was announced
	ended     bool
	aborted   bool
	// panicked is set if the handler panicked, with the panic and its stack in cause.
	panicked bool
	cause    error
	err      error
}

// Started reports whether Start has been called.
func (w *Writer) Started() bool { return w.started }

// Start writes the status and the header. The body must have the given length. If length is negative, the body is sent in chunks;
// to an HTTP/1.0 caller it is sent without framing, and the connection closes after it. Fields of header that control
// framing or the connection are ignored.
func (w *Writer) Start(status int, header http.Header, length int64) (err error) {
	if w.started {
		return errors.New("response has already been started")
	}
	w.started = true
	if w.onStart != nil {
		w.onStart()
	}
	if status == http.StatusNoContent || status == http.StatusNotModified {
		w.noBody = true // Framing and a body would be taken for the beginning of the next response.
	}
	w.chunked = length < 0 && !w.http10
	w.unframed = length < 0 && w.http10
	w.remaining = length
	if length < 0 && w.http10 {
		w.closeAfter = true
	}
	if w.draining != nil && w.draining.Load() {
		w.closeAfter = true
	}
	w.extendDeadline()
	w.writeString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	for name, values := range header {
		if isFramingField(name) {
			continue
		}
		for _, value := range values {
			w.writeString(name + ": " + value + "\r\n")
		}
	}
	switch {
	case status == http.StatusNoContent || status == http.StatusNotModified:
	case w.chunked:
		w.writeString("Transfer-Encoding: chunked\r\n")
	case length >= 0:
		w.writeString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
	}
	if w.closeAfter {
		w.writeString("Connection: close\r\n")
	}
	w.writeString("\r\n")
	return w.err
}

func isFramingField(name string) bool {
	switch name {
	case "Connection", "Content-Length", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Proxy-Connection", "Te":
		return true
	}
	return false
}

// Write writes a part of the body. The part may stay in the buffer until Flush or End.
func (w *Writer) Write(p []byte) (n int, err error) {
	if len(p) == 0 || w.noBody {
		return len(p), w.err
	}
	w.extendDeadline()
	if !w.chunked {
		if w.remaining >= 0 {
			w.remaining -= int64(len(p))
		}
		w.writeBytes(p)
		return len(p), w.err
	}
	w.writeString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	w.writeBytes(p)
	w.writeString("\r\n")
	return len(p), w.err
}

// Flush sends all buffered data.
func (w *Writer) Flush() error {
	if w.err == nil {
		w.extendDeadline()
		w.err = w.bw.Flush()
	}
	return w.err
}

// End completes the response. It aborts a response whose body is shorter than the announced length.
func (w *Writer) End() error {
	w.ended = true
	if w.chunked && !w.noBody {
		w.writeString("0\r\n\r\n")
	}
	if !w.chunked && w.remaining > 0 && !w.noBody {
		w.Abort()
		return errors.Newf("response body lacks %d bytes of its announced length", w.remaining)
	}
	return w.Flush()
}

// Abort makes the connection close without the end of the response, so that the caller sees that it is incomplete. A body whose end is
// that of the connection is broken off by a reset.
func (w *Writer) Abort() { w.aborted = true }

// Answer writes a whole response.
func (w *Writer) Answer(status int, header http.Header, body []byte) error {
	if err := w.Start(status, header, int64(len(body))); err != nil {
		return err
	}
	if _, err := w.Write(body); err != nil {
		return err
	}
	return w.End()
}

func (w *Writer) extendDeadline() {
	end := w.deadline
	if end.IsZero() {
		end = time.Now().Add(writeTimeout)
	}
	if err := w.place.setWriteDeadline(end); err != nil && w.err == nil {
		w.err = err
	}
}

func (w *Writer) writeString(s string) {
	if w.err == nil {
		_, w.err = w.bw.WriteString(s)
	}
}

func (w *Writer) writeBytes(p []byte) {
	if w.err == nil {
		_, w.err = w.bw.Write(p)
	}
}

// callerWriter writes to a connection and records in its place for how long a write has been in progress.
type callerWriter struct{ place *place }

// Write implements io.Writer.
func (w callerWriter) Write(p []byte) (n int, err error) {
	w.place.enter(writing)
	defer w.place.enter(handling)
	return w.place.conn.Write(p)
}
