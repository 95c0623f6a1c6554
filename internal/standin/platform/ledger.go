package platform

import (
	"sync"
	"time"
)

// MaxLedger is the number of calls that the ledger keeps.
const MaxLedger = 100_000

// Call is one call that the platform answered.
type Call struct {
	// Sequence counts the calls from 1.
	Sequence uint64
	At       time.Time
	// Operation is Get, Put, Delete, List, Watch or Instances.
	Operation string
	Kind      string
	Name      string
	// Status is the HTTP status, also of a reply that was lost.
	Status int
	// Expected is the version that a write named, Version the one that the object has after the call.
	Expected uint64
	Version  uint64
}

type ledger struct {
	mu    sync.Mutex
	next  uint64
	calls []Call
}

func (l *ledger) add(c Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	c.Sequence = l.next
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
