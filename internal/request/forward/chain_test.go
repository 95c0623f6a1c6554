package forward_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/request/forward"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/staleness"
)

// agesView is a fixture whose ReplacedFor is that of registry.Registry.
type agesView struct {
	*fixture
	ages *staleness.Ages
	now  time.Duration
}

func (v agesView) ReplacedFor(model string, version uint64) time.Duration {
	return v.ages.ReplacedFor(model, version, v.now)
}

// TestNoRequestsForTwiceReplacedWeights guards against requests that begin on weights that were replaced too long ago, by a version that has
// been replaced itself meanwhile.
func TestNoRequestsForTwiceReplacedWeights(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool { return writeOK(c, id, "whole") })
	f.snapshot.Configuration.Services["S"].Engine = &site.Engine{}
	f.snapshot = withVersions(f.snapshot, 3, 1, 2, 2)
	ages := &staleness.Ages{}
	ages.Named("M", 2, time.Hour, true)
	ages.Named("M", 3, time.Hour+8*time.Second, true)
	f.handler.Staleness = staleness.Rule{Limit: 10 * time.Second}
	f.handler.View = forward.View(agesView{f, ages, time.Hour + 12*time.Second})
	for range 30 {
		_, _, err := f.send(t, "POST", "/never/1", "Model: M")
		is.NoErr(err)
	}
	for _, id := range f.arrivals {
		is.True(id != "e0") // has version 1, which was replaced 12 s ago
	}
}
