package site

import "slices"

// maxMarkEndpoints is the maximum number of endpoints in a mark. More than a few add no information.
const maxMarkEndpoints = 8

// Mark is what is known of the endpoints that a request crashed. The zero value means that it crashed none.
type Mark struct {
	// Endpoints are the IDs of the endpoints that crashed while they ran the request, at most 8 of them, sorted.
	Endpoints []string
}

// Merge returns a mark with what both marks hold. It changes neither.
func (m Mark) Merge(other Mark) Mark {
	endpoints := slices.Concat(m.Endpoints, other.Endpoints)
	slices.Sort(endpoints)
	endpoints = slices.Compact(endpoints)
	return Mark{Endpoints: endpoints[:min(len(endpoints), maxMarkEndpoints)]}
}
