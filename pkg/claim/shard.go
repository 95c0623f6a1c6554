package claim

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Shard returns the shard, in [0, shards), of the order with the given organisation and idempotency key. All entries
// and agents must compute the same shard, so the number of shards must not change once orders have run. shards must be
// positive.
func Shard(organisation, key string, shards int) int {
	return int(hashStrings(organisation, key) % uint64(shards))
}

// Owners returns the endpoints in the order in which they are preferred as the owner of a shard, most preferred first, by
// rendezvous hashing. Removing an endpoint does not change the order of the others, so only the shards that prefer the
// removed endpoint move, each to the second endpoint in the order of that shard. The result does not depend on the order
// of the endpoints in the slice, which is not modified.
func Owners(shard int, endpoints []string) []string {
	type candidate struct {
		name  string
		score uint64
	}
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], uint64(shard))
	candidates := make([]candidate, 0, len(endpoints))
	for _, name := range endpoints {
		candidates = append(candidates, candidate{name: name, score: hashStrings(name, string(number[:]))})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(candidates))
	for i, c := range candidates {
		names[i] = c.name
	}
	return names
}

// hashStrings writes the length of each string before it, so that two different lists never give the same hash input.
func hashStrings(list ...string) uint64 {
	d := xxhash.New()
	var length [8]byte
	for _, s := range list {
		binary.BigEndian.PutUint64(length[:], uint64(len(s)))
		_, _ = d.Write(length[:])
		_, _ = d.WriteString(s)
	}
	return d.Sum64()
}
