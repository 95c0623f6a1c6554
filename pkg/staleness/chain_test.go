package staleness_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/staleness"
)

// TestAgeWhenVersionsFollowEachOther guards against weights that are used beyond the limit since they were replaced, because the version that
// replaced them has itself been replaced.
func TestAgeWhenVersionsFollowEachOther(t *testing.T) {
	is := is.New(t)
	a := &staleness.Ages{}
	a.Named(model, 2, time.Hour, true)
	a.Named(model, 3, time.Hour+8*time.Second, true)
	is.Equal(a.ReplacedFor(model, 1, time.Hour+9*time.Second), 9*time.Second)
	is.Equal(a.ReplacedFor(model, 2, time.Hour+9*time.Second), time.Second)
}

// TestRestartedGatewayLearnsAgesOfReplacedVersions guards against a gateway that counts the age of the newest version only, because the others
// do not state those of the versions before it.
func TestRestartedGatewayLearnsAgesOfReplacedVersions(t *testing.T) {
	is := is.New(t)
	a, restarted := &staleness.Ages{}, &staleness.Ages{StartAge: 6 * time.Second}
	a.Named(model, 2, time.Hour, true)
	a.Named(model, 3, time.Hour+8*time.Second, true)
	now := time.Hour + 9*time.Second
	restarted.Named(model, 3, now, false)
	for name, list := range a.Stated(now) {
		for _, stated := range list {
			restarted.SetPeer(name, stated, now)
		}
	}
	is.Equal(restarted.ReplacedFor(model, 1, now), 9*time.Second)
	is.Equal(restarted.ReplacedFor(model, 2, now), time.Second)
}
