package platform

import (
	"net/netip"

	"github.com/cockroachdb/errors"
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
