package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Evidence is what is known of the crashes of endpoints that ran a request. The zero value means that none is known.
type Evidence struct {
	// Endpoints are the incarnations of endpoints that crashed while they ran the request, at most 8 of them, sorted.
	Endpoints []string
	// Crashes is the number of successive crashes, see Successive. 0 stands for that of Endpoints.
	Crashes int `json:",omitempty"`
}

// Count returns the number of successive crashes.
func (e Evidence) Count() int { return cmp.Or(e.Crashes, len(e.Endpoints)) }

// Merge returns what both pieces of evidence hold. It changes neither.
func (e Evidence) Merge(other Evidence) Evidence {
	endpoints := slices.Concat(e.Endpoints, other.Endpoints)
	slices.Sort(endpoints)
	endpoints = slices.Compact(endpoints)
	return Evidence{Endpoints: endpoints[:min(len(endpoints), maxEndpoints)], Crashes: max(e.Count(), other.Count())}
}

// Within reports whether all endpoints are among those of other, so that it adds nothing to it.
func (e Evidence) Within(other Evidence) bool {
	return !slices.ContainsFunc(e.Endpoints, func(endpoint string) bool { return !slices.Contains(other.Endpoints, endpoint) })
}

// Run is a run of a request at an endpoint that crashed.
type Run struct {
	Fingerprint uint64
	// Endpoint is the incarnation of the endpoint.
	Endpoint string
	// Began and Ended are when the run began and when its connection broke.
	Began, Ended time.Time
	// Known is what was known of the request when the run began.
	Known Evidence
}

// Successive returns the number of successive crashes of a request: the length of the longest chain of crashed endpoints in which each
// run began after the crash before was seen or known, and ended at least apart after it. Endpoints that crash together count once, since
// they have a cause in common, whatever they run.
func Successive(runs []Run, apart time.Duration) (n int) {
	runs = slices.Clone(runs)
	slices.SortFunc(runs, func(a, b Run) int { return a.Ended.Compare(b.Ended) })
	chain := make([]int, len(runs))
	for i, r := range runs {
		chain[i] = r.Known.Count() + 1
		for j, before := range runs[:i] {
			if before.Endpoint != r.Endpoint && !before.Ended.After(r.Began) && r.Ended.Sub(before.Ended) >= apart {
				chain[i] = max(chain[i], chain[j]+1)
			}
		}
		n = max(n, chain[i])
	}
	return n
}
