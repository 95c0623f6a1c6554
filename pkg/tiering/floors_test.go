package tiering_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"primrosecourse/pkg/tiering"
)

// TestUnusedAfterLastFetch guards against freeing a part that a fetch may still be reading, in whatever order gateways raise
// their floors, send them, lose messages and restart.
func TestUnusedAfterLastFetch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "others")]
		type gateway struct {
			floors      *tiering.Floors
			incarnation uint64
			lastFetch   time.Duration // latest end of the fetches of version 1 that it started
		}
		owner := &tiering.Floors{}
		others := map[string]*gateway{}
		for _, name := range names {
			others[name] = &gateway{floors: &tiering.Floors{}}
		}
		now := time.Hour
		ownLastFetch := time.Duration(0)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond
			g := others[names[rapid.IntRange(0, len(names)-1).Draw(t, "gateway")]]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1: // a fetch starts on g and on the owner if allowed
				if g.floors.Uses("M", 1) {
					g.lastFetch = now + tiering.TransferTimeout
				}
				if owner.Uses("M", 1) {
					ownLastFetch = now + tiering.TransferTimeout
				}
			case 2:
				g.floors.Raise("M", 2, now)
			case 3:
				owner.Raise("M", 2, now)
			case 4, 5: // the owner receives a message from g
				for name, other := range others {
					if other == g {
						owner.SetPeer(name, g.incarnation, g.floors.Own(), now)
					}
				}
			case 6: // g restarts, and learns of version 2 before it starts a fetch
				g.floors, g.incarnation = &tiering.Floors{}, g.incarnation+1
				g.floors.Raise("M", 2, now)
			}
			if !owner.Unused("M", 1, names, now) {
				continue
			}
			for name, other := range others {
				if now < other.lastFetch {
					t.Fatalf("version 1 is unused, but a fetch that %s started may run for another %v", name, other.lastFetch-now)
				}
			}
			if now < ownLastFetch {
				t.Fatalf("version 1 is unused, but a fetch of the owner may run for another %v", ownLastFetch-now)
			}
		}
	})
}

// TestAdopt guards against a gateway without access to the platform's store that prevents all others from freeing parts.
func TestAdopt(t *testing.T) {
	is := is.New(t)
	cutOff := &tiering.Floors{}
	cutOff.Raise("M", 1, 0)
	cutOff.SetPeer("a", 1, map[string]uint64{"M": 2, "N": 7}, time.Second)
	cutOff.SetPeer("b", 1, map[string]uint64{"M": 1}, time.Second)
	is.True(cutOff.Uses("M", 1))
	cutOff.Adopt(2 * time.Second)
	is.True(!cutOff.Uses("M", 1) && cutOff.Uses("M", 2) && !cutOff.Uses("N", 6))
	is.Equal(cutOff.Own(), map[string]uint64{"M": 2, "N": 7})
	is.True(!cutOff.Unused("M", 1, []string{"a"}, 2*time.Second+tiering.TransferTimeout)) // a fetch that it started may still run
	is.True(cutOff.Unused("M", 1, []string{"a"}, time.Minute))
}

// TestUnusedOfOlderVersion guards against retaining parts of a version that has long been below the floor because the floor
// has just risen again.
func TestUnusedOfOlderVersion(t *testing.T) {
	is := is.New(t)
	f := &tiering.Floors{}
	f.Raise("M", 2, 0)
	f.SetPeer("a", 1, map[string]uint64{"M": 2}, 0)
	f.Raise("M", 3, time.Minute)
	f.SetPeer("a", 1, map[string]uint64{"M": 4}, time.Minute)
	is.True(f.Unused("M", 1, []string{"a"}, time.Minute))
	is.True(!f.Unused("M", 2, []string{"a"}, time.Minute))
	is.True(f.Unused("M", 2, []string{"a"}, 2*time.Minute))
	is.True(!f.Unused("M", 3, []string{"a"}, 2*time.Minute))
}

// TestUnused guards against retaining parts that no gateway uses, and against freeing parts before every other gateway has
// sent its floors.
func TestUnused(t *testing.T) {
	is := is.New(t)
	f := &tiering.Floors{}
	f.Raise("M", 2, 0)
	f.SetPeer("a", 1, map[string]uint64{"M": 2}, time.Second)
	is.True(!f.Unused("M", 1, []string{"a"}, time.Second+tiering.TransferTimeout)) // a fetch that gateway a started may still run
	is.True(f.Unused("M", 1, []string{"a"}, 5*time.Second))
	is.True(!f.Unused("M", 2, []string{"a"}, time.Hour))
	is.True(!f.Unused("M", 1, []string{"a", "b"}, time.Hour))    // gateway b has sent no floors
	f.SetPeer("a", 2, map[string]uint64{}, 10*time.Second)       // gateway a restarted and has not learned of version 2
	f.SetPeer("a", 1, map[string]uint64{"M": 2}, 10*time.Second) // passed on late by another gateway
	is.True(!f.Unused("M", 1, []string{"a"}, time.Hour))
	f.RetainPeers(func(string) bool { return false })
	is.True(!f.Unused("M", 1, []string{"a"}, time.Hour))
	is.True(f.Unused("M", 1, nil, time.Hour)) // no other gateways
	f.Raise("M", 1, 0)
	is.True(f.Uses("M", 2) && !f.Uses("M", 1)) // a floor is never lowered
}
