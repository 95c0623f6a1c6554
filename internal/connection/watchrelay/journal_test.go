package watchrelay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestJournalKeepsLastValuesOnly guards against a gateway whose memory grows by each version of a large configuration until it is killed.
func TestJournalKeepsLastValuesOnly(t *testing.T) {
	is := is.New(t)
	j := newJournal()
	j.replace(nil, 1, time.Second)
	const size, versions = 736_000, 300
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := heap()
	for n := range uint64(versions) {
		j.update(n+1, []Change{{Name: "main", Revision: n + 2, Value: bytes.Repeat([]byte("x"), size)}}, n+2, time.Second)
	}
	is.True(heap()-before < 4*size)
	a, _, ok := j.since(1, 0)
	is.True(ok && !a.Gap)
	is.Equal(a.Revisions, []uint64{versions + 1})
	is.Equal(a.valueBytes(), size)
}

// TestJournalAfterAnyRevision guards against a gateway that is told of another state than the store's after it missed some changes, or of changes
// twice.
func TestJournalAfterAnyRevision(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 0))
			j := newJournal()
			j.replace(nil, 1, time.Second)
			state := map[string]string{}
			history := []map[string]string{nil, maps.Clone(state)} // by revision
			for revision := uint64(1); revision < 200; {
				after := revision
				var changes []Change
				for range 1 + random.IntN(3) {
					revision++
					c := Change{Name: fmt.Sprint("o", random.IntN(5)), Revision: revision, Removed: random.IntN(3) == 0}
					if delete(state, c.Name); !c.Removed {
						c.Value = json.RawMessage(fmt.Sprint(revision))
						state[c.Name] = string(c.Value)
					}
					changes = append(changes, c)
					history = append(history, maps.Clone(state))
				}
				j.update(after, changes, revision, time.Second)
			}
			for after := 1; after < len(history); after++ {
				a, _, ok := j.since(uint64(after), 0)
				is.True(ok && !a.Gap)
				list, err := a.changes()
				is.NoErr(err)
				told, names := maps.Clone(history[after]), map[string]bool{}
				last := uint64(0)
				for _, c := range list {
					is.True(!names[c.Name] && c.Revision > last)
					names[c.Name], last = true, c.Revision
					if delete(told, c.Name); !c.Removed {
						told[c.Name] = string(c.Value)
					}
				}
				is.True(maps.Equal(told, state))
			}
		})
	}
}
