package platform

import (
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/connection/call"
)

// MaxValueBytes is the maximum size of a value on the platform.
const MaxValueBytes = 1 << 20

// Object is a versioned object of the platform.
type Object struct {
	Kind string
	Name string
	// Version is 0 for an object that does not exist. Every change increases it.
	Version uint64
	Value   []byte
}

// Event is a change that a watch reports. A deleted object has no value.
type Event struct {
	Object  Object
	Deleted bool
	// Revision orders the changes of all objects.
	Revision uint64
}

// Instance is an element of the platform's list of instances, which lags behind the actual state.
type Instance struct {
	Name          string
	Address       netip.AddrPort
	FailureDomain string
	Leaving       bool
}

// The errors of a call. After ErrUnavailable and ErrRateLimited the call had no effect; after ErrUncertain a write may have
// taken effect or may still take effect later.
var (
	ErrNotFound    = errors.New("platform: object not found")
	ErrConflict    = errors.New("platform: object has another version")
	ErrUnavailable = errors.New("platform: unavailable")
	ErrRateLimited = errors.New("platform: rate limit exceeded")
	ErrUncertain   = errors.New("platform: outcome of the call is unknown")
	ErrWatchGap    = errors.New("platform: watch position is too old")
	ErrTooLarge    = errors.New("platform: value exceeds the size limit")
)

// Retryable reports whether the same read or conditional update may succeed later. After ErrConflict and ErrUncertain the
// object must be read again first.
func Retryable(err error) bool {
	for _, e := range []error{ErrConflict, ErrUnavailable, ErrRateLimited, ErrUncertain} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// StatusError returns the error for an HTTP status, or nil for success. After a status that is not part of the interface,
// the outcome of a write is unknown.
func StatusError(status int, write bool) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusAccepted, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrWatchGap
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	}
	err := errors.Newf("unexpected status %d", status)
	if write {
		return errors.Mark(err, ErrUncertain)
	}
	return errors.Mark(err, ErrUnavailable)
}

// CallError marks err, with which package call reports a call without a response, as ErrUncertain or ErrUnavailable. A
// failed write is ErrUnavailable only if it was not sent, that is if err is call.ErrNotSent.
func CallError(err error, write bool) error {
	if write && !errors.Is(err, call.ErrNotSent) {
		return errors.Mark(err, ErrUncertain)
	}
	return errors.Mark(err, ErrUnavailable)
}
