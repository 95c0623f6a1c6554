package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// The names of the events of a stream.
const (
	EventAccepted = "accepted"
	EventTokens   = "tokens"
	EventEnd      = "end"
)

// maxEventBytes bounds a line of the stream, so that a faulty engine cannot make the reader allocate more.
const maxEventBytes = 1 << 20

// Run is a run that the engine accepted. Only one goroutine may call Next.
type Run struct {
	// Accepted is the first event.
	Accepted Accepted

	resp   *http.Response
	lines  *bufio.Scanner
	cancel context.CancelFunc
}

// Generate submits a request and returns once the engine has accepted it. The error is ErrBusy, ErrWrongVersion,
// ErrBadRequest, ErrUnreachable or ErrCut. After ErrUnreachable without ErrNotSent, and after ErrCut, the engine may have
// started the run. When ctx ends, the stream is closed and the engine cancels the run.
func (c *Client) Generate(ctx context.Context, req Request) (run *Run, err error) {
	defer func() { err = errors.Wrapf(err, "engine: generate %s", req.RequestID) }()
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.do(ctx, c.sling().Post("generate").BodyJSON(req))
	if err != nil {
		cancel()
		return nil, err
	}
	run = &Run{resp: resp, lines: bufio.NewScanner(resp.Body), cancel: cancel}
	run.lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	event, err := run.Next()
	if err == nil {
		accepted, ok := event.(Accepted)
		if ok {
			run.Accepted = accepted
			return run, nil
		}
		err = errors.Wrapf(ErrCut, "first event is %T", event)
	}
	run.Close()
	return nil, err
}

// Next returns the next event, which is Tokens, or End as the last one. The error is ErrCut if the stream ends without End
// or contains an invalid event.
func (r *Run) Next() (event any, err error) {
	var name string
	for r.lines.Scan() {
		key, value, ok := bytes.Cut(r.lines.Bytes(), []byte(": "))
		switch {
		case !ok: // the empty line after an event, or a line without a value
		case string(key) == "event":
			name = string(value)
		case string(key) == "data":
			return decodeEvent(name, value)
		}
	}
	if err := r.lines.Err(); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "engine: stream"), ErrCut)
	}
	return nil, ErrCut
}

// Close closes the stream. The engine detects the closed connection and cancels the run if it has not ended.
func (r *Run) Close() {
	r.cancel()
	_ = r.resp.Body.Close()
}

func decodeEvent(name string, data []byte) (any, error) {
	switch name {
	case EventAccepted:
		return unmarshal[Accepted](data)
	case EventTokens:
		return unmarshal[Tokens](data)
	case EventEnd:
		return unmarshal[End](data)
	}
	return nil, errors.Wrapf(ErrCut, "unknown event %q", name)
}

func unmarshal[T any](data []byte) (any, error) {
	var event T
	if err := json.Unmarshal(data, &event); err != nil {
		return nil, errors.Mark(err, ErrCut)
	}
	return event, nil
}
