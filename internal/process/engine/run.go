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

// maxEventBytes bounds a line of the stream, so that a broken engine cannot make the reader allocate more.
const maxEventBytes = 1 << 20

// Run is a run that the engine accepted. One goroutine reads it.
type Run struct {
	// Accepted is the first event.
	Accepted Accepted

	resp   *http.Response
	lines  *bufio.Scanner
	cancel context.CancelFunc
}

// Generate submits a request and returns once the engine accepted it. Errors are ErrBusy, ErrWrongVersion,
// ErrBadRequest, or ErrUnreachable and ErrCut, after which the engine may have started the run. The run ends when ctx
// does.
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

// Next returns the next event: Tokens, or End, which is the last one. The error is ErrCut if the stream ends without
// End.
func (r *Run) Next() (event any, err error) {
	var name string
	for r.lines.Scan() {
		key, value, ok := bytes.Cut(r.lines.Bytes(), []byte(": "))
		switch {
		case !ok: // the empty line between two events
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

// Close gives up the stream. The engine sees the lost connection and cancels a run that has not ended.
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
