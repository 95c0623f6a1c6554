package agent

import "github.com/cockroachdb/errors"

// Each error of Submit, Call and Next is one of ErrNotSent and ErrMayHaveArrived, tested by errors.Is.
var (
	// ErrNotSent means that certainly no byte of the request was sent.
	ErrNotSent = errors.New("agent: request not sent")
	// ErrMayHaveArrived means that the request was sent, wholly or in part.
	ErrMayHaveArrived = errors.New("agent: request may have arrived")
)

// The causes that callers tell apart.
var (
	// ErrDown means that the agent does not answer and is being probed.
	ErrDown = errors.New("agent: peer is down")
	// ErrClosed means that the pool ended.
	ErrClosed = errors.New("agent: pool is closed")
	// ErrSlowReader means that the stream was cancelled because its buffer was full.
	ErrSlowReader = errors.New("agent: reader of the stream is too slow")
	// ErrGap means that tokens are missing.
	ErrGap = errors.New("agent: gap in the tokens of a stream")
)

var (
	errSilent   = errors.New("agent: peer is silent")
	errIdle     = errors.New("agent: connection is idle")
	errEnded    = mayHaveArrived(errors.New("agent: stream has ended"))
	errUnusable = errors.New("agent: connection takes no more requests")
	errGoodbye  = errors.New("agent: peer said goodbye")
)

// fateError joins what became of the request with the cause. Unlike the marks of package errors, both are seen by the
// errors.Is of the standard library too.
type fateError struct{ fate, cause error }

func (e *fateError) Error() string { return e.fate.Error() + ": " + e.cause.Error() }

func (e *fateError) Unwrap() []error { return []error{e.fate, e.cause} }

func notSent(err error) error { return &fateError{ErrNotSent, err} }

func mayHaveArrived(err error) error { return &fateError{ErrMayHaveArrived, err} }
