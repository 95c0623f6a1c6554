package routing

import "sync"

// affinityPlaces is the number of ring places with a share of their own; all other places have a common last share.
const affinityPlaces = 4

// minAffinityShares are the lower bounds of the shares. Without them, a run of new prompts would remove the preference for the first
// places of the ring; returning prompts would then scatter over all places, so that the shares would never rise again.
var minAffinityShares = [affinityPlaces + 1]float64{0.25, 0.1, 0.05, 0.02, 0}

// Affinity estimates the share of a prompt's full blocks that is cached at an endpoint, by the place of the endpoint on the
// ring for the prompt's key. An entry that restarted has no hints, but these shares still give the first places a preference.
type Affinity struct {
	mu     sync.Mutex
	shares [affinityPlaces + 1]float64
}

// NewAffinity returns an Affinity that expects half of a prompt to be cached at the first place of the ring.
func NewAffinity() *Affinity {
	return &Affinity{shares: [affinityPlaces + 1]float64{0.5, 0.2, 0.1, 0.05, 0.02}}
}

// Share returns the expected share, from 0 to 1, at the given place, which is -1 for an endpoint that the ring did not list.
// It returns 0 if a is nil.
func (a *Affinity) Share(place int) float64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	i := shareIndex(place)
	return max(a.shares[i], minAffinityShares[i])
}

// Observe records that, of the tokens in the full blocks of a prompt, whose number is full, cached ones were cached at the place. Each
// observation has a weight of 1/64, so that the last 45 observations of a place outweigh all earlier ones.
func (a *Affinity) Observe(place, cached, full int) {
	if a == nil || full <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	i := shareIndex(place)
	a.shares[i] += (min(1, float64(cached)/float64(full)) - a.shares[i]) / 64
}

func shareIndex(place int) int {
	if place < 0 || place >= affinityPlaces {
		return affinityPlaces
	}
	return place
}
