package kvstore

import (
	"context"
	"time"
)

// Key identifies a part in a store.
type Key struct {
	Scope string
	ID    string
}

// Held is a complete part in a store.
type Held struct {
	Key    `msgpack:",inline"`
	Tokens int
}

// Unfinished is a part in a store that is being written, or whose save was broken off.
type Unfinished struct {
	Key `msgpack:",inline"`
	// Done is the number of tokens that have arrived, Reserved the number of tokens for which the part takes up room.
	Done, Reserved int
}

// Listing is the complete contents of a store.
type Listing struct {
	// Epoch differs after each restart of the store. Next is the number of the first event after the listing.
	Epoch      uint64
	Next       uint64
	Held       []Held
	Unfinished []Unfinished
	// Clock is the servers' time, or 0 if the response did not state it.
	Clock time.Duration
	// StoreEpoch and ConfirmedAt are set by other gateways only, whose Epoch is not the one of the store: the store's own epoch, and the
	// servers' time at which the store last confirmed it to that gateway, 0 if unknown.
	StoreEpoch  uint64
	ConfirmedAt time.Duration
}

// Change is a part that appeared or disappeared.
type Change struct {
	Held `msgpack:",inline"`
	Gone bool
}

// Changes is the response to a poll of a store's events.
type Changes struct {
	Epoch uint64
	// Next is the number of the event with which the next poll continues.
	Next uint64
	// Lost is set if the store no longer has some of the requested events.
	Lost    bool
	Changes []Change
	Clock   time.Duration // as in Listing
	// ConfirmedAt is as in Listing.
	ConfirmedAt time.Duration
}

// Stores is a client of KV stores.
type Stores interface {
	// List returns the complete contents of a store. It stalls the store.
	List(ctx context.Context, address string) (Listing, error)
	// Watch returns the changes of a store from event number since on. If there are none yet, the store delays its response by up to
	// wait.
	Watch(ctx context.Context, address string, since uint64, wait time.Duration) (Changes, error)
	// Free deletes parts at once, provided that the store's epoch is still the given one and the servers' clock has not passed until.
	Free(ctx context.Context, address string, parts []Key, epoch uint64, until time.Duration) error
}
