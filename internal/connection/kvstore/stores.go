package kvstore

import (
	"context"
	"time"
)

// Key names a part in a store.
type Key struct {
	Scope string
	ID    string
}

// Held is a whole part in a store.
type Held struct {
	Key    `msgpack:",inline"`
	Tokens int
}

// Unfinished is a part that is being written, or whose save broke off.
type Unfinished struct {
	Key `msgpack:",inline"`
	// Done is the number of tokens that have arrived, Reserved what the part takes up.
	Done, Reserved int
}

// Listing is all that a store holds.
type Listing struct {
	// Epoch differs after each restart, Next is where events go on.
	Epoch      uint64
	Next       uint64
	Held       []Held
	Unfinished []Unfinished
	// Clock is the time of the servers, 0 if it was not stated.
	Clock time.Duration
}

// Change is a part that appeared or disappeared.
type Change struct {
	Held `msgpack:",inline"`
	Gone bool
}

// Changes is what changed at a store.
type Changes struct {
	Epoch uint64
	Next  uint64
	// Lost tells that some events were not kept.
	Lost    bool
	Changes []Change
	Clock   time.Duration
}

// Stores calls KV stores.
type Stores interface {
	// List returns all that a store holds. It stalls the store.
	List(ctx context.Context, address string) (Listing, error)
	// Watch returns what changed after an event, waiting for some.
	Watch(ctx context.Context, address string, since uint64, wait time.Duration) (Changes, error)
	// Free drops parts at once, if the epoch is still the same and the servers' clock has not passed until.
	Free(ctx context.Context, address string, parts []Key, epoch uint64, until time.Duration) error
}
