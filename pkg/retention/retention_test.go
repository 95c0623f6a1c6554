package retention

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestShouldFetch guards against fetching over a link that is slower than prefilling, and against overflow without a link.
func TestShouldFetch(t *testing.T) {
	base := Costs{PrefillTokensPerSecond: 8000, LinkBytesPerSecond: 2e9, BytesPerToken: 131072}
	for _, tc := range []struct {
		name   string
		tokens int
		change func(*Costs)
		want   bool
	}{
		{"fast link", 1024, func(*Costs) {}, true},
		{"a tenth of the link", 1024, func(c *Costs) { c.LinkBytesPerSecond /= 10 }, false},
		{"queued transfers", 1024, func(c *Costs) { c.QueuedBytes = 1e9 }, false},
		{"no tokens", 0, func(*Costs) {}, false},
		{"no link", 1024, func(c *Costs) { c.LinkBytesPerSecond = 0 }, false},
		{"high recompute weight", 1024, func(c *Costs) { c.LinkBytesPerSecond = 9e8; c.RecomputeWeight = 4 }, true},
		{"high link weight", 1024, func(c *Costs) { c.LinkWeight = 9 }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := base
			tc.change(&c)
			is.Equal(c.ShouldFetch(tc.tokens), tc.want)
		})
	}
}

// TestShouldExport guards against exporting blocks that are not used again and against losing blocks that are.
func TestShouldExport(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	tracker := New()
	is.True(!tracker.ShouldExport(1)) // unknown
	tracker.Use(1, now)
	is.True(!tracker.ShouldExport(1)) // used once, no gap recorded
	tracker.Use(1, now.Add(time.Hour))
	is.True(tracker.ShouldExport(1))
	tracker.Exported(1)
	is.True(!tracker.ShouldExport(1))
	tracker.Lost(1)
	is.True(tracker.ShouldExport(1))

	tracker.Use(2, now.Add(time.Hour))
	is.True(!tracker.ShouldExport(2))
	tracker.Evicted(1, now.Add(time.Hour+time.Minute)) // evicted after a minute, while uses are an hour apart
	is.True(tracker.ShouldExport(2))
}

// TestReturnGapIgnoresSharedPrefix guards against a return gap that is dominated by the many uses of a shared block and
// hides how late the blocks of single conversations are used again.
func TestReturnGapIgnoresSharedPrefix(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	tracker := New()
	tracker.Use(1, now)
	tracker.Use(1, now.Add(time.Hour))
	tracker.Evicted(1, now.Add(time.Hour+time.Minute))
	for i := range 100 {
		tracker.Use(1, now.Add(time.Hour+time.Duration(i)*time.Second))
	}
	tracker.Use(2, now.Add(2*time.Hour))
	is.True(tracker.ShouldExport(2))
}

// TestTrackerIsBounded guards against memory use that grows with the number of prompts.
func TestTrackerIsBounded(t *testing.T) {
	is := is.New(t)
	tracker := New()
	tracker.Limit = 10
	for id := range uint64(1000) {
		tracker.Use(id, time.Unix(int64(id), 0))
	}
	is.Equal(tracker.Len(), 10)
	is.Equal(len(tracker.byID), 10)
}

func BenchmarkTrackerUse(b *testing.B) {
	tracker := New()
	now := time.Unix(0, 0)
	b.ReportAllocs()
	for i := range b.N {
		tracker.Use(uint64(i%100_000), now)
	}
}

// TestLinkRate guards against fetching over a link that has slowed down, and against never using that link again.
func TestLinkRate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := LinkRate{Configured: 1e9}
	is.Equal(l.Estimate(now), 1e9)
	l.Observe(1e6, 10*time.Millisecond, now) // 100 MB/s
	is.Equal(l.Estimate(now), 1e8)
	is.True(l.Estimate(now.Add(30*time.Second)) > 5e8)
	is.True(l.Estimate(now.Add(10*time.Minute)) > 0.99e9)
	l.Observe(1e9, 100*time.Millisecond, now) // faster than configured: raised only to the configured rate
	is.True(l.Estimate(now) > 1e8 && l.Estimate(now) <= 1e9)
	before := l.Estimate(now)
	l.Observe(1, time.Microsecond, now)
	is.Equal(l.Estimate(now), before)
}
