package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/quarantine"
)

var start = time.Unix(1_800_000_000, 0)

// TestState guards against an innocent request being quarantined, and a crashing one running again.
func TestState(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps func(q *quarantine.Table)
		after time.Duration
		want  quarantine.State
	}{
		{"never seen", func(*quarantine.Table) {}, 0, quarantine.Clear},
		{"one crash", func(q *quarantine.Table) { q.Crashed(start, 1, "E1") }, 0, quarantine.Suspect},
		{"two crashes of one endpoint", func(q *quarantine.Table) {
			q.Crashed(start, 1, "E1")
			q.Crashed(start, 1, "E1")
		}, 0, quarantine.Suspect},
		{"crashes of two endpoints", func(q *quarantine.Table) {
			q.Crashed(start, 1, "E1")
			q.Crashed(start, 1, "E2")
		}, 0, quarantine.Quarantined},
		{"one crash here, one elsewhere", func(q *quarantine.Table) {
			q.Crashed(start, 1, "E1")
			q.Merge(start, quarantine.Mark{Fingerprint: 1, Endpoints: []string{"E2"}, Expires: start.Add(time.Minute)})
		}, 0, quarantine.Quarantined},
		{"expired", func(q *quarantine.Table) {
			q.Crashed(start, 1, "E1")
			q.Crashed(start, 1, "E2")
		}, 15 * time.Minute, quarantine.Clear},
		{"an expired crash does not count", func(q *quarantine.Table) {
			q.Crashed(start, 1, "E1")
			q.Crashed(start.Add(15*time.Minute), 1, "E2")
		}, 15 * time.Minute, quarantine.Suspect},
		{"a mark from elsewhere lasts no longer than one made here", func(q *quarantine.Table) {
			q.Merge(start, quarantine.Mark{Fingerprint: 1, Endpoints: []string{"E1"}, Expires: start.Add(time.Hour)})
		}, 15 * time.Minute, quarantine.Clear},
		{"a suspect that ran to its end", func(q *quarantine.Table) {
			q.Crashed(start, 1, "E1")
			q.Finished(start, 1)
		}, 0, quarantine.Clear},
		{"a quarantined one stays", func(q *quarantine.Table) {
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

// TestBound guards against a table that grows with every crash, and one that forgets the quarantined first.
func TestBound(t *testing.T) {
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

// TestMergeLearns guards against marks that are sent round for ever.
func TestMergeLearns(t *testing.T) {
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
