package gateway

import "cmp"

// The memory of a gateway by part. Endpoints are not bounded, since each takes requests: ten thousand take up 20 MB, see
// BenchmarkEndpoints. From collected on the collector works harder.
const (
	// collectedShare is the part of the allowed memory from which the collector works harder; the rest is for stacks and for
	// bytes in the kernel.
	collectedShare = 0.6
	// connectionShare and heldShare are the parts of the allowed memory for connections of callers and for bodies of requests.
	connectionShare = 0.25
	heldShare       = 0.2
	// partShare is the part of the allowed memory for what KV stores hold, and partBytes what one part takes, with the growth of the
	// maps that hold them. See BenchmarkKnownParts of package kvstore.
	partShare = 0.1
	partBytes = 200
	// connectionBytes is what a connection takes: its buffers, the stacks of its goroutines, and the kernel's share. See
	// BenchmarkConnections of package front.
	connectionBytes = 32 << 10
	// fileReserve is the number of descriptors that the platform keeps for files.
	fileReserve = 200
	// callerShare is the part of the other descriptors for connections of callers; the rest is for endpoints and stores.
	callerShare = 0.6
)

// Budget is what a gateway may use.
type Budget struct {
	// CollectedBytes is the heap from which the collector works harder.
	CollectedBytes int64
	// Connections is the number of connections of callers.
	Connections int
	// HeldBytes bounds the bodies of the requests under way.
	HeldBytes int64
	// Parts bounds the parts in KV stores that are remembered.
	Parts int
}

// Budget divides what the process may use among its parts. What the settings do not bound has no bound, which is 0.
func (s *Settings) Budget() (b Budget) {
	memory := float64(s.MemoryMegabytes) * (1 << 20)
	b.CollectedBytes, b.HeldBytes = int64(collectedShare*memory), int64(heldShare*memory)
	if memory > 0 {
		b.Connections = int(max(1, connectionShare*memory/connectionBytes))
		b.Parts = int(max(1, partShare*memory/partBytes))
	}
	if s.MaxDescriptors > fileReserve {
		callers := int(callerShare * float64(s.MaxDescriptors-fileReserve))
		b.Connections = min(callers, cmp.Or(b.Connections, callers))
	}
	return b
}
