package tiering_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"primrosecourse/pkg/tiering"
)

// TestUnusedAfterLastFetch guards against freeing a part that a fetch may be reading: whatever order gateways raise their floors,
// tell of it, lose messages and start again in.
func TestUnusedAfterLastFetch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "others")]
		type gateway struct {
			floors      *tiering.Floors
			incarnation uint64
			lastFetch   time.Duration // the end of the last fetch of version 1 that it may have begun
		}
		owner := &tiering.Floors{}
		others := map[string]*gateway{}
		for _, name := range names {
			others[name] = &gateway{floors: &tiering.Floors{}}
		}
		now := time.Hour
		ownLast := time.Duration(0)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond
			g := others[names[rapid.IntRange(0, len(names)-1).Draw(t, "gateway")]]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1: // it begins a fetch, if it may
				if g.floors.Uses("M", 1) {
					g.lastFetch = now + tiering.TransferTime
				}
				if owner.Uses("M", 1) {
					ownLast = now + tiering.TransferTime
				}
			case 2:
				g.floors.Raise("M", 2, now)
			case 3:
				owner.Raise("M", 2, now)
			case 4, 5: // a message that arrives
				for name, o := range others {
					if o == g {
						owner.Heard(name, g.incarnation, g.floors.Own(), now)
					}
				}
			case 6: // it starts again, and learns of the version before it begins a fetch
				g.floors, g.incarnation = &tiering.Floors{}, g.incarnation+1
				g.floors.Raise("M", 2, now)
			}
			if !owner.Unused("M", 1, names, now) {
				continue
			}
			for name, o := range others {
				if now < o.lastFetch {
					t.Fatalf("a fetch that %s began may go on for %v", name, o.lastFetch-now)
				}
			}
			if now < ownLast {
				t.Fatalf("a fetch of its own may go on for %v", ownLast-now)
			}
		}
	})
}

// TestAdopt guards against one gateway that is cut off from the platform's store keeping all others from freeing parts.
func TestAdopt(t *testing.T) {
	is := is.New(t)
	cutOff := &tiering.Floors{}
	cutOff.Raise("M", 1, 0)
	cutOff.Heard("a", 1, map[string]uint64{"M": 2, "N": 7}, time.Second)
	cutOff.Heard("b", 1, map[string]uint64{"M": 1}, time.Second)
	is.True(cutOff.Uses("M", 1))
	cutOff.Adopt(2 * time.Second)
	is.True(!cutOff.Uses("M", 1) && cutOff.Uses("M", 2) && !cutOff.Uses("N", 6))
	is.Equal(cutOff.Own(), map[string]uint64{"M": 2, "N": 7})
	is.True(!cutOff.Unused("M", 1, []string{"a"}, 2*time.Second+tiering.TransferTime)) // a fetch that it began may go on
	is.True(cutOff.Unused("M", 1, []string{"a"}, time.Minute))
}

// TestUnusedOfOlderVersion guards against parts of a version given up long ago that are kept since a later one was given up just now.
func TestUnusedOfOlderVersion(t *testing.T) {
	is := is.New(t)
	f := &tiering.Floors{}
	f.Raise("M", 2, 0)
	f.Heard("a", 1, map[string]uint64{"M": 2}, 0)
	f.Raise("M", 3, time.Minute)
	f.Heard("a", 1, map[string]uint64{"M": 4}, time.Minute)
	is.True(f.Unused("M", 1, []string{"a"}, time.Minute))
	is.True(!f.Unused("M", 2, []string{"a"}, time.Minute))
	is.True(f.Unused("M", 2, []string{"a"}, 2*time.Minute))
	is.True(!f.Unused("M", 3, []string{"a"}, 2*time.Minute))
}

// TestUnused guards against parts that are kept although nobody uses them, and against counting on a gateway that has said
// nothing.
func TestUnused(t *testing.T) {
	is := is.New(t)
	f := &tiering.Floors{}
	f.Raise("M", 2, 0)
	f.Heard("a", 1, map[string]uint64{"M": 2}, time.Second)
	is.True(!f.Unused("M", 1, []string{"a"}, time.Second+tiering.TransferTime)) // a fetch that a began may go on
	is.True(f.Unused("M", 1, []string{"a"}, 5*time.Second))
	is.True(!f.Unused("M", 2, []string{"a"}, time.Hour))
	is.True(!f.Unused("M", 1, []string{"a", "b"}, time.Hour)) // b has not been heard
	f.Heard("a", 2, map[string]uint64{}, 10*time.Second)      // a started again and has not learned of the version
	is.True(!f.Unused("M", 1, []string{"a"}, time.Hour))
	f.Keep(func(string) bool { return false })
	is.True(!f.Unused("M", 1, []string{"a"}, time.Hour))
	is.True(f.Unused("M", 1, nil, time.Hour)) // nobody else is there
	f.Raise("M", 1, 0)
	is.True(f.Uses("M", 2) && !f.Uses("M", 1)) // a floor does not sink
}
