package tiering_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/tiering"
)

// TestSaves guards against a second save of a part while one is pending or in progress, and against a part that cannot be saved or fetched any
// more after its saves have ended.
func TestSaves(t *testing.T) {
	const key, other = 1, 2
	now := time.Now()
	for name, c := range map[string]struct {
		change          func(s *tiering.Saves, save *tiering.Save)
		after           time.Duration
		pending, active bool
	}{
		"requested":              {nil, 7 * time.Second, true, true},
		"expired":                {nil, 8 * time.Second, false, false},
		"cancelled":              {func(s *tiering.Saves, save *tiering.Save) { s.Cancel(save) }, 0, false, false},
		"begun":                  {func(s *tiering.Saves, save *tiering.Save) { s.Begun(now, save) }, time.Second, false, true},
		"begun and timed out":    {func(s *tiering.Saves, save *tiering.Save) { s.Begun(now, save) }, 1500 * time.Millisecond, false, false},
		"begun after its end":    {func(s *tiering.Saves, save *tiering.Save) { s.Cancel(save); s.Begun(now, save) }, 0, false, false},
		"begun twice":            {func(s *tiering.Saves, save *tiering.Save) { s.Begun(now, save); s.Begun(now.Add(time.Second), save) }, 2 * time.Second, false, false},
		"cancelled beside other": {func(s *tiering.Saves, save *tiering.Save) { s.Request(now, other, now.Add(time.Hour)); s.Cancel(save) }, 0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, at := &tiering.Saves{}, now.Add(c.after)
			save := s.Request(now, key, now.Add(8*time.Second))
			is.True(save != nil)
			if c.change != nil {
				c.change(s, save)
			}
			is.Equal(s.Pending(at, key), c.pending)
			is.Equal(s.Active(at, key), c.active)
			is.Equal(s.Request(at, key, at.Add(time.Second)) == nil, c.active)
		})
	}
}

// TestReportedSaves guards against a pending save of another gateway that is forgotten: when its gateway restarts, or while another one of its
// group reports nothing.
func TestReportedSaves(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a, b, c := &tiering.Saves{}, &tiering.Saves{}, &tiering.Saves{}
	a.Begun(now, a.Request(now, 1, now.Add(8*time.Second)))
	a.Request(now, 2, now.Add(8*time.Second))
	b.SetPeer(now, "A", 1, a.Reports(now, nil, 10))
	b.SetPeer(now, "X", 1, nil)
	is.True(b.Request(now, 1, now) == nil)
	is.True(!b.Pending(now, 1))
	is.True(b.Pending(now, 2))
	b.SetPeer(now, "A", 2, nil) // the saves of its former incarnation may still begin
	is.True(b.Pending(now, 2))
	is.Equal(b.Reports(now, nil, 10), nil)
	is.Equal(b.Reports(now, map[string]bool{"A": true}, 1), []tiering.SaveReport{{Key: 2, Left: 8 * time.Second}}) // the pending one goes first
	c.SetPeer(now, "Domain d", 0, b.Reports(now, map[string]bool{"A": true}, 10))
	is.True(c.Pending(now, 2))
	is.True(c.Active(now, 1))
	is.True(!c.Pending(now.Add(8*time.Second), 2))
	b.SetPeer(now, "A", 1, nil)
	is.True(!b.Active(now, 2))
	c.SetPeer(now, "Domain d", 0, []tiering.SaveReport{{Key: 3, Left: 1 << 62}})
	is.True(!c.Active(now, 2))
	is.True(!c.Pending(now.Add(time.Hour), 3)) // a report without a sensible time
}

// TestTooManySaves guards against saves that the report of a gateway has no room for.
func TestTooManySaves(t *testing.T) {
	is := is.New(t)
	s, now, requested := &tiering.Saves{}, time.Now(), 0
	for key := range uint64(1000) {
		if s.Request(now, key, now.Add(time.Second)) != nil {
			requested++
		}
	}
	is.Equal(len(s.Reports(now, nil, 48)), requested)
	is.True(s.Request(now.Add(time.Second), 1, now.Add(2*time.Second)) != nil)
}
