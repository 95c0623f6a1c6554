package placement

import (
	"time"

	"primrosecourse/pkg/site"
)

// homeCachedShares are the expected cached shares of the shared tokens at the homes, in the order of Request.Homes. The last one also
// applies to all further homes.
var homeCachedShares = [...]float64{0.9, 0.4}

// cachedPrefix is the expected cached part of a prompt at an endpoint.
type cachedPrefix struct {
	reason Reason
	// cachedShare is the cached share of the shared tokens, uncachedTokens the number of shared tokens that must be prefilled.
	cachedShare    float64
	uncachedTokens int
	// alwaysConsidered is true if the endpoint is considered without being sampled.
	alwaysConsidered bool
	// fetchTime is the time to fetch the stored part of the prompt over idle links.
	fetchTime time.Duration
	// stored is how many of the shared tokens the endpoint can fetch from KV stores.
	stored int
}

// estimateCachedPrefix returns what an endpoint probably has cached of the prompt, by a recent report of its cache if there is
// one, else by its position among the homes.
func (t *Table) estimateCachedPrefix(now time.Time, r *Request, e *site.Endpoint, s *endpointState) (x cachedPrefix) {
	x.reason = LeastLoad
	if len(r.Homes) > 0 {
		x.reason = Spill
	}
	for i, home := range r.Homes {
		if home == e.ID {
			x.reason, x.alwaysConsidered = Home, true
			x.cachedShare = homeCachedShares[min(i, len(homeCachedShares)-1)]
		}
	}
	x.stored, x.fetchTime = r.Stored, r.FetchTime
	if r.StoredAt != nil {
		x.stored, x.fetchTime = r.StoredAt(e)
	}
	x.uncachedTokens = int((1 - x.cachedShare) * float64(r.Shared-x.stored))
	if r.Parts == nil || r.Shared <= 0 {
		return x
	}
	if tokens, known := s.cachedTokens(now, r.Parts(e)); known {
		x.cachedShare = float64(tokens) / float64(r.Shared)
		x.uncachedTokens = r.Shared - max(tokens, x.stored)
		if tokens > 0 {
			x.reason, x.alwaysConsidered = Holder, true
		}
	}
	return x
}
