package kvstore_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"primrosecourse/internal/connection/kvstore"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/tiering"
)

// changingView is a view whose configuration is replaced at times.
type changingView struct {
	view
	current atomic.Pointer[site.Snapshot]
}

func (v *changingView) Current() *site.Snapshot { return v.current.Load() }

// TestConfigurationChangesWhileFollowing guards, under the race detector, against a follower of a store that reads its description while a new
// configuration replaces it.
func TestConfigurationChangesWhileFollowing(t *testing.T) {
	v := &changingView{}
	put := func(version uint64) {
		service := site.Service{Name: "K", Store: &site.CacheStore{Address: "a", Tokens: 1000}}
		v.current.Store(&site.Snapshot{Configuration: site.NewConfiguration(version, nil, []site.Service{service}, nil, site.Limits{})})
	}
	put(1)
	runUntilEnd(t, &kvstore.Catalog{View: v, Stores: &store{epoch: 1}, Log: logr.Discard(), Floors: &tiering.Floors{}})
	for version := range uint64(30) {
		time.Sleep(100 * time.Millisecond)
		put(2 + version)
	}
}
