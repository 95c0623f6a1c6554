package kvstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"primrosecourse/internal/connection/http1"
)

// The HTTP headers of a block.
const (
	HeaderOrganisation = "Organisation"
	HeaderVersion      = "Version"
	HeaderChecksum     = "Checksum"
	HeaderTier         = "Tier"
)

// Client calls one store instance. It is safe for concurrent use.
type Client struct {
	// Timeout bounds each call; an earlier deadline of its context applies too. Default 10 s.
	Timeout time.Duration

	base *sling.Sling
	http *http.Client
}

// New returns a client of the store at addr.
func New(addr netip.AddrPort) *Client {
	return &Client{
		base: sling.New().Base("http://" + addr.String()),
		http: &http.Client{Transport: http1.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second})},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns the block with the identity id, which must belong to the organisation and weight version. The error is
// ErrNotFound, ErrUnavailable, or ErrMismatch for a block that is damaged, of another organisation or version, larger than
// MaxBlockBytes, or whose transfer broke off.
func (c *Client) Get(ctx context.Context, id, organisation, version string) (b Block, err error) {
	defer func() { err = errors.Wrapf(err, "get block %s", id) }()
	resp, cancel, err := c.do(ctx, c.base.New().Get("/blocks/"+id))
	if err != nil {
		return Block{}, err
	}
	defer cancel()
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxBlockBytes))
	if err != nil {
		return Block{}, errors.Mark(err, ErrMismatch)
	}
	b = Block{ID: id, Organisation: resp.Header.Get(HeaderOrganisation), Version: resp.Header.Get(HeaderVersion), Bytes: data}
	if b.Organisation != organisation || b.Version != version || resp.Header.Get(HeaderChecksum) != Checksum(data) {
		return Block{}, ErrMismatch
	}
	return b, nil
}

// Put stores a block. After ErrFull or ErrMismatch the block is not readable unless an earlier Put stored it. After
// ErrUnavailable it may have been stored, if the response was lost.
func (c *Client) Put(ctx context.Context, b Block) (err error) {
	defer func() { err = errors.Wrapf(err, "put block %s", b.ID) }()
	req := c.base.New().Put("/blocks/"+b.ID).
		Set(HeaderOrganisation, b.Organisation).Set(HeaderVersion, b.Version).Set(HeaderChecksum, Checksum(b.Bytes)).
		Body(bytes.NewReader(b.Bytes))
	return c.send(ctx, req)
}

// Delete removes a block. The error is ErrNotFound or ErrUnavailable.
func (c *Client) Delete(ctx context.Context, id string) (err error) {
	defer func() { err = errors.Wrapf(err, "delete block %s", id) }()
	return c.send(ctx, c.base.New().Delete("/blocks/"+id))
}

// Lookup returns those blocks of ids that are present in the store. The error is ErrUnavailable, or ErrMismatch if the store
// refuses the list, for example because it is too long.
func (c *Client) Lookup(ctx context.Context, ids []string) (present []Present, err error) {
	defer func() { err = errors.Wrap(err, "look up blocks") }()
	err = c.doJSON(ctx, c.base.New().Post("/blocks/lookup").BodyJSON(ids), &present)
	return present, err
}

// Status returns the state of the store. The error is ErrUnavailable.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	defer func() { err = errors.Wrap(err, "read store status") }()
	err = c.doJSON(ctx, c.base.New().Get("/status"), &s)
	return s, err
}

// send sends a request and discards the body of the response.
func (c *Client) send(ctx context.Context, s *sling.Sling) error {
	resp, cancel, err := c.do(ctx, s)
	if err != nil {
		return err
	}
	defer cancel()
	return resp.Body.Close()
}

// doJSON sends a request and decodes the JSON body of the response into v.
func (c *Client) doJSON(ctx context.Context, s *sling.Sling, v any) error {
	resp, cancel, err := c.do(ctx, s)
	if err != nil {
		return err
	}
	defer cancel()
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(v); err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	return nil
}

// do sends the request and converts any status other than 200 to an error. The caller must call cancel after it has read
// the body.
func (c *Client) do(ctx context.Context, s *sling.Sling) (resp *http.Response, cancel context.CancelFunc, err error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = 10 * time.Second
	}
	ctx, cancel = context.WithTimeout(ctx, timeout)
	req, err := s.Request()
	if err != nil {
		cancel()
		return nil, nil, err
	}
	resp, err = c.http.Do(req.WithContext(ctx))
	if err != nil {
		cancel()
		return nil, nil, errors.Mark(err, ErrUnavailable)
	}
	if err = statusError(resp.StatusCode); err != nil {
		resp.Body.Close()
		cancel()
		return nil, nil, err
	}
	return resp, cancel, nil
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusBadRequest, http.StatusConflict:
		return ErrMismatch
	case http.StatusInsufficientStorage:
		return ErrFull
	}
	return errors.Wrapf(ErrUnavailable, "status %d", status)
}
