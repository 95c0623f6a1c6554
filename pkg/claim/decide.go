package claim

import "time"

// Action is what the owner of a shard does with an incoming order.
type Action uint8

// The actions.
const (
	// DoClaim appends a Claimed record and sends the order once that is durable.
	DoClaim Action = iota
	// DoReplay gives the stored response.
	DoReplay
	// DoWait waits for the run of this incarnation.
	DoWait
	// DoUnknown answers that the outcome is unknown. The order is not sent.
	DoUnknown
	// DoRefuseReused answers that the key was used for another body, not run.
	DoRefuseReused
)

// Decide tells what the owner of incarnation does with an order, given the index of the shard. running tells whether
// this incarnation still works on the claim of the key; a claim that another incarnation made, or that this one no
// longer works on, is never sent again.
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

// MaySend tells whether the incarnation may send the order of a durable Claimed record: only its own claim, only once,
// and only before the caller's deadline, which is zero if there is none.
func MaySend(claimed Record, incarnation uint64, sent bool, now, deadline time.Time) bool {
	return claimed.Nonce.Incarnation == incarnation && !sent && (deadline.IsZero() || now.Before(deadline))
}

// Standing tells where an owner is after it read the segment that it had tried to change.
type Standing uint8

// The standings.
const (
	// Pending means that the segment is as before the write. The write may still take effect, but not after another one
	// with the same expected version did.
	Pending Standing = iota
	// Owning means that the segment changed and still belongs to this owner and term.
	Owning
	// Fenced means that another owner or term has the shard. No write of this term can take effect any more.
	Fenced
)

// Tail is the last segment of a shard as its owner knows it. Version is 0 if the object does not exist yet.
type Tail struct {
	Number  uint64
	Version uint64
	Segment Segment
}

// Settle compares the segment that was read after a failed or lost write with what the owner knew before it. durable
// holds those of the written records that are in the stored segment, found by kind and nonce; no other one may be
// treated as written. A Fenced owner may still send its own durable claims, because no other incarnation does.
func (t Tail) Settle(stored Segment, version uint64, written []Record) (standing Standing, durable []Record) {
	if version == t.Version {
		return Pending, nil
	}
	type id struct {
		kind  Kind
		nonce Nonce
	}
	found := make(map[id]bool, len(stored.Records))
	for _, r := range stored.Records {
		found[id{r.Kind, r.Nonce}] = true
	}
	for _, r := range written {
		if found[id{r.Kind, r.Nonce}] {
			durable = append(durable, r)
		}
	}
	if stored.Term != t.Segment.Term || stored.Incarnation != t.Segment.Incarnation {
		return Fenced, durable
	}
	return Owning, durable
}

// Next returns the segment after a sealed one of the same owner.
func (t Tail) Next() Tail {
	s := t.Segment
	s.Sealed, s.Records = false, nil
	return Tail{Number: t.Number + 1, Segment: s}
}

// Takeover returns the write by which owner takes the shard whose last segment is t: the same segment with a higher
// term, or the next one if t is sealed. A zero t stands for a shard without segments. Version is the expected version;
// once the write took effect, every write of an earlier owner fails.
func (t Tail) Takeover(owner string, incarnation uint64) Tail {
	if t.Number == 0 || t.Segment.Sealed {
		t = t.Next()
	}
	t.Segment.Term++
	t.Segment.Owner, t.Segment.Incarnation = owner, incarnation
	return t
}

// Stale tells that an owner which last confirmed its ownership at the given time must take the shard again before it
// claims. Creating a segment fences only as long as no later owner may have created and expired the same one.
func Stale(now, confirmed time.Time, retention time.Duration) bool {
	return now.Sub(confirmed) > retention/4
}

// Sealed is a sealed segment that may expire.
type Sealed struct {
	Number  uint64
	Version uint64
	Newest  time.Time
}

// Expired returns how many of the sealed segments, which are in order, may be deleted. The last segment of a shard is
// never among sealed, so that numbers and terms never start again.
func Expired(sealed []Sealed, now time.Time, retention time.Duration) (n int) {
	for n < len(sealed) && now.Sub(sealed[n].Newest) > retention {
		n++
	}
	return n
}
