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
)

// The headers of a block in transfer.
const (
	HeaderVersion  = "Version"
	HeaderChecksum = "Checksum"
)

// maxBlockBytes bounds an exported block: 1,024 tokens of 128 KiB each are 128 MiB, doubled for larger models.
const maxBlockBytes = 256 << 20

// maxReportBytes bounds the JSON reports, which are small but for a page of cache events.
const maxReportBytes = 16 << 20

// Client calls one engine. Its methods may be called from any number of goroutines.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the engine at addr. It connects on the first call.
func New(addr netip.AddrPort) *Client {
	return &Client{
		base: "http://" + addr.String() + "/",
		http: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
			// A model endpoint runs some tens of streams at a time, each on a connection of its own.
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
	}
}

// Close closes idle connections. Streams that are open go on.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Health returns the current state of the engine.
func (c *Client) Health(ctx context.Context) (h Health, err error) {
	defer func() { err = errors.Wrap(err, "engine: health") }()
	return h, c.get(ctx, "health", nil, &h)
}

// Load returns the engine's own report of its load, which lags.
func (c *Client) Load(ctx context.Context) (r LoadReport, err error) {
	defer func() { err = errors.Wrap(err, "engine: load") }()
	return r, c.get(ctx, "load", nil, &r)
}

// CacheEvents returns the cache events after a sequence number. Events may be missing.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (e CacheEvents, err error) {
	defer func() { err = errors.Wrap(err, "engine: cache events") }()
	return e, c.get(ctx, "cache/events", &struct{ After uint64 }{after}, &e)
}

// Cancel ends a run. The error is ErrNotFound if it is not running.
func (c *Client) Cancel(ctx context.Context, requestID string) (err error) {
	defer func() { err = errors.Wrapf(err, "engine: cancel %s", requestID) }()
	return c.discard(ctx, c.sling().Delete("generate/"+url.PathEscape(requestID)))
}

// Order gives the engine an order and returns once it is carried out. Errors include ErrOldEpoch.
func (c *Client) Order(ctx context.Context, o Order) (err error) {
	defer func() { err = errors.Wrapf(err, "engine: order %s", o.Kind) }()
	err = c.discard(ctx, c.sling().Post("orders").BodyJSON(o))
	if errors.Is(err, ErrWrongVersion) {
		return ErrOldEpoch // 409 means an old epoch here
	}
	return err
}

// ExportBlock returns the bytes and the weight version of a block, after checking its checksum.
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

// ImportBlock gives a block of a weight version to the engine. Errors include ErrWrongVersion and ErrFull.
func (c *Client) ImportBlock(ctx context.Context, id, version string, data []byte) (err error) {
	defer func() { err = errors.Wrapf(err, "engine: import block %s", id) }()
	return c.discard(ctx, c.sling().Put("cache/blocks/"+url.PathEscape(id)).
		Set(HeaderVersion, version).Set(HeaderChecksum, Checksum(data)).Body(bytes.NewReader(data)))
}

// Checksum returns the checksum that goes with the bytes of a block.
func Checksum(data []byte) string { return strconv.FormatUint(xxhash.Sum64(data), 16) }

func (c *Client) sling() *sling.Sling { return sling.New().Base(c.base) }

func (c *Client) get(ctx context.Context, path string, query, into any) error {
	s := c.sling().Get(path)
	if query != nil {
		s = s.QueryStruct(query)
	}
	resp, err := c.do(ctx, s)
	if err != nil {
		return err
	}
	defer closeBody(resp.Body)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(into); err != nil {
		return errors.Mark(err, ErrUnreachable)
	}
	return nil
}

func (c *Client) discard(ctx context.Context, s *sling.Sling) error {
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

// closeBody reads a short rest so that the connection can be used again.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 4096)
	_ = body.Close()
}
