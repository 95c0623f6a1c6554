package claim

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// TestShardIsStable guards against a change of the hash: entries and agents of two releases would compute different
// shards, and the records of orders that ran would not be found.
func TestShardIsStable(t *testing.T) {
	is := is.New(t)
	is.Equal(Shard("Org1", "order-17", 16), 15)
	var counts [16]int
	for i := range 16000 {
		counts[Shard("Org1", fmt.Sprint("key", i), 16)]++
	}
	for shard, n := range counts {
		if n < 800 || n > 1200 {
			t.Errorf("shard %d has %d of 16000 keys, want about 1000", shard, n)
		}
	}
	is.True(hashStrings("ab", "c") != hashStrings("a", "bc")) // boundaries between strings count
}

// TestOwnersMoveOnlyShardsOfRemovedEndpoint guards against takeovers of shards whose owner was not removed.
func TestOwnersMoveOnlyShardsOfRemovedEndpoint(t *testing.T) {
	is := is.New(t)
	all := []string{"Orders1", "Orders2", "Orders3"}
	first := map[string]int{}
	for shard := range 64 {
		owners := Owners(shard, all)
		first[owners[0]]++
		is.Equal(owners, Owners(shard, []string{"Orders3", "Orders1", "Orders2"}))
		rest := slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == owners[0] })
		is.Equal(Owners(shard, rest), owners[1:])
	}
	for _, name := range all {
		is.True(first[name] >= 8) // each endpoint is preferred for a fair number of shards
	}
	is.Equal(len(Owners(0, nil)), 0)
}
