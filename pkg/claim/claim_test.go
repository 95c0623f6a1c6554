package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start      = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	ownNonce   = Nonce{Incarnation: 7, Sequence: 1}
	otherNonce = Nonce{Incarnation: 8, Sequence: 1}
	keyA       = KeyOf("Org1", "a")
	digestA    = DigestOf("Orders", "POST", "/orders", []byte("a"))
	digestB    = DigestOf("Orders", "POST", "/orders", []byte("b"))
)

// TestDecide guards against sending an order a second time and against not sending one whose key is unused
// or whose claim was abandoned.
func TestDecide(t *testing.T) {
	claimed, otherClaimed := NewClaim(keyA, digestA, ownNonce, start), NewClaim(keyA, digestA, otherNonce, start)
	completed := claimed.Complete(start, 201, "text/plain", []byte("1"))
	for _, c := range []struct {
		name    string
		log     []Record
		digest  Digest
		running bool
		want    Action
	}{
		{"unknown key", nil, digestA, false, DoClaim},
		{"claimed by this incarnation, running", []Record{claimed}, digestA, true, DoWait},
		{"claimed by this incarnation, no longer running", []Record{claimed}, digestA, false, DoUnknown},
		{"claimed by another incarnation", []Record{otherClaimed}, digestA, false, DoUnknown},
		{"claimed by another incarnation, key running in this one", []Record{otherClaimed}, digestA, true, DoUnknown},
		{"completed", []Record{claimed, completed}, digestA, false, DoReplay},
		{"abandoned", []Record{claimed, claimed.Abandon(start)}, digestA, false, DoClaim},
		{"abandoned by another incarnation", []Record{otherClaimed, otherClaimed.Abandon(start)}, digestA, false, DoClaim},
		{"claim with the Abandoned record of another claim", []Record{otherClaimed, claimed.Abandon(start)}, digestA, false, DoUnknown},
		{"abandoned after completion", []Record{claimed, completed, claimed.Abandon(start)}, digestA, false, DoReplay},
		{"claimed after completion", []Record{completed, otherClaimed}, digestA, false, DoReplay},
		{"claimed twice", []Record{otherClaimed, claimed}, digestA, false, DoUnknown},
		{"claim with the Completed record of another claim", []Record{otherClaimed, completed}, digestA, false, DoReplay},
		{"other digest, completed", []Record{completed}, digestB, false, DoRefuseReused},
		{"other digest, running", []Record{claimed}, digestB, true, DoRefuseReused},
		{"other digest, abandoned", []Record{claimed, claimed.Abandon(start)}, digestB, false, DoRefuseReused},
	} {
		t.Run(c.name, func(t *testing.T) {
			var x Index
			x.Apply(1, c.log)
			if got := x.Decide(keyA, c.digest, ownNonce.Incarnation, c.running); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// TestMaySend checks the three conditions under which an order may be sent to the service.
func TestMaySend(t *testing.T) {
	is := is.New(t)
	r := NewClaim(keyA, digestA, ownNonce, start)
	is.True(MaySend(r, ownNonce.Incarnation, false, start, time.Time{}))
	is.True(MaySend(r, ownNonce.Incarnation, false, start, start.Add(1)))
	is.True(!MaySend(r, ownNonce.Incarnation, false, start, start)) // deadline
	is.True(!MaySend(r, otherNonce.Incarnation, false, start, time.Time{}))
	is.True(!MaySend(r, ownNonce.Incarnation, true, start, time.Time{}))
}

// TestSettle guards against treating a lost write as durable, and against missing a takeover.
func TestSettle(t *testing.T) {
	r := NewClaim(keyA, digestA, ownNonce, start)
	before := Tail{Number: 3, Version: 10, Segment: Segment{Term: 2, Owner: "Orders1", Incarnation: 7}}
	segment := func(term, incarnation uint64, records ...Record) Segment {
		return Segment{Term: term, Owner: "Orders1", Incarnation: incarnation, Records: records}
	}
	for _, c := range []struct {
		name     string
		stored   Segment
		version  uint64
		standing Standing
		durable  int
	}{
		{"unchanged", before.Segment, 10, Pending, 0},
		{"own write took effect", segment(2, 7, r), 11, Owning, 1},
		{"an earlier own write took effect instead", segment(2, 7), 11, Owning, 0},
		{"takeover before the write", segment(3, 8), 11, Fenced, 0},
		{"takeover after the write", segment(3, 8, r), 12, Fenced, 1},
		{"takeover by a later incarnation of the same agent", segment(3, 9, r), 12, Fenced, 1},
		{"second takeover by this incarnation", segment(4, 7, r), 13, Fenced, 1},
		{"key claimed by the new owner", segment(3, 8, NewClaim(keyA, digestA, otherNonce, start)), 12, Fenced, 0},
		{"another step of the same claim", segment(2, 7, r.Abandon(start)), 12, Owning, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			standing, durable := before.Settle(c.stored, c.version, []Record{r})
			if standing != c.standing || len(durable) != c.durable {
				t.Errorf("got %s with %d durable, want %s with %d", standing, len(durable), c.standing, c.durable)
			}
		})
	}
}

// TestAppendSealsWithinLimit guards against segments larger than SegmentBytes and against records lost between two segments.
func TestAppendSealsWithinLimit(t *testing.T) {
	is := is.New(t)
	tail := Tail{}.Takeover("Orders1", 7)
	is.Equal(tail.Number, uint64(1))
	is.Equal(tail.Segment.Term, uint64(1))
	large := NewClaim(keyA, digestA, ownNonce, start).Complete(start, 200, "application/json", make([]byte, MaxStoredBytes))
	pending := make([]Record, 200)
	for i := range pending {
		pending[i] = NewClaim(keyA, digestA, Nonce{1 << 63, 1 << 63}, start)
	}
	pending = append(pending, large, large, large, large, large)
	var stored int
	for len(pending) > 0 {
		next, appended := tail.Segment.Append(pending)
		value, err := next.Encode()
		is.NoErr(err)
		is.True(len(value) <= SegmentBytes)
		got, err := Decode(value)
		is.NoErr(err)
		is.Equal(len(got.Records), len(tail.Segment.Records)+appended)
		is.Equal(got.Records[len(got.Records)-1], pending[appended-1])
		is.Equal(next.Sealed, appended < len(pending))
		stored, pending = stored+appended, pending[appended:]
		tail.Segment = next
		tail = tail.Next()
	}
	is.Equal(stored, 205)
	_, err := Decode([]byte("no segment"))
	is.True(err != nil)
}

// TestTakeover guards against a takeover that rewrites a sealed segment, loses the records of an open one or reuses a term.
func TestTakeover(t *testing.T) {
	is := is.New(t)
	open := Tail{Number: 4, Version: 9, Segment: Segment{Term: 5, Owner: "Orders1", Incarnation: 7,
		Records: []Record{NewClaim(keyA, digestA, ownNonce, start)}}}
	next := open.Takeover("Orders2", 8)
	is.Equal(next.Number, uint64(4))
	is.Equal(next.Version, uint64(9))
	is.Equal(next.Segment.Term, uint64(6))
	is.Equal(len(next.Segment.Records), 1)
	open.Segment.Sealed = true
	next = open.Takeover("Orders2", 8)
	is.Equal(next.Number, uint64(5))
	is.Equal(next.Version, uint64(0))
	is.Equal(next.Segment.Term, uint64(6))
	is.Equal(len(next.Segment.Records), 0)
	is.True(!next.Segment.Sealed)
}

// TestLargeResponseIsStatusOnly guards against a response too large for a segment, and against losing the size of a dropped
// body, by which a replay recognises that the response was not stored.
func TestLargeResponseIsStatusOnly(t *testing.T) {
	is := is.New(t)
	r := NewClaim(keyA, digestA, ownNonce, start)
	kept := r.Complete(start, 201, "text/plain", make([]byte, MaxStoredBytes))
	is.Equal(len(kept.Body), MaxStoredBytes)
	dropped := r.Complete(start, 201, "text/plain", make([]byte, MaxStoredBytes+1))
	is.Equal(len(dropped.Body), 0)
	is.Equal(dropped.Dropped, MaxStoredBytes+1)
	is.Equal(dropped.Status, 201)
}

// TestExpiry guards against deletion of a record within retention, and against a log that grows without limit.
func TestExpiry(t *testing.T) {
	is := is.New(t)
	sealed := []Sealed{{1, 1, start}, {2, 1, start.Add(time.Hour)}, {3, 1, start}}
	is.Equal(Expired(sealed, start.Add(24*time.Hour), 24*time.Hour), 0)
	is.Equal(Expired(sealed, start.Add(24*time.Hour+1), 24*time.Hour), 1) // the third stays, because the second has not expired
	is.Equal(Expired(sealed, start.Add(26*time.Hour), 24*time.Hour), 3)
	var x Index
	x.Apply(1, []Record{NewClaim(keyA, digestA, ownNonce, start)})
	x.Expire(start.Add(time.Hour), time.Hour)
	is.Equal(x.Len(), 1)
	x.Expire(start.Add(time.Hour+time.Second), time.Hour)
	is.Equal(x.Len(), 0)
	is.True(Stale(start.Add(7*time.Hour), start, 24*time.Hour))
	is.True(!Stale(start.Add(5*time.Hour), start, 24*time.Hour))
	n, err := Number(Name("a/b", 3, 17))
	is.NoErr(err)
	is.Equal(n, uint64(17))
}
