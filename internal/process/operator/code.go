package operator

import "github.com/cockroachdb/errors"

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Code -output=code_string.go

// Code is the outcome of a command. primrosectl exits with it.
type Code int

// The outcomes. The numbers are exit codes that scripts depend on, so they must not change.
const (
	// Done means that the command succeeded.
	Done Code = iota
	// Rejected means that the change is not valid, such as settings with problems or an unknown name, that the accepted
	// configuration is missing or cannot be decoded, or that another change was accepted first. It is also the outcome of
	// errors without a mark. The command changed nothing.
	Rejected
	// Usage means that the command line is invalid. Nothing was changed.
	Usage
	// Unavailable means that the platform did not respond in time or failed the calls, or that the entry from which the
	// configuration is read did. Nothing was changed.
	Unavailable
	// Unknown means that the change was sent and may already be accepted or may still be accepted later.
	Unknown
	// NotInForce means that the change was accepted, but not every entry and agent reported its version in time.
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

// CodeOf returns the outcome that err is marked with, Done for nil and Rejected for an unmarked error.
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
