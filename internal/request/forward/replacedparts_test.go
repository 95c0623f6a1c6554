package forward

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/connection/kvstore"
	"primrosecourse/internal/process/bootclock"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/tiering"
)

// wholeStore is a KV store that holds one part.
type wholeStore struct{ held kvstore.Held }

func (s wholeStore) List(context.Context, string) (kvstore.Listing, error) {
	return kvstore.Listing{Epoch: 1, Held: []kvstore.Held{s.held}, Clock: time.Duration(time.Now().UnixNano())}, nil
}

func (s wholeStore) Watch(context.Context, string, uint64, time.Duration) (kvstore.Changes, error) {
	time.Sleep(100 * time.Millisecond)
	return kvstore.Changes{Epoch: 1, Clock: time.Duration(time.Now().UnixNano())}, nil
}

func (wholeStore) Free(context.Context, string, []kvstore.Key, uint64, time.Duration) error {
	return nil
}

// currentView is a view whose versions have just been confirmed.
type currentView struct{ snapshot atomic.Pointer[site.Snapshot] }

func (v *currentView) Current() *site.Snapshot         { return v.snapshot.Load() }
func (v *currentView) VersionsAge() time.Duration      { return 0 }
func (v *currentView) ConfigurationAge() time.Duration { return 0 }

func (v *currentView) ReplacedFor(string, uint64) time.Duration { return 0 }
func (v *currentView) OtherGateways() ([]string, bool)          { return nil, false }
func (v *currentView) IsLeader(string) bool                     { return false }
func (v *currentView) Leaders(string, int) ([]netip.Addr, bool) { return nil, true }
func (v *currentView) PresentSince() (time.Duration, bool)      { return -time.Hour, true }
func (v *currentView) ListGateways()                            {}

func (v *currentView) GatewaysAt() ([]string, time.Duration, bool) { return nil, 0, false }

// TestReplacedPartsOfEarlierSnapshot guards against a request that lets an engine fetch parts of a replaced version, which are being freed, since it
// goes by the versions of before it waited.
func TestReplacedPartsOfEarlierSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		service := site.Service{Name: "K", Store: &site.CacheStore{Address: "a", Tokens: 1000}}
		configuration := site.NewConfiguration(1, nil, []site.Service{service}, nil, site.Limits{})
		before := &site.Snapshot{Configuration: configuration, Versions: map[string]uint64{"M": 1}}
		view := &currentView{}
		view.snapshot.Store(before)
		req := &request{snapshot: before}
		req.meta.Model, req.meta.Parts = "M", []tiering.Part{{ID: "shared", Tokens: 100}, {ID: "own", Tokens: 10}}
		held := kvstore.Held{Key: kvstore.Key{Scope: req.scope(1).String(), ID: "shared"}, Tokens: 100}
		started := time.Now()
		catalog := &kvstore.Catalog{View: view, Stores: wholeStore{held}, Log: logr.Discard(), Floors: &tiering.Floors{},
			Now: func() time.Duration { return time.Since(started) }}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- catalog.Run(ctx) }()
		time.Sleep(time.Second)
		req.handler = &Handler{View: view, Tiers: catalog}
		engines := &site.Service{Name: "S", Engine: &site.Engine{TokenBytes: 1}}
		fetches := func() bool {
			actions := req.tierActions(engines, 1)
			return len(actions) > 0 && actions[0].Fetch != nil
		}
		is.True(fetches())
		replacedAt := bootclock.Now() - time.Minute
		view.snapshot.Store(&site.Snapshot{Configuration: configuration, Versions: map[string]uint64{"M": 2},
			Namings: map[string]site.Namings{"M": {{Version: 2, NamedAt: replacedAt, UnnamedAt: replacedAt}}}})
		is.True(!fetches())
		cancel()
		<-ended
	})
}
