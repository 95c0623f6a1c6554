package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"primrosecourse/internal/connection/http1"
)

// The headers of a block in transfer.
const (
	HeaderVersion  = "Version"
	HeaderChecksum = "Checksum"
)

// maxBlockBytes limits the size of an exported block. A block of 1,024 tokens of 128 KiB each is 128 MiB; the limit is twice that, for
// larger models.
const maxBlockBytes = 256 << 20

// maxJSONBytes limits the size of a JSON response. Only a page of cache events can be large.
const maxJSONBytes = 16 << 20

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the engine at addr. It connects on the first call.
func New(addr netip.AddrPort) *Client {
	return &Client{
		base: "http://" + addr.String() + "/",
		http: &http.Client{Transport: http1.NewTransport(&http.Transport{
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
			// An answer has nothing that ties it to its call: a second one on a connection would be taken for that to the next call.
			DisableKeepAlives:  true,
			DisableCompression: true,
		})},
	}
}

// Close closes idle connections. It does not affect open streams.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Health returns the current state of the engine.
func (c *Client) Health(ctx context.Context) (h Health, err error) {
	defer func() { err = errors.Wrap(err, "engine: health") }()
	return h, c.getJSON(ctx, "health", nil, &h)
}

// Load returns the engine's own report of its load, which can be a few seconds old.
func (c *Client) Load(ctx context.Context) (r LoadReport, err error) {
	defer func() { err = errors.Wrap(err, "engine: load") }()
	return r, c.getJSON(ctx, "load", nil, &r)
}

// CacheEvents returns a page of the cache events that follow the sequence number after. Some events may be missing.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (e CacheEvents, err error) {
	defer func() { err = errors.Wrap(err, "engine: cache events") }()
	return e, c.getJSON(ctx, "cache/events", &struct{ After uint64 }{after}, &e)
}

// Cancel cancels a run. The error is ErrNotFound if there is no such run in progress.
func (c *Client) Cancel(ctx context.Context, requestID string) (err error) {
	defer func() { err = errors.Wrapf(err, "engine: cancel %s", requestID) }()
	return c.send(ctx, c.sling().Delete("generate/"+url.PathEscape(requestID)))
}

// Order sends an order and returns once the engine has executed it. Errors include ErrOldEpoch.
func (c *Client) Order(ctx context.Context, o Order) (err error) {
	defer func() { err = errors.Wrapf(err, "engine: order %s", o.Kind) }()
	err = c.send(ctx, c.sling().Post("orders").BodyJSON(o))
	if errors.Is(err, ErrWrongVersion) {
		return ErrOldEpoch // for an order, 409 means an old epoch
	}
	return err
}

// ExportBlock returns the bytes and the weight version of a block. It verifies the checksum of the block.
func (c *Client) ExportBlock(ctx context.Context, id string) (data []byte, version string, err error) {
	defer func() { err = errors.Wrapf(err, "engine: export block %s", id) }()
	resp, err := c.do(ctx, c.sling().Get("cache/blocks/"+url.PathEscape(id)))
	if err != nil {
		return nil, "", err
	}
	defer closeBody(resp.Body)
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxBlockBytes))
	if err != nil {
		return nil, "", errors.Mark(err, ErrUnreachable)
	}
	if resp.Header.Get(HeaderChecksum) != Checksum(data) {
		return nil, "", ErrChecksum
	}
	return data, resp.Header.Get(HeaderVersion), nil
}

// ImportBlock stores a block of a weight version in the cache of the engine. Errors include ErrWrongVersion and ErrFull.
func (c *Client) ImportBlock(ctx context.Context, id, version string, data []byte) (err error) {
	defer func() { err = errors.Wrapf(err, "engine: import block %s", id) }()
	return c.send(ctx, c.sling().Put("cache/blocks/"+url.PathEscape(id)).
		Set(HeaderVersion, version).Set(HeaderChecksum, Checksum(data)).Body(bytes.NewReader(data)))
}

// Checksum returns the checksum of the bytes of a block: their 64-bit xxHash in hexadecimal digits.
func Checksum(data []byte) string { return strconv.FormatUint(xxhash.Sum64(data), 16) }

func (c *Client) sling() *sling.Sling { return sling.New().Base(c.base) }

func (c *Client) getJSON(ctx context.Context, path string, query, into any) error {
	s := c.sling().Get(path)
	if query != nil {
		s = s.QueryStruct(query)
	}
	resp, err := c.do(ctx, s)
	if err != nil {
		return err
	}
	defer closeBody(resp.Body)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxJSONBytes)).Decode(into); err != nil {
		return errors.Mark(err, ErrUnreachable)
	}
	return nil
}

// send sends a request and discards the body of the response.
func (c *Client) send(ctx context.Context, s *sling.Sling) error {
	resp, err := c.do(ctx, s)
	if err != nil {
		return err
	}
	closeBody(resp.Body)
	return nil
}

// do sends a request and turns a status outside 2xx into an error. On success the caller closes the body.
func (c *Client) do(ctx context.Context, s *sling.Sling) (*http.Response, error) {
	req, err := s.Request()
	if err != nil {
		return nil, err
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		if !connected.Load() {
			err = errors.Mark(err, ErrNotSent)
		}
		return nil, errors.Mark(err, ErrUnreachable)
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	closeBody(resp.Body)
	return nil, errors.WithDetail(statusError(resp.StatusCode), string(detail))
}

func statusError(status int) error {
	switch status {
	case http.StatusTooManyRequests:
		return ErrBusy
	case http.StatusConflict:
		return ErrWrongVersion
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusInsufficientStorage:
		return ErrFull
	case http.StatusBadRequest:
		return ErrBadRequest
	}
	return errors.Mark(fmt.Errorf("status %d", status), ErrUnreachable)
}

// closeBody reads up to 4 KiB that remain of a body and closes it, so that the engine can finish writing a short one.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 4096)
	_ = body.Close()
}
