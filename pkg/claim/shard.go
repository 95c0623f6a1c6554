package claim

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Shard returns the shard, in [0, shards), that holds the orders of an organisation's key. All entries and agents must
// agree on it, so shards cannot change once orders have run. shards must be positive.
func Shard(organisation, key string, shards int) int {
	return int(hashStrings(organisation, key) % uint64(shards))
}

// Owners returns the endpoints in the order in which they are preferred as the owner of shard, most preferred first
// (rendezvous hashing). When an endpoint leaves, only its own shards move, each to the next in its order. The result
// depends on the set of endpoints only, not on their order in the slice, which is left as it is.
func Owners(shard int, endpoints []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], uint64(shard))
	all := make([]scored, 0, len(endpoints))
	for _, name := range endpoints {
		all = append(all, scored{name: name, score: hashStrings(name, string(number[:]))})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(all))
	for i, s := range all {
		names[i] = s.name
	}
	return names
}

// hashStrings puts the length of each string first, so that two different lists never give the same input.
func hashStrings(list ...string) uint64 {
	d := xxhash.New()
	var n [8]byte
	for _, s := range list {
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(s)
	}
	return d.Sum64()
}
