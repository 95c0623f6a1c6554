package service

import (
	"context"
	"net/http"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"primrosecourse/pkg/wire"
)

// TestRequestIsNotReplayable guards against requests that package net/http considers replayable: a request must have no GetBody
// and a body that is not known to be empty. TestNeverReplayed cannot detect such requests, since each of its calls uses a new
// connection, which net/http does not retry.
func TestRequestIsNotReplayable(t *testing.T) {
	is := is.New(t)
	c := New(netip.MustParseAddrPort("127.0.0.1:1"))
	for _, body := range []string{"", "x"} {
		req, err := c.request(context.Background(), wire.Call{Method: "GET", Path: "/", Body: []byte(body), IdempotencyKey: "k"})
		is.NoErr(err)
		is.True(req.GetBody == nil)
		is.True(req.Body != nil && req.Body != http.NoBody)
	}
}
