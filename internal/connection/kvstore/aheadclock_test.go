package kvstore_test

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/connection/kvstore"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/tiering"
)

// storesByAddress is a kvstore.Stores of several stores, or of relays of them.
type storesByAddress map[string]*store

func (s storesByAddress) at(address string) (*store, error) {
	if s[address] == nil {
		return nil, errors.Newf("no store at %s", address)
	}
	return s[address], nil
}

func (s storesByAddress) List(ctx context.Context, address string) (kvstore.Listing, error) {
	one, err := s.at(address)
	if err != nil {
		return kvstore.Listing{}, err
	}
	return one.List(ctx, address)
}

func (s storesByAddress) Watch(ctx context.Context, address string, since uint64, wait time.Duration) (kvstore.Changes, error) {
	one, err := s.at(address)
	if err != nil {
		return kvstore.Changes{}, err
	}
	return one.Watch(ctx, address, since, wait)
}

func (s storesByAddress) Free(ctx context.Context, address string, parts []kvstore.Key, epoch uint64, until time.Duration) error {
	one, err := s.at(address)
	if err != nil {
		return err
	}
	return one.Free(ctx, address, parts, epoch, until)
}

// partlyRelayedView is a view of a gateway that reads the events of some stores from another gateway.
type partlyRelayedView struct {
	view
	relayed []string
}

var relayingGateway = netip.MustParseAddrPort("127.0.0.1:9")

func (v *partlyRelayedView) Leaders(name string, _ int) ([]netip.Addr, bool) {
	if slices.Contains(v.relayed, name) {
		return []netip.Addr{relayingGateway.Addr()}, false
	}
	return nil, true
}

// clockSite is a site whose stores are read by one gateway, directly or through another one.
type clockSite struct {
	direct, relayed []string
}

// run runs check against a catalog of the site's stores, on a virtual clock.
func (s clockSite) run(t *testing.T, check func(t *testing.T, c *kvstore.Catalog, stores storesByAddress)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		stores := storesByAddress{} // by name
		direct, relays := storesByAddress{}, storesByAddress{}
		var services []site.Service
		for _, name := range slices.Concat(s.direct, s.relayed) {
			stores[name] = &store{epoch: 1, held: []kvstore.Held{held("a", 100)}}
			direct["at"+name], relays[relayingGateway.String()+"/"+name] = stores[name], stores[name]
			services = append(services, site.Service{Name: name, Store: &site.CacheStore{Address: "at" + name, Tokens: 1000, MaxReaders: 2}})
		}
		snapshot := &site.Snapshot{Configuration: site.NewConfiguration(1, nil, services, nil, site.Limits{})}
		started := time.Now()
		c := &kvstore.Catalog{View: &partlyRelayedView{view{snapshot: snapshot}, s.relayed}, Stores: direct, Relays: relays,
			RelayPort: relayingGateway.Port(), Log: logr.Discard(), Floors: &tiering.Floors{},
			Now: func() time.Duration { return time.Since(started) }}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		check(t, c, stores)
		cancel()
		<-ended
	})
}

// TestNoAnswerAheadMovesTimeLimits guards against fetches that may run longer than the parts that they read are kept, after a store or another
// gateway has stated a time in the future.
func TestNoAnswerAheadMovesTimeLimits(t *testing.T) {
	const ahead = 3 * time.Second
	one, two, three := clockSite{direct: []string{"K"}}, clockSite{direct: []string{"K", "L"}}, clockSite{direct: []string{"K", "L", "M"}}
	for name, c := range map[string]struct {
		site clockSite
		// answers is the number of answers of store K, and of store R if there is one, that are ahead, 0 for all.
		answers int
		// from is when the store begins to state times ahead, until when the limits may follow them.
		from, until time.Duration
	}{
		"one answer of the only store":                          {one, 1, 5 * time.Second, 0},
		"four answers of the only store":                        {one, 4, 5 * time.Second, 0},
		"the first answer of the only store":                    {one, 1, 0, 150 * time.Millisecond},
		"one answer of one of three stores":                     {three, 1, 5 * time.Second, 0},
		"all answers of one of two stores":                      {two, 0, 5 * time.Second, 0},
		"all answers of one of two stores, from the first on":   {two, 0, 0, time.Second},
		"all answers of one of three stores":                    {three, 0, 5 * time.Second, 0},
		"one answer of a relay, no direct reader":               {clockSite{relayed: []string{"K"}}, 1, 5 * time.Second, 0},
		"all answers of a relay beside a store":                 {clockSite{direct: []string{"L"}, relayed: []string{"K"}}, 0, 5 * time.Second, 0},
		"all answers of a relay beside a store, from the first": {clockSite{direct: []string{"L"}, relayed: []string{"K"}}, 0, 0, time.Second},
		"all answers of two relays beside a store":              {clockSite{direct: []string{"L"}, relayed: []string{"K", "R"}}, 0, 5 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c.site.run(t, func(t *testing.T, catalog *kvstore.Catalog, stores storesByAddress) {
				is := is.NewRelaxed(t)
				start, usable := time.Now(), 0
				time.Sleep(c.from)
				for name, faulty := range stores {
					if name == "K" || name == "R" {
						faulty.set(func() { faulty.ahead, faulty.aheadAnswers = ahead, c.answers })
					}
				}
				for time.Since(start) < 3*time.Minute {
					time.Sleep(10 * time.Millisecond)
					clock, known := catalog.Clock()
					if !known || time.Since(start) <= c.until {
						continue
					}
					if late := clock - serverTime(); late > 0 {
						t.Errorf("limits are %v late %v after the start", late, time.Since(start))
						return
					}
					if by := catalog.Scope(scopeV1).FetchBy("K"); by > serverTime()+holdTime {
						t.Errorf("parts may be fetched for %v %v after the start", by-serverTime(), time.Since(start))
						return
					}
					if clock > serverTime()-200*time.Millisecond {
						usable++
					}
				}
				is.True(usable > 16000) // of 18,000: the limits became earlier than they need be
			})
		})
	}
}

// TestClockFollowsSteps guards against a clock that stays behind or ahead after the servers' clock has been set.
func TestClockFollowsSteps(t *testing.T) {
	for name, c := range map[string]struct {
		step   time.Duration
		within time.Duration
	}{
		"ahead by 3 s":    {3 * time.Second, 10 * time.Second},
		"ahead by 1 h":    {time.Hour, 10 * time.Second},
		"behind by 3 s":   {-3 * time.Second, 2 * time.Second},
		"behind by 1 min": {-time.Minute, 2 * time.Second},
	} {
		for count, s := range map[string]clockSite{"one store": {direct: []string{"K"}}, "three stores": {direct: []string{"K", "L", "M"}},
			"a relay": {relayed: []string{"K"}}} {
			t.Run(name+"/"+count, func(t *testing.T) {
				s.run(t, func(t *testing.T, catalog *kvstore.Catalog, stores storesByAddress) {
					is := is.NewRelaxed(t)
					time.Sleep(10 * time.Second)
					for _, one := range stores {
						one.set(func() { one.ahead = c.step })
					}
					time.Sleep(c.within)
					clock, known := catalog.Clock()
					is.True(known)
					behind := serverTime() + c.step - clock
					is.True(behind >= 0 && behind < 200*time.Millisecond)
				})
			})
		}
	}
}
