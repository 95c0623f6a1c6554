package front

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// writeTimeout bounds a single write to a caller that does not read.
const writeTimeout = 10 * time.Second

// Writer writes one answer. It belongs to the goroutine of the handler.
type Writer struct {
	conn net.Conn
	bw   *bufio.Writer
	// noBody is set for answers to HEAD requests.
	noBody bool
	http10 bool
	// closing tells whether the connection ends with this answer.
	closing bool

	started bool
	chunked bool
	left    int64
	ended   bool
	aborted bool
	err     error
}

// Started reports whether the status has been written.
func (w *Writer) Started() bool { return w.started }

// Start writes the status and the header. The body has the given length, or is sent in chunks if length is negative. Framing
// fields in header are ignored.
func (w *Writer) Start(status int, header http.Header, length int64) (err error) {
	if w.started {
		return errors.New("answer has been started")
	}
	w.started = true
	w.chunked = length < 0 && !w.http10
	w.left = length
	if length < 0 && w.http10 {
		w.closing = true
	}
	w.extend()
	w.text("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	for name, values := range header {
		if framing(name) {
			continue
		}
		for _, value := range values {
			w.text(name + ": " + value + "\r\n")
		}
	}
	switch {
	case w.chunked:
		w.text("Transfer-Encoding: chunked\r\n")
	case length >= 0:
		w.text("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
	}
	if w.closing {
		w.text("Connection: close\r\n")
	}
	w.text("\r\n")
	return w.err
}

func framing(name string) bool {
	switch name {
	case "Connection", "Content-Length", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Proxy-Connection", "Te":
		return true
	}
	return false
}

// Write writes a part of the body. It is buffered until Flush or End.
func (w *Writer) Write(p []byte) (n int, err error) {
	if len(p) == 0 || w.noBody {
		return len(p), w.err
	}
	w.extend()
	if !w.chunked {
		if w.left >= 0 {
			w.left -= int64(len(p))
		}
		w.bytes(p)
		return len(p), w.err
	}
	w.text(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	w.bytes(p)
	w.text("\r\n")
	return len(p), w.err
}

// Flush sends what is buffered.
func (w *Writer) Flush() error {
	if w.err == nil {
		w.extend()
		w.err = w.bw.Flush()
	}
	return w.err
}

// End completes the answer.
func (w *Writer) End() error {
	w.ended = true
	if w.chunked && !w.noBody {
		w.text("0\r\n\r\n")
	}
	if !w.chunked && w.left > 0 && !w.noBody {
		w.Abort()
		return errors.Newf("answer lacks %d bytes", w.left)
	}
	return w.Flush()
}

// Abort ends the connection, so that the answer does not look complete.
func (w *Writer) Abort() { w.aborted = true }

// Answer writes a whole answer.
func (w *Writer) Answer(status int, header http.Header, body []byte) error {
	if err := w.Start(status, header, int64(len(body))); err != nil {
		return err
	}
	if _, err := w.Write(body); err != nil {
		return err
	}
	return w.End()
}

func (w *Writer) extend() {
	if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil && w.err == nil {
		w.err = err
	}
}

func (w *Writer) text(s string) {
	if w.err == nil {
		_, w.err = w.bw.WriteString(s)
	}
}

func (w *Writer) bytes(p []byte) {
	if w.err == nil {
		_, w.err = w.bw.Write(p)
	}
}
