package forward

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/connection/endpoint"
	"primrosecourse/pkg/memory"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// bufferedAnswer is an answer that has been read completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

const (
	// maxBufferedBytes is the body length up to which an answer that is not a stream is read completely before its first byte is
	// relayed, so that a truncated answer can still be replaced by that of another endpoint. It is less if Handler.Memory is used up.
	maxBufferedBytes = 256 << 10
	// freeAnswerBytes is the memory for the answer to a request that needs none of Handler.Memory.
	freeAnswerBytes = 16 << 10
)

// errNoAnswerMemory means that the answers to all requests would exceed Handler.Memory.
var errNoAnswerMemory = errors.New("no memory for the answer")

// relayBuffered reads a short answer completely and relays it; relayLong relays a longer one. A short server error is
// stored as the fallback instead if the request is idempotent and its route allows it to run once more.
func (a *attempt) relayBuffered(answer *endpoint.Answer) verdict {
	req := a.req
	a.answering.Store(true)
	if answer.Length > maxBufferedBytes {
		return a.relayLong(answer)
	}
	body, whole, err := a.readBody(answer)
	if err != nil {
		a.recordBrokenConnection(err)
		a.logFailedAttempt(err.Error(), answer.Status)
		return mayHaveRun
	}
	if !whole {
		answer.Body = io.MultiReader(bytes.NewReader(body), answer.Body)
		return a.relayLong(answer)
	}
	a.recordBegun(true)
	buffered := &bufferedAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status < 500 {
		a.choose()
		a.recordEnd(answer.Status)
		req.deliver(buffered)
		return done
	}
	a.recordOutcome(placement.Failed)
	if req.route.Repeat == site.Always && req.possibleRuns < req.route.Attempts {
		// The request is retried at another endpoint; if it is given up instead, this answer is sent to the caller.
		req.fallback = buffered
		a.logFailedAttempt("endpoint returned a server error", answer.Status)
		return mayHaveRun
	}
	req.deliver(buffered)
	return done
}

// readBody reads the body of an answer as readShort does, unless that has been done. The end of a whole one is confirmed.
func (a *attempt) readBody(answer *endpoint.Answer) (body []byte, whole bool, err error) {
	if a.copied != nil {
		return a.copied.body, a.copied.whole, a.copied.bodyErr
	}
	body, whole, err = readShort(answer.Body, a.req.memory, a.req.fallbackBytes())
	if whole {
		err = a.confirmEnd(a.req.ctx, answer)
	}
	return body, whole, err
}

// readShort reads a body with memory, which holds held bytes for something else. whole is false if there is more: the body is longer than
// maxBufferedBytes, or the memory is used up.
func readShort(r io.Reader, memory *memory.Holder, held int) (body []byte, whole bool, err error) {
	for len(body) <= maxBufferedBytes {
		if len(body) == cap(body) {
			size := min(max(4<<10, 2*cap(body)), maxBufferedBytes+1)
			if !memory.Grow(held + size) {
				return body, false, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return nil, false, err
		}
	}
	return body, false, nil
}

// fallbackBytes returns the memory for the answer that is sent if the request is given up.
func (req *request) fallbackBytes() int {
	if req.fallback == nil {
		return 0
	}
	return len(req.fallback.body)
}

// deliver sends a buffered answer to the caller.
func (req *request) deliver(a *bufferedAnswer) {
	req.status, req.firstPiece = a.status, time.Now()
	if err := req.w.Answer(a.status, a.header, a.body); err != nil {
		req.reason = "CallerLeft"
	}
}

// relayLong relays an answer as it arrives. If it cannot relay the whole body, the caller's connection is closed.
func (a *attempt) relayLong(answer *endpoint.Answer) verdict {
	req := a.req
	a.choose()
	req.status, req.firstPiece = answer.Status, time.Now()
	if err := req.w.Start(answer.Status, answer.Header, answer.Length); err != nil {
		a.recordOutcome(placement.Abandoned)
		return done
	}
	_, err := io.Copy(req.w, answer.Body)
	if err == nil {
		err = a.confirmEnd(req.ctx, answer)
	}
	switch {
	case errors.Is(err, endpoint.ErrBroken), errors.Is(err, errEndUnknown):
		if req.reason = "Cut"; req.endedByStop() {
			req.giveUpLate()
		}
		req.w.Abort()
		a.recordBrokenConnection(err)
		a.logFailedAttempt(a.cause(err).Error(), answer.Status)
		return done
	case err != nil:
		req.reason = "CallerLeft"
		req.w.Abort()
		a.recordOutcome(placement.Abandoned)
		return done
	}
	a.recordEnd(answer.Status)
	if err := req.w.End(); err != nil {
		req.reason = "CallerLeft"
	}
	return done
}
