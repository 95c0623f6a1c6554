package forward

import (
	"cmp"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// denial is why a request is refused before an endpoint is chosen, and the answer to it.
type denial struct {
	status     int
	reason     string
	detail     string
	retryAfter time.Duration
}

// admit determines the route, organisation, timeout and service of the request. If it returns false, it has refused the
// request.
func (req *request) admit() bool {
	meta, err := req.handler.Codec.ParseRequest(req.incoming.Header)
	req.meta = meta
	if err != nil {
		req.refuse(http.StatusBadRequest, "BadHeader", err.Error(), 0)
		return false
	}
	d := req.identify()
	if d == nil {
		return true
	}
	req.refuse(d.status, d.reason, d.detail, d.retryAfter)
	return false
}

// identify determines what admit does, from the values of the request's header, without side effects. It returns why the request is refused,
// or nil if it is not.
func (req *request) identify() *denial {
	req.snapshot = req.handler.View.Current()
	c := req.snapshot.Configuration
	if c == nil {
		return &denial{http.StatusServiceUnavailable, "NoConfiguration", "no configuration received yet", time.Second}
	}
	if req.handler.Rollouts != nil && !req.handler.Rollouts.Ready() {
		return &denial{http.StatusServiceUnavailable, "NoRollouts", "rollouts are not known yet", time.Second}
	}
	stale := req.handler.View.ConfigurationAge() > maxConfigurationAge
	route, ok := c.Match(req.incoming.Host, req.incoming.Path)
	if !ok {
		return unknown(stale, http.StatusNotFound, "NoRoute")
	}
	req.route = route
	if c.NeedsCredential(route) {
		organisation, ok := c.Organisation(req.meta.Credential)
		if !ok {
			return unknown(stale, http.StatusUnauthorized, "UnknownCredential")
		}
		req.organisation = organisation
	} else if organisation, ok := c.Organisation(req.meta.Credential); ok {
		req.organisation = organisation
	}
	req.timeout = min(cmp.Or(req.meta.Timeout, defaultTimeout), cmp.Or(route.Timeout, defaultTimeout))
	req.service = pickService(route.Shares, req.draw())
	req.fingerprint = Fingerprint(req.incoming, req.organisation)
	if known, quarantined := req.handler.Requests.Quarantined(req.snapshot, req.fingerprint); quarantined {
		return &denial{http.StatusServiceUnavailable, "Quarantined", fmt.Sprintf("%d successive crashes, at %s", known.Count(),
			strings.Join(known.Endpoints, ", ")), quarantinedRetryAfter}
	}
	req.parts = req.partKeys()
	if retryAfter, quarantined := req.quarantinedPart(); quarantined {
		return &denial{http.StatusServiceUnavailable, "QuarantinedPart", "a part of the prompt crashed several endpoints", retryAfter}
	}
	return nil
}

// unknown returns the refusal of a request whose route or credential is missing from the configuration. If the configuration is stale,
// the caller is asked to retry, since a newer one may have what is missing.
func unknown(stale bool, status int, reason string) *denial {
	if stale {
		return &denial{http.StatusServiceUnavailable, reason + "Stale", "configuration was not confirmed recently", 500 * time.Millisecond}
	}
	return &denial{status: status, reason: reason}
}
