package forward

import (
	"net"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"primrosecourse/pkg/site"
)

// partKeys returns the keys of the shared parts of the prompt, in order. A key is a hash of the part's ID, so that the record of a part
// has a bounded size.
func (req *request) partKeys() (keys []uint64) {
	for _, p := range req.sharedParts() {
		keys = append(keys, xxhash.Sum64String(p.ID))
	}
	return keys
}

// organisationKey returns the key of the request's organisation, 0 if it has none.
func (req *request) organisationKey() uint64 {
	if req.organisation == nil {
		return 0
	}
	return xxhash.Sum64String(req.organisation.Name)
}

// incarnation returns a name of the endpoint that differs after each start.
func incarnation(e *site.Endpoint) string {
	return e.ID + "/" + strconv.FormatInt(e.StartedAt.UnixMilli(), 36)
}

// quarantinedPart returns until when a part of the request is quarantined, if one is.
func (req *request) quarantinedPart() (retryAfter time.Duration, ok bool) {
	now := time.Now()
	v, ok := req.handler.Parts.Quarantined(now, req.snapshot, req.organisationKey(), req.parts)
	return max(time.Second, v.Until.Sub(now)), ok
}

// recordBegun clears the shared parts of the request once its answer has begun: settleTime after its first event, or at its end.
func (a *attempt) recordBegun(ended bool) {
	now := time.Now()
	if a.begunAt.IsZero() {
		a.begunAt = now
	}
	if a.begun || (!ended && now.Sub(a.begunAt) < settleTime) {
		return
	}
	a.begun = true
	req := a.req
	req.handler.Parts.Begun(now, req.handler.View.Current(), req.organisationKey(), req.parts)
}

// newBreak describes the attempt, whose connection broke with err.
func (a *attempt) newBreak(service *site.Service, err error) Break {
	req := a.req
	var timeout net.Error
	return Break{Request: req.meta.ID, Attempt: a.number, Fingerprint: req.fingerprint, StartedAt: a.started, Known: a.known,
		Target:      req.target(a.endpoint, service),
		Incarnation: incarnation(a.endpoint), Cold: req.handler.Table.IsCold(time.Now(), a.endpoint), Organisation: req.organisationKey(),
		Parts: req.parts, TimedOut: errors.As(err, &timeout) && timeout.Timeout(), Begun: a.begun || (!a.begunAt.IsZero() && time.Since(a.begunAt) >= settleTime)}
}

// mayCrashAgain returns the reason for which the request must not be retried after the attempt, whose connection broke before its answer
// began: it would be quarantined if the endpoint has crashed, or a part of it was there when another endpoint crashed. It returns an empty
// string if there is none.
func (a *attempt) mayCrashAgain(b Break) (suspicion string) {
	req := a.req
	if b.Begun || b.TimedOut {
		return ""
	}
	s := req.handler.View.Current()
	switch {
	case req.handler.Requests.Suspect(b):
		return "SuspectRequest"
	case req.handler.Parts.Suspect(time.Now(), s, b.Organisation, b.Parts, b.Incarnation):
		return "SuspectPart"
	}
	return ""
}
