package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/quarantine"
)

var start = time.Unix(1_800_000_000, 0)

// TestState guards against quarantine of a request that caused no crash, and against another run of one that causes
// crashes.
func TestState(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps func(q *quarantine.Table)
		after time.Duration
		want  quarantine.State
	}{
		{"no crash", func(*quarantine.Table) {}, 0, quarantine.Clear},
		{"crash of one endpoint", func(q *quarantine.Table) { q.Crashed(start, 1, "E1") }, 0, quarantine.Suspect},
		{"two crashes of one endpoint", func(q *quarantine.Table) {
			q.Crashed(start, 1, "E1")
			q.Crashed(start, 1, "E1")
		}, 0, quarantine.Suspect},
		{"crashes of two endpoints", func(q *quarantine.Table) {
			q.Crashed(start, 1, "E1")
			q.Crashed(start, 1, "E2")
		}, 0, quarantine.Quarantined},
		{"crash recorded here and crash in a received mark", func(q *quarantine.Table) {
			q.Crashed(start, 1, "E1")
			q.Merge(start, quarantine.Mark{Fingerprint: 1, Endpoints: []string{"E2"}, Expires: start.Add(time.Minute)})
		}, 0, quarantine.Quarantined},
		{"expired", func(q *quarantine.Table) {
			q.Crashed(start, 1, "E1")
			q.Crashed(start, 1, "E2")
		}, 15 * time.Minute, quarantine.Clear},
		{"second crash after the first expired", func(q *quarantine.Table) {
			q.Crashed(start, 1, "E1")
			q.Crashed(start.Add(15*time.Minute), 1, "E2")
		}, 15 * time.Minute, quarantine.Suspect},
		{"received mark with a late expiry is limited", func(q *quarantine.Table) {
			q.Merge(start, quarantine.Mark{Fingerprint: 1, Endpoints: []string{"E1"}, Expires: start.Add(time.Hour)})
		}, 15 * time.Minute, quarantine.Clear},
		{"finished suspect", func(q *quarantine.Table) {
			q.Crashed(start, 1, "E1")
			q.Finished(start, 1)
		}, 0, quarantine.Clear},
		{"finished while quarantined", func(q *quarantine.Table) {
			q.Crashed(start, 1, "E1")
			q.Crashed(start, 1, "E2")
			q.Finished(start, 1)
		}, 0, quarantine.Quarantined},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			q := quarantine.New(quarantine.Settings{})
			test.steps(q)
			is.Equal(q.State(start.Add(test.after), 1), test.want)
		})
	}
}

// TestEviction guards against a table that grows with every crash, and against eviction of quarantined fingerprints while
// there are suspects.
func TestEviction(t *testing.T) {
	is := is.New(t)
	q := quarantine.New(quarantine.Settings{Limit: 10})
	q.Crashed(start, 1, "E1")
	q.Crashed(start, 1, "E2")
	for i := range uint64(100) {
		q.Crashed(start.Add(time.Duration(i)*time.Second), 2+i, "E1")
		is.True(q.Len() <= 10)
	}
	is.Equal(q.State(start.Add(time.Minute), 1), quarantine.Quarantined)
	is.Equal(q.State(start.Add(time.Minute), 101), quarantine.Suspect)
	is.Equal(len(q.Marks(start.Add(time.Minute))), 10)
}

// TestMergeReportsNewEndpoint guards against marks that processes send to each other without end.
func TestMergeReportsNewEndpoint(t *testing.T) {
	is := is.New(t)
	q := quarantine.New(quarantine.Settings{})
	m := quarantine.Mark{Fingerprint: 1, Endpoints: []string{"E1"}, Expires: start.Add(time.Minute)}
	is.True(q.Merge(start, m))
	is.True(!q.Merge(start, m))
	is.Equal(q.Remaining(start, 1), time.Minute)
}

func BenchmarkState(b *testing.B) {
	for _, n := range []int{16, 256, 4096} {
		b.Run(fmt.Sprint("Marks=", n), func(b *testing.B) {
			q := quarantine.New(quarantine.Settings{})
			for i := range n {
				q.Crashed(start, uint64(i), "E1")
			}
			for i := uint64(0); b.Loop(); i++ {
				q.State(start, i%uint64(2*n))
			}
		})
	}
}
