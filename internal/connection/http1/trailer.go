package http1

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// CheckTrailer makes the body of a response end with ErrInvalidField in place of io.EOF if a field name of the trailer behind it is not valid. It
// then closes conn, the connection of the response.
func CheckTrailer(response *http.Response, conn io.Closer) {
	if len(response.TransferEncoding) > 0 {
		response.Body = &chunkedBody{ReadCloser: response.Body, response: response, conn: conn}
	}
}

// chunkedBody is a body that a trailer may follow.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
	conn     io.Closer
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for name := range b.response.Trailer {
		if !isToken(name) {
			_ = b.conn.Close()
			return n, errors.WithStack(ErrInvalidField)
		}
	}
	return n, err
}

func isToken(name string) bool {
	for i := range len(name) {
		if !isTokenByte(name[i]) {
			return false
		}
	}
	return name != ""
}
