// Package budget divides the memory and descriptors that a process may use among what callers make it hold: connections, requests, answers and
// records.
//
// Each part has a fixed share. The shares leave room for the program, for garbage that has not been collected, and for kernel buffers. The
// package measures nothing and enforces nothing: Bound sets the limits of a server for callers, and the other fields are applied by the
// process.
//
// # Usage
//
//	b := budget.New(megabytes, descriptors)
//	debug.SetMemoryLimit(b.MemoryLimitBytes)
//	b.Bound(server)
package budget

import (
	"cmp"

	"primrosecourse/internal/connection/front"
	"primrosecourse/internal/connection/sockets"
)

// The shares of the allowed memory and descriptors. The memory for endpoints is not bounded, since each endpoint may serve
// requests: ten thousand endpoints take 20 MB, see BenchmarkEndpoints.
const (
	// programBytes is the memory that the program takes up outside the runtime's heap and stacks, mostly its code: with the heap at its limit, 15 MB
	// were resident beyond it. The shares are those of the rest, which is at least three quarters.
	programBytes = 16 << 20
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
	// freeBodyBytes is the part of each body that connectionBytes includes.
	freeBodyBytes = 8 << 10
	// turnShare is the share of the connections of callers that may have a request in progress that was sent before the answer to the one before
	// on the same connection. Callers that send without reading answers leave the rest of the processor and of the endpoints to others.
	turnShare = 1.0 / 32
	minTurns  = 4
	// readinessShare is the share of the connections and of the request memory of callers that the readiness port has in addition.
	// minReadinessConnections is enough for several load balancers, minReadinessBytes for a header of the default limit in short fields.
	readinessShare          = 1.0 / 16
	minReadinessConnections = 32
	minReadinessBytes       = 1 << 20
	// fileReserve is the number of descriptors that are set aside for files. The limits on connections do not use them.
	fileReserve = 200
	// callerShare is the share of the other descriptors for connections of callers. The rest is for connections to endpoints
	// and stores.
	callerShare = 0.6
)

// Budget holds the limits of a process on memory, connections and recorded parts.
type Budget struct {
	// MemoryLimitBytes is the soft memory limit of the Go runtime, from which the garbage collector runs more often.
	MemoryLimitBytes int64
	// Connections bounds the connections of callers.
	Connections int
	// HeldBytes bounds the memory for the headers and bodies of requests. FreeBytes of each body are not counted.
	HeldBytes, FreeBytes int64
	// SocketBytes bounds what the kernel holds for a connection in each direction, and Turns bounds the pipelined requests in progress.
	SocketBytes, Turns int
	// AnswerBytes bounds the memory for the answers of endpoints, beyond a small allowance for each.
	AnswerBytes int64
	// KVParts bounds the index of the parts in KV stores.
	KVParts int
}

// New divides the given memory and descriptors. 0 stands for no limit; the fields for a resource without a limit are 0. At most fileReserve
// descriptors count as no limit, since connections would get none.
func New(megabytes, descriptors int) (b Budget) {
	memory := float64(megabytes) * (1 << 20)
	memory -= min(programBytes, memory/4)
	b.MemoryLimitBytes, b.HeldBytes = int64(memoryLimitShare*memory), int64(bodyShare*memory)
	b.AnswerBytes = int64(answerShare * memory)
	if memory > 0 {
		b.Connections = int(max(1, connectionShare*memory/connectionBytes))
		b.KVParts = int(max(1, kvPartShare*memory/kvPartBytes))
	}
	if descriptors > fileReserve {
		callers := int(callerShare * float64(descriptors-fileReserve))
		b.Connections = min(callers, cmp.Or(b.Connections, callers))
	}
	if memory > 0 {
		b.SocketBytes = sockets.Bytes
		b.FreeBytes = freeBodyBytes
		b.Turns = max(minTurns, int(turnShare*float64(b.Connections)))
	}
	return b
}

// Readiness returns the part of the budget for the connections at the readiness port.
func (b Budget) Readiness() Budget {
	r := Budget{FreeBytes: b.FreeBytes, SocketBytes: b.SocketBytes, Turns: min(b.Turns, minTurns)}
	if b.Connections > 0 {
		r.Connections = max(1, min(minReadinessConnections, b.Connections/2), int(readinessShare*float64(b.Connections)))
	}
	if b.HeldBytes > 0 {
		r.HeldBytes = max(minReadinessBytes, int64(readinessShare*float64(b.HeldBytes)))
	}
	return r
}

// Bound sets the limits of a server. Those that the budget leaves 0 are not bounded.
func (b Budget) Bound(s *front.Server) {
	s.MaxConnections, s.MaxHeldBytes, s.FreeBytes = b.Connections, b.HeldBytes, b.FreeBytes
	s.SocketBytes, s.Turns = b.SocketBytes, b.Turns
}
