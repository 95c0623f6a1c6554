package malformed_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"primrosecourse/internal/connection/call"
	"primrosecourse/internal/process/engine"
	"primrosecourse/internal/process/explain"
	"primrosecourse/internal/process/kvstore"
	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/process/service"
	"primrosecourse/internal/standin/malformed"
	"primrosecourse/internal/standin/stutter"
	"primrosecourse/pkg/wire"
)

// client is a client that makes one call with the given method.
type client struct {
	fields, body string
	call         func(ctx context.Context, address netip.AddrPort, method string) error
	// want is the error of a read, wantWrite that of a write if it is another one. notSent is never the error.
	want, wantWrite, notSent error
}

var clients = map[string]client{
	"call": {body: "body", notSent: call.ErrNotSent, call: func(ctx context.Context, address netip.AddrPort, method string) error {
		c := call.New(call.Settings{IdleConnections: 1})
		defer c.Close()
		r, err := http.NewRequest(method, "http://"+address.String(), strings.NewReader(""))
		if err == nil {
			_, err = c.Do(ctx, r, call.Bounds{})
		}
		return err
	}},
	"service": {body: "reply", want: service.ErrReplyLost, notSent: service.ErrNotSent, call: func(ctx context.Context, address netip.AddrPort, method string) error {
		c := service.New(address)
		defer c.Close()
		key := ""
		if method == http.MethodPut {
			key = "k"
		}
		_, err := c.Do(ctx, wire.Call{Method: method, Path: "/x", IdempotencyKey: key})
		return err
	}},
	"engine": {body: `{"Warm":true}`, want: engine.ErrUnreachable, notSent: engine.ErrNotSent, call: func(ctx context.Context, address netip.AddrPort, method string) error {
		c := engine.New(address)
		defer c.Close()
		if method == http.MethodPut {
			return c.ImportBlock(ctx, "b", "v", []byte("block"))
		}
		_, err := c.Health(ctx)
		return err
	}},
	"run": {body: "event: accepted\ndata: {}\n\nevent: end\ndata: {\"Finish\":\"Stop\"}\n\n", want: engine.ErrUnreachable, notSent: engine.ErrNotSent,
		call: func(ctx context.Context, address netip.AddrPort, _ string) error {
			c := engine.New(address)
			defer c.Close()
			_, err := c.Generate(ctx, engine.Request{})
			return err
		}},
	"KV store": {fields: "Organisation: o\r\nVersion: v\r\nChecksum: " + kvstore.Checksum([]byte("block")) + "\r\n", body: "block", want: kvstore.ErrUnavailable,
		call: func(ctx context.Context, address netip.AddrPort, method string) error {
			c := kvstore.New(address)
			defer c.Close()
			if method == http.MethodPut {
				return c.Put(ctx, kvstore.Block{ID: "b", Organisation: "o", Version: "v"})
			}
			_, err := c.Get(ctx, "b", "o", "v")
			return err
		}},
	"platform": {fields: "Version: 5\r\n", body: "value", want: platform.ErrUnavailable, wantWrite: platform.ErrUncertain,
		call: func(ctx context.Context, address netip.AddrPort, method string) error {
			c := platform.New(address)
			defer c.Close()
			if method == http.MethodPut {
				_, err := c.Put(ctx, platform.Object{Kind: "k", Name: "n"})
				return err
			}
			_, err := c.Get(ctx, "k", "n")
			return err
		}},
	"explanation": {body: `{"Gateway":"g"}`, call: func(ctx context.Context, address netip.AddrPort, _ string) error {
		_, err := explain.Ask(ctx, address, &explain.Question{})
		return err
	}},
}

// TestClients guards against a response with a blank or a control byte in a field name that a client takes for a valid one, or that ends a call
// only at its deadline, and against a call that is repeated for it or counts as not sent.
func TestClients(t *testing.T) {
	for clientName, c := range clients {
		for name, response := range malformed.Responses(c.fields, c.body) {
			for _, method := range []string{http.MethodGet, http.MethodPut} {
				t.Run(clientName+"/"+name+"/"+method, func(t *testing.T) {
					is := is.New(t)
					server, err := stutter.New(func(*http.Request) string { return response })
					is.NoErr(err)
					defer server.Close()
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					err = c.call(ctx, server.Address(), method)
					want := c.want
					if method == http.MethodPut && c.wantWrite != nil {
						want = c.wantWrite
					}
					is.True(err != nil)
					is.True(want == nil || errors.Is(err, want))
					is.True(c.notSent == nil || !errors.Is(err, c.notSent))
					is.NoErr(ctx.Err())
					is.Equal(server.Accepted(), 1)
				})
			}
		}
	}
}
