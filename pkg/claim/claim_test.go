package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	mine  = Nonce{Incarnation: 7, Sequence: 1}
	other = Nonce{Incarnation: 8, Sequence: 1}
	keyA  = KeyOf("Org1", "a")
	bodyA = DigestOf("Orders", "POST", "/orders", []byte("a"))
	bodyB = DigestOf("Orders", "POST", "/orders", []byte("b"))
)

func TestDecide(t *testing.T) {
	claimed, foreign := NewClaim(keyA, bodyA, mine, start), NewClaim(keyA, bodyA, other, start)
	done := claimed.Complete(start, 201, "text/plain", []byte("1"))
	for _, c := range []struct {
		name    string
		log     []Record
		digest  Digest
		running bool
		want    Action
	}{
		{"unknown key", nil, bodyA, false, DoClaim},
		{"running here", []Record{claimed}, bodyA, true, DoWait},
		{"claimed here, no longer running", []Record{claimed}, bodyA, false, DoUnknown},
		{"claimed by another incarnation", []Record{foreign}, bodyA, false, DoUnknown},
		{"claimed by another incarnation while a flight of the key runs", []Record{foreign}, bodyA, true, DoUnknown},
		{"completed", []Record{claimed, done}, bodyA, false, DoReplay},
		{"abandoned", []Record{claimed, claimed.Abandon(start)}, bodyA, false, DoClaim},
		{"abandoned by another incarnation", []Record{foreign, foreign.Abandon(start)}, bodyA, false, DoClaim},
		{"abandoned record of another claim", []Record{foreign, claimed.Abandon(start)}, bodyA, false, DoUnknown},
		{"abandoned after completion", []Record{claimed, done, claimed.Abandon(start)}, bodyA, false, DoReplay},
		{"claimed after completion", []Record{done, foreign}, bodyA, false, DoReplay},
		{"claimed twice", []Record{foreign, claimed}, bodyA, false, DoUnknown},
		{"completion of another claim", []Record{foreign, done}, bodyA, false, DoReplay},
		{"other body, completed", []Record{done}, bodyB, false, DoRefuseReused},
		{"other body, running", []Record{claimed}, bodyB, true, DoRefuseReused},
		{"other body, abandoned", []Record{claimed, claimed.Abandon(start)}, bodyB, false, DoRefuseReused},
	} {
		t.Run(c.name, func(t *testing.T) {
			var x Index
			x.Apply(1, c.log)
			if got := x.Decide(keyA, c.digest, mine.Incarnation, c.running); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// TestMaySend guards the three conditions under which an order may reach the service.
func TestMaySend(t *testing.T) {
	is := is.New(t)
	r := NewClaim(keyA, bodyA, mine, start)
	is.True(MaySend(r, mine.Incarnation, false, start, time.Time{}))
	is.True(MaySend(r, mine.Incarnation, false, start, start.Add(1)))
	is.True(!MaySend(r, mine.Incarnation, false, start, start)) // deadline
	is.True(!MaySend(r, other.Incarnation, false, start, time.Time{}))
	is.True(!MaySend(r, mine.Incarnation, true, start, time.Time{}))
}

// TestSettle guards against treating a lost write as done, and against not noticing another owner.
func TestSettle(t *testing.T) {
	r := NewClaim(keyA, bodyA, mine, start)
	before := Tail{Number: 3, Version: 10, Segment: Segment{Term: 2, Owner: "Orders1", Incarnation: 7}}
	with := func(term, incarnation uint64, records ...Record) Segment {
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
		{"own write took effect", with(2, 7, r), 11, Owning, 1},
		{"an earlier own write took effect", with(2, 7), 11, Owning, 0},
		{"taken before the write", with(3, 8), 11, Fenced, 0},
		{"taken after the write", with(3, 8, r), 12, Fenced, 1},
		{"taken by a later start of the same agent", with(3, 9, r), 12, Fenced, 1},
		{"taken again by this incarnation", with(4, 7, r), 13, Fenced, 1},
		{"the key claimed by the new owner", with(3, 8, NewClaim(keyA, bodyA, other, start)), 12, Fenced, 0},
		{"another step of the same claim", with(2, 7, r.Abandon(start)), 12, Owning, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			standing, durable := before.Settle(c.stored, c.version, []Record{r})
			if standing != c.standing || len(durable) != c.durable {
				t.Errorf("got %s with %d durable, want %s with %d", standing, len(durable), c.standing, c.durable)
			}
		})
	}
}

// TestAppendSealsWithinLimit guards against segments over the limit and records lost between two segments.
func TestAppendSealsWithinLimit(t *testing.T) {
	is := is.New(t)
	tail := Tail{}.Takeover("Orders1", 7)
	is.Equal(tail.Number, uint64(1))
	is.Equal(tail.Segment.Term, uint64(1))
	big := NewClaim(keyA, bodyA, mine, start).Complete(start, 200, "application/json", make([]byte, MaxStoredBytes))
	pending := make([]Record, 200)
	for i := range pending {
		pending[i] = NewClaim(keyA, bodyA, Nonce{1 << 63, 1 << 63}, start)
	}
	pending = append(pending, big, big, big, big, big)
	var stored int
	for len(pending) > 0 {
		next, taken := tail.Segment.Append(pending)
		value, err := next.Encode()
		is.NoErr(err)
		is.True(len(value) <= SegmentBytes)
		got, err := Decode(value)
		is.NoErr(err)
		is.Equal(len(got.Records), len(tail.Segment.Records)+taken)
		is.Equal(got.Records[len(got.Records)-1], pending[taken-1])
		is.Equal(next.Sealed, taken < len(pending))
		stored, pending = stored+taken, pending[taken:]
		tail.Segment = next
		tail = tail.Next()
	}
	is.Equal(stored, 205)
	_, err := Decode([]byte("no segment"))
	is.True(err != nil)
}

// TestTakeover guards the rule that a sealed segment never changes and that terms never start again.
func TestTakeover(t *testing.T) {
	is := is.New(t)
	open := Tail{Number: 4, Version: 9, Segment: Segment{Term: 5, Owner: "Orders1", Incarnation: 7,
		Records: []Record{NewClaim(keyA, bodyA, mine, start)}}}
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

// TestLargeResponseIsStatusOnly guards the bound of a segment and the note that a replay needs.
func TestLargeResponseIsStatusOnly(t *testing.T) {
	is := is.New(t)
	r := NewClaim(keyA, bodyA, mine, start)
	kept := r.Complete(start, 201, "text/plain", make([]byte, MaxStoredBytes))
	is.Equal(len(kept.Body), MaxStoredBytes)
	dropped := r.Complete(start, 201, "text/plain", make([]byte, MaxStoredBytes+1))
	is.Equal(len(dropped.Body), 0)
	is.Equal(dropped.Dropped, MaxStoredBytes+1)
	is.Equal(dropped.Status, 201)
}

// TestExpiry guards against a record that is deleted within retention, and against a log that grows for ever.
func TestExpiry(t *testing.T) {
	is := is.New(t)
	sealed := []Sealed{{1, 1, start}, {2, 1, start.Add(time.Hour)}, {3, 1, start}}
	is.Equal(Expired(sealed, start.Add(24*time.Hour), 24*time.Hour), 0)
	is.Equal(Expired(sealed, start.Add(24*time.Hour+1), 24*time.Hour), 1) // in order only
	is.Equal(Expired(sealed, start.Add(26*time.Hour), 24*time.Hour), 3)
	var x Index
	x.Apply(1, []Record{NewClaim(keyA, bodyA, mine, start)})
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
