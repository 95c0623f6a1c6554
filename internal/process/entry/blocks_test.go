package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/prefix"
)

// TestCrashBlocks guards against shared blocks that are not refused after crashes, and against sound ones that are.
func TestCrashBlocks(t *testing.T) {
	is := is.New(t)
	b, now := &crashBlocks{}, time.Unix(1000, 0)
	shared, deadly, sound := prefix.ID{1}, prefix.ID{2}, prefix.ID{3}
	for n := range byte(3) {
		_, ok := b.Quarantined([]prefix.ID{shared, deadly}, now)
		is.True(!ok)
		b.Crashed([]prefix.ID{shared, deadly, {4, n}}, "Endpoint1", now)
		b.Crashed([]prefix.ID{shared, sound}, "Endpoint1", now)
		now = now.Add(time.Second)
		is.Equal(b.Suspect([]prefix.ID{shared, sound}, now), n < 2) // the third crash shows which block it was
		if n == 1 {
			b.Begun([]prefix.ID{shared, sound})
		}
	}
	remaining, ok := b.Quarantined([]prefix.ID{shared, deadly, {5}}, now)
	is.True(ok)
	is.Equal(remaining, 15*time.Minute-time.Second)
	_, ok = b.Quarantined([]prefix.ID{shared, sound}, now)
	is.True(!ok)
	is.True(!b.Suspect([]prefix.ID{shared, {6}}, now))
}
