package routing

import "sync"

// affinityPositions is the number of places of the ring that are told apart; all others share the last value.
const affinityPositions = 4

// affinityMinimum keeps the first places of the ring attractive after a run of new prompts. Without it the order of the
// ring would lose its effect, returning prompts would scatter, and the share would never rise again.
var affinityMinimum = [affinityPositions + 1]float64{0.25, 0.1, 0.05, 0.02, 0}

// Affinity learns what share of a prompt's full blocks is cached at an endpoint, by the place of the endpoint on the ring
// for the prompt's key. A restarted entry has no hints; the shares then still say what the order of the ring is worth.
type Affinity struct {
	mu     sync.Mutex
	shares [affinityPositions + 1]float64
}

// NewAffinity returns shares that expect half of a prompt at the first place of the ring.
func NewAffinity() *Affinity {
	return &Affinity{shares: [affinityPositions + 1]float64{0.5, 0.2, 0.1, 0.05, 0.02}}
}

// Share returns the expected share, from 0 to 1, at the given place, -1 for an endpoint that is not among the first.
func (a *Affinity) Share(place int) float64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	i := index(place)
	return max(a.shares[i], affinityMinimum[i])
}

// Observe records that a prompt with the given number of tokens in full blocks found cached ones at the place. Each
// observation counts a 64th, so that about a hundred requests outweigh the past.
func (a *Affinity) Observe(place, cached, full int) {
	if a == nil || full <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	i := index(place)
	a.shares[i] += (min(1, float64(cached)/float64(full)) - a.shares[i]) / 64
}

func index(place int) int {
	if place < 0 || place >= affinityPositions {
		return affinityPositions
	}
	return place
}
