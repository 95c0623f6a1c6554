package claim

import "time"

// Entry is what the index of a shard knows of an order.
type Entry struct {
	Digest Digest
	Nonce  Nonce
	// at is in Unix milliseconds: 16 bytes less than a time.Time.
	at int64
	// Segment is the number of the segment that holds the last record.
	Segment uint64
	Kind    Kind
}

// At is the time of the last record.
func (e Entry) At() time.Time { return time.UnixMilli(e.at).UTC() }

// Index holds the state of every order in the log of a shard. It does not hold responses. The zero value is empty; one
// goroutine at a time may use it.
type Index struct {
	entries map[Key]Entry
}

// Len returns the number of orders.
func (x *Index) Len() int { return len(x.entries) }

// Get returns the entry of key.
func (x *Index) Get(key Key) (Entry, bool) {
	e, ok := x.entries[key]
	return e, ok
}

// Holds tells whether the claim is the one in force for its key: only then may its order be sent.
func (x *Index) Holds(claimed Record) bool {
	e, ok := x.Get(claimed.Key)
	return ok && e.Kind == Claimed && e.Nonce == claimed.Nonce
}

// Apply takes the records of a segment in order. It never replaces a Completed entry, and nothing but the Abandoned
// record of the same claim frees a claimed key, so that a record that should not be there never makes an order run.
func (x *Index) Apply(segment uint64, records []Record) {
	if x.entries == nil {
		x.entries = make(map[Key]Entry)
	}
	for _, r := range records {
		if e, ok := x.entries[r.Key]; ok && !succeeds(e, r) {
			continue
		}
		x.entries[r.Key] = Entry{Digest: r.Digest, Nonce: r.Nonce, at: r.At.UnixMilli(), Segment: segment, Kind: r.Kind}
	}
}

// succeeds tells whether r may follow e. A Completed record of another claim is proof that the order ran.
func succeeds(e Entry, r Record) bool {
	switch e.Kind {
	case Abandoned:
		return r.Kind != Abandoned
	case Claimed:
		return r.Kind == Completed || r.Kind == Abandoned && r.Nonce == e.Nonce
	}
	return false
}

// Expire forgets the orders whose last record is older than retention.
func (x *Index) Expire(now time.Time, retention time.Duration) {
	limit := now.Add(-retention).UnixMilli()
	for k, e := range x.entries {
		if e.at < limit {
			delete(x.entries, k)
		}
	}
}
