package platform

import (
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/connection/call"
)

// MaxValueBytes is the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Object is a versioned object of the platform.
type Object struct {
	Kind string
	Name string
	// Version is 0 for an object that does not exist. Every change raises it.
	Version uint64
	Value   []byte
}

// Event is one change that a watch reports. A deleted object has no value.
type Event struct {
	Object  Object
	Deleted bool
	// Revision orders the changes of all objects.
	Revision uint64
}

// Instance is a row of the platform's list of instances. The list lags.
type Instance struct {
	Name          string
	Address       netip.AddrPort
	FailureDomain string
	Leaving       bool
}

// The ways in which a call fails. ErrUnavailable and ErrRateLimited say that the call had no effect; ErrUncertain says
// that a write may have taken effect, now or later.
var (
	ErrNotFound    = errors.New("platform: object not found")
	ErrConflict    = errors.New("platform: object has another version")
	ErrUnavailable = errors.New("platform: unavailable")
	ErrRateLimited = errors.New("platform: rate limit exceeded")
	ErrUncertain   = errors.New("platform: outcome of the call is unknown")
	ErrWatchGap    = errors.New("platform: watch position is too old")
	ErrTooLarge    = errors.New("platform: value exceeds the size limit")
)

// Retryable tells whether the same read or conditional update may work later. After ErrConflict and ErrUncertain the
// object must be read again first.
func Retryable(err error) bool {
	for _, e := range []error{ErrConflict, ErrUnavailable, ErrRateLimited, ErrUncertain} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// StatusError returns what the status of an answer says, nil for success. A status that the interface does not name leaves
// the outcome of a write open.
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

// Unanswered returns what an error of package call says. A failed write is ErrUnavailable only if it never had a connection.
func Unanswered(err error, write bool) error {
	if write && !errors.Is(err, call.ErrNotSent) {
		return errors.Mark(err, ErrUncertain)
	}
	return errors.Mark(err, ErrUnavailable)
}
