package agent

import "github.com/cockroachdb/errors"

// Every error of Submit, Call and Next matches exactly one of these under errors.Is.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("agent: request not sent")
	// ErrMayHaveArrived means that the request was sent, wholly or in part.
	ErrMayHaveArrived = errors.New("agent: request may have arrived")
)

// Causes that callers can distinguish with errors.Is, in addition to ErrNotSent and ErrMayHaveArrived.
var (
	// ErrDown means that the agent is considered down and is being probed.
	ErrDown = errors.New("agent: peer is down")
	// ErrClosed means that the pool is closed.
	ErrClosed = errors.New("agent: pool is closed")
	// ErrSlowReader means that the stream was cancelled because its buffer was full.
	ErrSlowReader = errors.New("agent: stream reader is too slow")
	// ErrGap means that the stream was cancelled because tokens are missing.
	ErrGap = errors.New("agent: gap in the tokens of the stream")
)

var (
	errSilent   = errors.New("agent: peer is silent")
	errIdle     = errors.New("agent: connection is idle")
	errEnded    = mayHaveArrived(errors.New("agent: stream has ended"))
	errUnusable = errors.New("agent: connection accepts no more requests")
	errGoodbye  = errors.New("agent: peer sent Goodbye")
)

// deliveryError joins ErrNotSent or ErrMayHaveArrived with the cause. Unlike errors.Mark of cockroachdb/errors, it
// makes both visible to errors.Is of the standard library too.
type deliveryError struct{ delivery, cause error }

func (e *deliveryError) Error() string { return e.delivery.Error() + ": " + e.cause.Error() }

func (e *deliveryError) Unwrap() []error { return []error{e.delivery, e.cause} }

func notSent(err error) error { return &deliveryError{ErrNotSent, err} }

func mayHaveArrived(err error) error { return &deliveryError{ErrMayHaveArrived, err} }
