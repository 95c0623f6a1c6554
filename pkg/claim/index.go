package claim

import "time"

// Entry is the state of one order in the index of a shard. It is taken from the last record of the order that took effect.
type Entry struct {
	Digest Digest
	Nonce  Nonce
	// atMillis is the time of that record in Unix milliseconds, which takes 16 bytes less than a time.Time.
	atMillis int64
	// Segment is the number of the segment that contains that record.
	Segment uint64
	Kind    Kind
}

// At returns the time of the record from which the entry was taken.
func (e Entry) At() time.Time { return time.UnixMilli(e.atMillis).UTC() }

// Index is the state of every order in the log of a shard, without the responses. The zero value is an empty index. It is
// not safe for concurrent use.
type Index struct {
	entries map[Key]Entry
}

// Len returns the number of orders.
func (x *Index) Len() int { return len(x.entries) }

// Get returns the entry of key and whether there is one.
func (x *Index) Get(key Key) (Entry, bool) {
	e, ok := x.entries[key]
	return e, ok
}

// InForce reports whether the claim is the one in force for its key. Only then may its order be sent.
func (x *Index) InForce(claimed Record) bool {
	e, ok := x.Get(claimed.Key)
	return ok && e.Kind == Claimed && e.Nonce == claimed.Nonce
}

// Apply updates the index with the records of a segment, in order. It never replaces a Completed entry, and only the
// Abandoned record of the same claim releases a claimed key, so that a misplaced record never causes an order to run.
func (x *Index) Apply(segment uint64, records []Record) {
	if x.entries == nil {
		x.entries = make(map[Key]Entry)
	}
	for _, r := range records {
		if e, ok := x.entries[r.Key]; ok && !succeeds(e, r) {
			continue
		}
		x.entries[r.Key] = Entry{Digest: r.Digest, Nonce: r.Nonce, atMillis: r.At.UnixMilli(), Segment: segment, Kind: r.Kind}
	}
}

// succeeds reports whether record r replaces entry e. A Completed record replaces the entry of another claim too, since it
// proves that the order ran.
func succeeds(e Entry, r Record) bool {
	switch e.Kind {
	case Abandoned:
		return r.Kind != Abandoned
	case Claimed:
		return r.Kind == Completed || r.Kind == Abandoned && r.Nonce == e.Nonce
	}
	return false
}

// Expire deletes the entries that were taken from records older than retention.
func (x *Index) Expire(now time.Time, retention time.Duration) {
	limit := now.Add(-retention).UnixMilli()
	for k, e := range x.entries {
		if e.atMillis < limit {
			delete(x.entries, k)
		}
	}
}
