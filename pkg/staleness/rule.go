package staleness

import "time"

// Rule states until when requests may begin on replaced weights.
type Rule struct {
	// Limit is the time since a version was named from which no request may begin on an older one. 0 means no limit.
	Limit time.Duration
}

const (
	// slackShare is the share of the limit that must remain when a request is expected to begin, since it may begin later than expected.
	slackShare = 0.2
	// releaseShare is the share of the limit that must remain when a request begins.
	releaseShare = 0.05
	// startTime is how long a gateway that does not know the age of a version uses endpoints with older ones. Gateways that have just
	// started learn the age from others within a second; if all have just started, the first endpoints have loaded the version by then.
	startTime = 2 * time.Second
)

// MayBegin reports whether a request may be sent to an endpoint with an older version. age is the time since the version was named, begin the
// expected time until the request begins there.
func (r Rule) MayBegin(age, begin time.Duration) bool {
	return r.Limit == 0 || age+max(0, begin) <= r.LastSend()
}

// Remaining returns the time until a request that has not begun must leave an endpoint with an older version, at least 0: shortly before the
// limit, since the first gateway learns of a version some time after it was named. It must not be called without a limit.
func (r Rule) Remaining(age time.Duration) time.Duration {
	return max(0, r.Limit-time.Duration(releaseShare*float64(r.Limit))-age)
}

// LastSend returns the age of a version from which no request is sent to an endpoint with an older one, 0 if there is no limit.
func (r Rule) LastSend() time.Duration {
	return r.Limit - time.Duration(slackShare*float64(r.Limit))
}

// StartAge returns the age that a gateway assumes of a version that it did not see named.
func (r Rule) StartAge() time.Duration {
	return max(0, r.LastSend()-startTime)
}
