package lease

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/version/registry"
)

// maxRecorded is the longest time before or after a write of the lease that a gateway records in it.
const maxRecorded = time.Hour

// unknownHolder stands for the holder of a lease that cannot be read. No gateway has this name.
const unknownHolder = "\x00unreadable"

// decode decodes the lease that has the given revision. Errors: it is malformed, has no token, has one beyond those of its era, or a time of
// more than maxRecorded.
func decode(encoded []byte, revision uint64) (v registry.Lease, err error) {
	if err = json.Unmarshal(encoded, &v); err != nil {
		return v, err
	}
	if v.Token == 0 || registry.Era(v.Token) > registry.Era(revision) {
		return v, errors.Newf("token %d in era %d", v.Token, registry.Era(revision))
	}
	if v.UnknownMs < 0 || v.UnknownMs > maxRecorded.Milliseconds() {
		return v, errors.Newf("orders are unknown for %d ms", v.UnknownMs)
	}
	for _, ago := range v.OrderedMs {
		if ago < registry.OrderOpen || ago > maxRecorded.Milliseconds() {
			return v, errors.Newf("order %d ms ago", ago)
		}
	}
	return v, nil
}

// replacement returns the lease that stands for one which cannot be read. Its holder is unknown, so it is acquired after Silence, and any
// endpoint may have an order from that holder. Each acquisition writes the lease and raises the token by one, and the tokens of an era begin
// with its first revision, so none was given out above the revision.
func (l *Lease) replacement(revision uint64) registry.Lease {
	return registry.Lease{Holder: unknownHolder, Token: revision, Renewal: revision, Era: registry.Era(revision),
		UnknownMs: (l.Validity + l.Time + l.ThawTime).Milliseconds()}
}
