package waves

import "cmp"

// Candidate is an endpoint that can be updated next.
type Candidate struct {
	Endpoint string
	// From is the weight version that the endpoint serves.
	From uint64
	// Held is the number of prompt tokens of the requests in flight there.
	Held int
}

// Compare returns a negative number if a is to be updated before b, and a positive number if it is to be updated after b. Endpoints with the
// oldest weights come first: while versions follow each other, they skip the ones between, and are not the last to give up a version that
// was replaced long ago. Of those, the endpoints with the fewest tokens in flight come first, since an endpoint finishes its requests
// before it loads weights and takes no others meanwhile.
func Compare(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Held, b.Held), cmp.Compare(a.Endpoint, b.Endpoint))
}
