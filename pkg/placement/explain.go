package placement

import (
	"slices"
	"time"

	"primrosecourse/pkg/site"
)

// Explained is what a choice depends on at one endpoint.
type Explained struct {
	Endpoint *site.Endpoint
	// Excluded is why the endpoint is not considered, empty if it is.
	Excluded string
	// Cost is the cost of the endpoint and Choice what is expected there. They are zero if the endpoint was excluded before they were known.
	Cost   time.Duration
	Choice Choice
}

// Explain chooses as Choose does, but among all candidates instead of a sample, and returns what the choice depends on. Nothing is recorded.
func (t *Table) Explain(now time.Time, r *Request, candidates []*site.Endpoint) (choice Choice, refusal *Refusal, list []Explained) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := *r
	all.considerAll, all.notAdmitted, all.rateWait, all.explained = true, nil, 0, &list
	all.uneven = t.statesSlowness(now, candidates)
	choice, refusal = t.choose(now, &all, candidates)
	for i := range list {
		if slices.Contains(all.notAdmitted, list[i].Endpoint.ID) {
			list[i].Excluded = RateLimited.String()
		}
	}
	return choice, refusal, list
}

// explain records what the choice depends on at an endpoint, if that is wanted.
func (r *Request) explain(e *site.Endpoint, excluded string, cost time.Duration, choice Choice) {
	if r.explained != nil {
		*r.explained = append(*r.explained, Explained{Endpoint: e, Excluded: excluded, Cost: cost, Choice: choice})
	}
}
