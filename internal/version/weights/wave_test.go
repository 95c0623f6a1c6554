package weights

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/site"
)

// TestWaveSize guards against waves that leave too few engines for the load, and against a rollout that takes longer than 8 s, the time of
// the smallest sites, at 1.2 s for each wave.
func TestWaveSize(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 2, 9, 12, 44, 54, 128, 1000} {
		elapsed := time.Duration(0)
		for left := n; left > 0; elapsed += 1200 * time.Millisecond {
			wave := waveSize(n, elapsed)
			is.True(elapsed >= lateAfter || wave <= max(2, (n+3)/4))
			is.True(elapsed >= hurryAfter || wave <= max(2, n/5))
			left -= wave
		}
		is.True(elapsed <= 8*time.Second)
	}
}

// pendingView is a View of engines of which some have been left behind by two versions.
type pendingView struct{ snapshot *site.Snapshot }

func (v pendingView) Current() *site.Snapshot                  { return v.snapshot }
func (v pendingView) Rank(string) int                          { return 0 }
func (v pendingView) ReplacedFor(string, uint64) time.Duration { return 0 }

// TestOldestFirst guards against engines that load two versions in a row while others still have the oldest.
func TestOldestFirst(t *testing.T) {
	is := is.New(t)
	snapshot := &site.Snapshot{Configuration: site.NewConfiguration(1, nil, []site.Service{{Name: "S", Engine: &site.Engine{}}}, nil, site.Limits{}),
		Versions: map[string]uint64{"M": 3}, Endpoints: map[string][]*site.Endpoint{}}
	for id, version := range map[string]uint64{"a": 2, "b": 2, "c": 3, "x": 1, "y": 1} {
		snapshot.Endpoints["S"] = append(snapshot.Endpoints["S"], &site.Endpoint{ID: id, Service: "S",
			Models: []site.ModelVersion{{Model: "M", Version: version}}})
	}
	r := &Rollout{View: pendingView{snapshot}}
	var order []string
	for _, p := range r.pendingUpdates() {
		order = append(order, p.endpoint.ID)
	}
	is.Equal(order, []string{"x", "y", "a", "b"})
}
