package platform

import (
	"sync"
	"time"
)

// MaxLedger is the maximum number of calls in the ledger.
const MaxLedger = 100_000

// Call is the ledger entry of one call. A call that an injected fault refuses is not in the ledger.
type Call struct {
	// Sequence is the number of the call, from 1.
	Sequence uint64
	At       time.Time
	// Operation is Get, Put, Delete, List, Watch or Instances.
	Operation string
	Kind      string
	Name      string
	// Status is the HTTP status, even if a fault lost the response.
	Status int
	// Expected is the version on which a write is conditional, Version the version in the response.
	Expected uint64
	Version  uint64
}

type ledger struct {
	mu       sync.Mutex
	sequence uint64
	calls    []Call
}

func (l *ledger) add(c Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	c.Sequence = l.sequence
	if len(l.calls) >= MaxLedger {
		l.calls = l.calls[1:]
	}
	l.calls = append(l.calls, c)
}

func (l *ledger) list() []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Call{}, l.calls...)
}
