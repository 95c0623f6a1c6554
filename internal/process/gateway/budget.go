package gateway

import "cmp"

// The shares of the allowed memory and descriptors. The memory for endpoints is not bounded, since each endpoint may serve
// requests: ten thousand endpoints take 20 MB, see BenchmarkEndpoints.
const (
	// memoryLimitShare is the share of the allowed memory that is the soft memory limit of the Go runtime, from which the garbage
	// collector runs more often. The rest is reserved for kernel buffers and other memory outside the runtime.
	memoryLimitShare = 0.6
	// connectionShare and bodyShare are the shares of the allowed memory for connections of callers and for request bodies.
	connectionShare = 0.25
	bodyShare       = 0.2
	// answerShare is the share of the allowed memory for answers of endpoints that need more than a few kilobytes.
	answerShare = 0.05
	// kvPartShare is the share of the allowed memory for the index of the parts in KV stores, and kvPartBytes the memory for one
	// part, including the growth of the maps of the index. See BenchmarkKnownParts of package kvstore.
	kvPartShare = 0.1
	kvPartBytes = 200
	// connectionBytes is the memory for one connection: its buffers, the stacks of its goroutines, and its kernel buffers. See
	// BenchmarkConnections of package front.
	connectionBytes = 32 << 10
	// fileReserve is the number of descriptors that are set aside for files. The limits on connections do not use them.
	fileReserve = 200
	// callerShare is the share of the other descriptors for connections of callers. The rest is for connections to endpoints
	// and stores.
	callerShare = 0.6
)

// Budget holds the limits of a gateway on memory, connections and recorded parts.
type Budget struct {
	// MemoryLimitBytes is the soft memory limit of the Go runtime, from which the garbage collector runs more often.
	MemoryLimitBytes int64
	// Connections bounds the connections of callers.
	Connections int
	// HeldBytes bounds the bytes of the request bodies in memory.
	HeldBytes int64
	// AnswerBytes bounds the memory for the answers of endpoints, beyond a small allowance for each.
	AnswerBytes int64
	// KVParts bounds the index of the parts in KV stores.
	KVParts int
}

// Budget divides the memory and descriptors that the settings allow. A field is 0, for no bound, if the settings do not bound
// its resource. A MaxDescriptors of fileReserve+1 or less, which a settings file cannot set, counts as
// no bound.
func (s *Settings) Budget() (b Budget) {
	memory := float64(s.MemoryMegabytes) * (1 << 20)
	b.MemoryLimitBytes, b.HeldBytes = int64(memoryLimitShare*memory), int64(bodyShare*memory)
	b.AnswerBytes = int64(answerShare * memory)
	if memory > 0 {
		b.Connections = int(max(1, connectionShare*memory/connectionBytes))
		b.KVParts = int(max(1, kvPartShare*memory/kvPartBytes))
	}
	if s.MaxDescriptors > fileReserve {
		callers := int(callerShare * float64(s.MaxDescriptors-fileReserve))
		b.Connections = min(callers, cmp.Or(b.Connections, callers))
	}
	return b
}
