package kvstore

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"primrosecourse/pkg/bounded"
)

// FuzzRelayed guards against an answer of another gateway that reads a store which stops this one.
func FuzzRelayed(f *testing.F) {
	part := Held{Key: Key{Scope: "Shared/m/1", ID: "a"}, Tokens: 300}
	for _, v := range []any{Listing{Epoch: 1, Next: 2, Held: []Held{part}, Unfinished: []Unfinished{{Reserved: 5}}, Clock: 7},
		Changes{Epoch: 1, Next: 2, Changes: []Change{{Held: part}, {Held: part, Gone: true}}}} {
		b, err := msgpack.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte("\x81\xa4Held\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > 1<<16 {
			return
		}
		var l Listing
		if bounded.UnmarshalMax(b, maxRelayedValues, &l) == nil && len(l.Held)+len(l.Unfinished) > len(b) {
			t.Fatalf("%d parts in %d bytes", len(l.Held)+len(l.Unfinished), len(b))
		}
		var c Changes
		if bounded.UnmarshalMax(b, maxRelayedValues, &c) != nil {
			return
		}
		log := changeLog{}
		log.reset()
		log.add(c.Changes)
		if len(log.changes) > maxRelayedChanges {
			t.Fatalf("%d changes are kept", len(log.changes))
		}
	})
}
