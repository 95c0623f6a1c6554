package claim

import "time"

// Action is what the owner of a shard does with an incoming order.
type Action uint8

// Actions of the owner of a shard.
const (
	// DoClaim means to append a Claimed record and to send the order once that record is durable.
	DoClaim Action = iota
	// DoReplay means to answer with the stored response.
	DoReplay
	// DoWait means to wait for the result of the run that this incarnation has started.
	DoWait
	// DoUnknown means to answer that the outcome is unknown, without sending the order.
	DoUnknown
	// DoRefuseReused means to answer that the key was already used for another request and that the order is not run.
	DoRefuseReused
)

// Decide returns what the owner of the shard, an agent of the given incarnation, does with an order. running is whether
// this incarnation is still processing its claim of the key. For a claim of another incarnation, or one that this incarnation no
// longer processes, the result is DoUnknown unless the claim was completed or abandoned, because the order may have been
// sent.
func (x *Index) Decide(key Key, digest Digest, incarnation uint64, running bool) Action {
	e, ok := x.Get(key)
	switch {
	case !ok:
		return DoClaim
	case e.Digest != digest:
		return DoRefuseReused
	case e.Kind == Abandoned:
		return DoClaim
	case e.Kind == Completed:
		return DoReplay
	case e.Nonce.Incarnation == incarnation && running:
		return DoWait
	}
	return DoUnknown
}

// MaySend reports whether the incarnation may send the order of a durable Claimed record: only if the claim is its own,
// only once, and only before the caller's deadline, which is zero if there is none.
func MaySend(claimed Record, incarnation uint64, sent bool, now, deadline time.Time) bool {
	return claimed.Nonce.Incarnation == incarnation && !sent && (deadline.IsZero() || now.Before(deadline))
}

// Standing is the result of reading a segment again after an attempt to change it.
type Standing uint8

// Standings of an owner.
const (
	// Pending means that the segment has not changed since before the write. The write may still take effect, unless
	// another write with the same expected version takes effect first.
	Pending Standing = iota
	// Owning means that the segment has changed and still has the term and the incarnation of this owner.
	Owning
	// Fenced means that the shard has been taken over with another term or by another incarnation. No write of the earlier
	// term can take effect any more.
	Fenced
)

// Tail is the last segment of a shard: as its owner last wrote or read it, or as it is to be written next. Version is the
// current version of the object, 0 if the object does not exist yet.
type Tail struct {
	Number  uint64
	Version uint64
	Segment Segment
}

// Settle compares t, the tail before a write that failed or whose response was lost, with the segment that was read after
// the write. durable contains those of the written records that are in the stored segment, matched by kind and nonce; no
// other record may be treated as written. A Fenced owner may still send the orders of its own durable claims, because no
// other incarnation sends them.
func (t Tail) Settle(stored Segment, version uint64, written []Record) (standing Standing, durable []Record) {
	if version == t.Version {
		return Pending, nil
	}
	type recordID struct {
		kind  Kind
		nonce Nonce
	}
	found := make(map[recordID]bool, len(stored.Records))
	for _, r := range stored.Records {
		found[recordID{r.Kind, r.Nonce}] = true
	}
	for _, r := range written {
		if found[recordID{r.Kind, r.Nonce}] {
			durable = append(durable, r)
		}
	}
	if stored.Term != t.Segment.Term || stored.Incarnation != t.Segment.Incarnation {
		return Fenced, durable
	}
	return Owning, durable
}

// Next returns the tail for the empty segment that follows t, with the same owner and term. The object of the new segment
// does not exist yet.
func (t Tail) Next() Tail {
	s := t.Segment
	s.Sealed, s.Records = false, nil
	return Tail{Number: t.Number + 1, Segment: s}
}

// Takeover returns the write by which owner takes over the shard whose last segment is t: the same segment with a higher
// term, or the next segment if t is sealed. A zero t means a shard without segments. The Version of the result is the
// expected version of the conditional update. Once the write has taken effect, every write of an earlier owner fails, as
// long as the written segment exists (see Stale).
func (t Tail) Takeover(owner string, incarnation uint64) Tail {
	if t.Number == 0 || t.Segment.Sealed {
		t = t.Next()
	}
	t.Segment.Term++
	t.Segment.Owner, t.Segment.Incarnation = owner, incarnation
	return t
}

// Stale reports whether an owner that last confirmed its ownership at the time confirmed must take over the shard again
// before it writes another record. The limit is a quarter of retention: creating the next segment fails for an outdated
// owner only while that segment exists, and a later owner may have created it, sealed it and deleted it again after
// retention.
func Stale(now, confirmed time.Time, retention time.Duration) bool {
	return now.Sub(confirmed) > retention/4
}

// Sealed describes a sealed segment that can expire. Newest is the time of its newest record.
type Sealed struct {
	Number  uint64
	Version uint64
	Newest  time.Time
}

// Expired returns how many of the sealed segments, counted from the first, may be deleted. The segments must be in order
// of their numbers. The last segment of a shard must not be among them, so that segment numbers and terms are never reused.
func Expired(sealed []Sealed, now time.Time, retention time.Duration) (n int) {
	for n < len(sealed) && now.Sub(sealed[n].Newest) > retention {
		n++
	}
	return n
}
