package operator

import "github.com/cockroachdb/errors"

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Code -output=code_string.go

// Code is the outcome of a command and the exit code of the process.
type Code int

// The outcomes. The numbers are part of the command line and do not change.
const (
	// Done means that the command did what it was asked.
	Done Code = iota
	// Rejected means that the configuration has problems or that another operator's change came first. Nothing changed.
	Rejected
	// Usage means that the command line was not understood. Nothing changed.
	Usage
	// Unavailable means that the platform did not answer. Nothing changed.
	Unavailable
	// Unknown means that the change was sent and may have been accepted, now or later.
	Unknown
	// NotInForce means that the change was accepted, but not every entry and agent reported it in time.
	NotInForce
)

// MarshalText returns the name of the outcome.
func (i Code) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// The errors that mark the outcomes other than Done.
var (
	ErrRejected    = errors.New("operator: rejected")
	ErrUsage       = errors.New("operator: usage")
	ErrUnavailable = errors.New("operator: platform unavailable")
	ErrUnknown     = errors.New("operator: outcome unknown")
	ErrNotInForce  = errors.New("operator: not yet in force")
)

// CodeOf returns the outcome that err is marked with. An unmarked error is Rejected.
func CodeOf(err error) Code {
	switch {
	case err == nil:
		return Done
	case errors.Is(err, ErrUsage):
		return Usage
	case errors.Is(err, ErrUnavailable):
		return Unavailable
	case errors.Is(err, ErrUnknown):
		return Unknown
	case errors.Is(err, ErrNotInForce):
		return NotInForce
	}
	return Rejected
}

func mark(err, outcome error) error { return errors.Mark(err, outcome) }
