package kvstore_test

import (
	"cmp"
	"context"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/connection/call"
	"primrosecourse/internal/connection/kvstore"
	"primrosecourse/internal/process/bootclock"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/tiering"
)

var scopeV1 = tiering.Scope{Model: "M", Version: 1}.String()

// store is a kvstore.Stores that simulates one KV store.
type store struct {
	mu         sync.Mutex
	epoch      uint64
	next       uint64
	held       []kvstore.Held
	unfinished []kvstore.Unfinished
	changes    []kvstore.Change
	lost, down bool
	listCalls  int
	freed      []kvstore.Key
	// withoutClock is set if only listings state the time, listsWithoutClock if they do not, neverStatesTime if no response does.
	withoutClock, listsWithoutClock, neverStatesTime bool
	// ahead is how far the clock of the store is ahead. If aheadAnswers is positive, it is so for that number of answers only.
	ahead        time.Duration
	aheadAnswers int
	// listDelay is how long the response to a listing is on its way.
	listDelay time.Duration
}

// serverTime returns the time by the clock of the stores.
func serverTime() time.Duration { return time.Duration(time.Now().UnixNano()) }

// stated returns the time that a response states.
func (s *store) stated(listing bool) time.Duration {
	if s.neverStatesTime || (s.withoutClock && !listing) || (s.listsWithoutClock && listing) {
		return 0
	}
	stated := serverTime() + s.ahead
	if s.aheadAnswers > 0 {
		if s.aheadAnswers--; s.aheadAnswers == 0 {
			s.ahead = 0
		}
	}
	return stated
}

func (s *store) List(context.Context, string) (kvstore.Listing, error) {
	listing, err := s.list()
	time.Sleep(s.listDelay)
	return listing, err
}

func (s *store) list() (kvstore.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listCalls++
	if s.down {
		return kvstore.Listing{}, errors.New("down")
	}
	s.changes, s.lost = nil, false
	return kvstore.Listing{Epoch: s.epoch, Next: s.next, Held: slices.Clone(s.held), Unfinished: slices.Clone(s.unfinished), Clock: s.stated(true)}, nil
}

func (s *store) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) (kvstore.Changes, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait / 10):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return kvstore.Changes{}, errors.New("down")
	}
	c := kvstore.Changes{Epoch: s.epoch, Next: s.next, Lost: s.lost, Changes: s.changes, Clock: s.stated(false)}
	s.changes = nil
	return c, nil
}

func (s *store) Free(_ context.Context, _ string, parts []kvstore.Key, epoch uint64, until time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch != s.epoch || serverTime() > until {
		return errors.New("status 409")
	}
	s.freed = append(s.freed, parts...)
	return nil
}

// freedParts returns the keys of the parts that were freed.
func (s *store) freedParts() []kvstore.Key {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.freed)
}

func (s *store) listCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listCalls
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// view is a kvstore.View that returns its fields.
type view struct {
	snapshot *site.Snapshot
	leader   bool
	// leaders are the gateways to poll instead of the store. If there are none, this gateway polls the store itself.
	leaders []netip.Addr
	// others are the other gateways; nil if they are not known.
	others []string
	// floors holds the version floors with which the catalog starts.
	floors      tiering.Floors
	versionsAge time.Duration
	// listedAt is when the others were listed up to date, absent is set if they may not find this gateway, and presentSince is since when they do.
	listedAt, presentSince time.Duration
	absent                 bool
	// listed counts the calls of ListGateways.
	listed atomic.Int32
}

func (v *view) GatewaysAt() ([]string, time.Duration, bool) {
	return v.others, v.listedAt, v.others != nil
}

func (v *view) ListGateways() { v.listed.Add(1) }

func (v *view) PresentSince() (time.Duration, bool) { return v.presentSince, !v.absent }

func (v *view) OtherGateways() ([]string, bool) { return v.others, v.others != nil }

func (v *view) Current() *site.Snapshot { return v.snapshot }
func (v *view) IsLeader(string) bool    { return v.leader }

func (v *view) VersionsAge() time.Duration { return v.versionsAge }

func (v *view) Leaders(string, int) ([]netip.Addr, bool) { return v.leaders, len(v.leaders) == 0 }

// holdTime is longer than a gateway that finds a new epoch requests no saves.
const holdTime = 3 * time.Second

// runCatalog runs check against a catalog of one store, on a virtual clock.
func runCatalog(t *testing.T, s *store, v *view, check func(c *kvstore.Catalog)) {
	t.Helper()
	runCatalogWith(t, s, v, func(*kvstore.Catalog) {}, check)
}

// runCatalogWith is like runCatalog, but calls configure on the catalog before it starts.
func runCatalogWith(t *testing.T, s *store, v *view, configure, check func(c *kvstore.Catalog)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		service := site.Service{Name: "K", Store: &site.CacheStore{Address: "a", Tokens: 1000}}
		if v.snapshot == nil {
			v.snapshot = &site.Snapshot{}
		}
		v.snapshot.Configuration = site.NewConfiguration(1, nil, []site.Service{service}, nil, site.Limits{})
		started := time.Now()
		c := &kvstore.Catalog{View: v, Stores: s, Log: logr.Discard(), Floors: &v.floors, Now: func() time.Duration { return time.Since(started) }}
		configure(c)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		time.Sleep(700 * time.Millisecond)
		check(c)
		cancel()
		<-ended
	})
}

func part(id string, tokens int) tiering.Part { return tiering.Part{ID: id, Tokens: tokens} }

func held(id string, tokens int) kvstore.Held {
	return kvstore.Held{Key: kvstore.Key{Scope: scopeV1, ID: id}, Tokens: tokens}
}

// TestHoldsOnlyCompleteParts guards against a fetch of a part that is being written or that is shorter than the prompt needs.
func TestHoldsOnlyCompleteParts(t *testing.T) {
	s := &store{epoch: 1, held: []kvstore.Held{held("whole", 100), held("short", 50)},
		unfinished: []kvstore.Unfinished{{Key: held("half", 0).Key, Done: 40, Reserved: 100}}}
	runCatalog(t, s, &view{}, func(c *kvstore.Catalog) {
		is := is.New(t)
		scope := c.Scope(scopeV1)
		is.True(scope.Holds("K", part("whole", 100)))
		is.True(!scope.Holds("K", part("short", 100)))
		is.True(!scope.Holds("K", part("half", 100)))
		is.True(!c.Scope("Shared/M/2").Holds("K", part("whole", 100))) // another weight version
		time.Sleep(holdTime)
		is.Equal(scope.Room("K"), 1000-100-50-100)
		now := time.Now()
		scope.SaveBegun(scope.RequestSave("K", part("new", 200), now, now.Add(time.Second)), now)
		is.True(scope.Saving("K", part("new", 200)))
		is.True(!scope.Holds("K", part("new", 200))) // not before the store reports it
		is.Equal(scope.Room("K"), 550)
		s.set(func() { s.changes = append(s.changes, kvstore.Change{Held: held("new", 200)}) })
		time.Sleep(2 * time.Second)
		is.True(scope.Holds("K", part("new", 200)))
		is.Equal(scope.Room("K"), 550)
	})
}

// TestMaxParts guards against stores whose contents take up more memory than a gateway has, and against fetches of untracked parts or
// saves for which there is no room.
func TestMaxParts(t *testing.T) {
	s := &store{epoch: 1, held: []kvstore.Held{held("a", 100), held("b", 100), held("c", 100)}}
	runCatalogWith(t, s, &view{}, func(c *kvstore.Catalog) { c.MaxParts = 2 }, func(c *kvstore.Catalog) {
		is := is.New(t)
		count := func(names ...string) (n int) {
			for _, name := range names {
				if c.Scope(scopeV1).Holds("K", part(name, 100)) {
					n++
				}
			}
			return n
		}
		time.Sleep(holdTime)
		is.Equal(count("a", "b", "c"), 2)
		is.Equal(c.Scope(scopeV1).Room("K"), 1000-300)
		s.set(func() {
			s.changes = nil
			for _, name := range []string{"a", "b", "c"} {
				gone := kvstore.Change{Held: held(name, 0), Gone: true}
				s.changes = append(s.changes, gone)
			}
			s.held = []kvstore.Held{held("d", 100)}
			s.changes = append(s.changes, kvstore.Change{Held: held("d", 100)})
		})
		time.Sleep(20 * time.Second)
		is.Equal(count("d"), 1)
		is.Equal(c.Scope(scopeV1).Room("K"), 900) // a listing showed the room freed by the untracked part
	})
}

// TestStoreRestartDropsContents guards against fetching parts that a store held before it restarted, and against applying events of
// another epoch.
func TestStoreRestartDropsContents(t *testing.T) {
	s := &store{epoch: 1, held: []kvstore.Held{held("a", 100)}}
	runCatalog(t, s, &view{}, func(c *kvstore.Catalog) {
		is := is.New(t)
		scope := c.Scope(scopeV1)
		is.True(scope.Holds("K", part("a", 100)))
		s.set(func() { s.epoch, s.held = 2, nil })
		time.Sleep(2 * time.Second)
		is.True(!scope.Holds("K", part("a", 100)))
		is.Equal(scope.Room("K"), 0) // other gateways may not know of the restart yet
		time.Sleep(holdTime)
		is.Equal(scope.Room("K"), 1000)
	})
}

// TestUnreachableStoreHoldsNothing guards against relying on a store that does not answer.
func TestUnreachableStoreHoldsNothing(t *testing.T) {
	s := &store{epoch: 1, held: []kvstore.Held{held("a", 100)}}
	runCatalog(t, s, &view{}, func(c *kvstore.Catalog) {
		is := is.New(t)
		scope := c.Scope(scopeV1)
		s.set(func() { s.down = true })
		time.Sleep(2 * time.Second)
		is.True(!scope.Holds("K", part("a", 100)))
		is.Equal(scope.Room("K"), 0)
		s.set(func() { s.down = false })
		time.Sleep(2 * time.Second)
		is.True(scope.Holds("K", part("a", 100)))
	})
}

// TestLostEventsCauseRelisting guards against continuing from events of which some are missing.
func TestLostEventsCauseRelisting(t *testing.T) {
	s := &store{epoch: 1}
	runCatalog(t, s, &view{}, func(c *kvstore.Catalog) {
		is := is.New(t)
		s.set(func() { s.lost, s.held = true, []kvstore.Held{held("a", 100)} })
		time.Sleep(2 * time.Second)
		is.True(c.Scope(scopeV1).Holds("K", part("a", 100)))
		is.Equal(s.listCount(), 2)
	})
}

// TestFreesRetiredVersions guards against freeing parts that a gateway with an outdated snapshot may still have an engine fetch, and
// against retaining them for ever.
func TestFreesRetiredVersions(t *testing.T) {
	oldScope, currentScope := scopeV1, tiering.Scope{Model: "M", Version: 2}.String()
	for name, c := range map[string]struct {
		leader   bool
		namedFor time.Duration
		freed    int
	}{
		"named for 5 s":                 {true, 5 * time.Second, 0},
		"named for 1 min":               {true, time.Minute, 1},
		"another gateway is the leader": {false, time.Minute, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := &store{epoch: 1, held: []kvstore.Held{{Key: kvstore.Key{Scope: oldScope, ID: "a"}, Tokens: 10},
				{Key: kvstore.Key{Scope: currentScope, ID: "b"}, Tokens: 10}, {Key: kvstore.Key{Scope: "foreign", ID: "c"}, Tokens: 10}}}
			v := &view{leader: c.leader, snapshot: &site.Snapshot{Versions: map[string]uint64{"M": 2},
				Namings: map[string]site.Namings{"M": {{Version: 2, NamedAt: bootclock.Now() - c.namedFor}}}}}
			runCatalog(t, s, v, func(*kvstore.Catalog) {
				is := is.New(t)
				time.Sleep(2 * time.Second)
				is.Equal(len(s.freedParts()), c.freed)
				for _, key := range s.freedParts() {
					is.Equal(key.Scope, oldScope)
				}
			})
		})
	}
}

// TestFreesVersionsBelowAllFloors guards against parts of a replaced version that take up room needed for the new one although no
// gateway uses them, and against freeing them while a gateway whose floors are unknown may use them.
func TestFreesVersionsBelowAllFloors(t *testing.T) {
	endpoint := func(version uint64) *site.Endpoint {
		return &site.Endpoint{Service: "S", Models: []site.ModelVersion{{Model: "M", Version: version}}}
	}
	for name, c := range map[string]struct {
		others    []string
		peerFloor uint64        // the floor that gateway "G2" reports
		floorAge  time.Duration // age of that floor, and of this gateway's own floor of 2 if endpoints have moved to version 2
		versions  []uint64
		freed     int
		// replaced is how long ago version 2 was named, 0 for 9 s, and listed how long ago the others were listed, 0 for 3 s.
		replaced, listed time.Duration
	}{
		"all floors are above version 1":                {others: []string{"G2"}, peerFloor: 2, floorAge: 10 * time.Second, versions: []uint64{2, 2, 2, 2, 2}, freed: 1},
		"no other gateways":                             {others: []string{}, peerFloor: 0, floorAge: 10 * time.Second, versions: []uint64{2}, freed: 1},
		"a fetch may still be running":                  {others: []string{"G2"}, peerFloor: 2, floorAge: 0, versions: []uint64{2, 2, 2, 2, 2}, freed: 0},
		"many endpoints still have version 1":           {others: []string{"G2"}, peerFloor: 2, floorAge: 10 * time.Second, versions: []uint64{1, 1, 1, 2, 2}, freed: 0},
		"another gateway still uses version 1":          {others: []string{"G2"}, peerFloor: 1, floorAge: 10 * time.Second, versions: []uint64{2, 2, 2, 2, 2}, freed: 0},
		"no floor from one gateway":                     {others: []string{"G2", "G3"}, peerFloor: 2, floorAge: 10 * time.Second, versions: []uint64{2, 2, 2, 2, 2}, freed: 0},
		"other gateways are not known":                  {others: nil, peerFloor: 2, floorAge: 10 * time.Second, versions: []uint64{2, 2, 2, 2, 2}, freed: 0},
		"a gateway may not know of version 2":           {others: []string{"G2"}, peerFloor: 2, floorAge: 6 * time.Second, versions: []uint64{2, 2, 2, 2, 2}, replaced: 7 * time.Second},
		"others were listed before version 2 was named": {others: []string{"G2"}, peerFloor: 2, floorAge: 10 * time.Second, versions: []uint64{2, 2, 2, 2, 2}, listed: 10 * time.Second},
		"a gateway may have left just before the list":  {others: []string{"G2"}, peerFloor: 2, floorAge: 10 * time.Second, versions: []uint64{2, 2, 2, 2, 2}, listed: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := &store{epoch: 1, held: []kvstore.Held{held("a", 100)}}
			namedAt := bootclock.Now() - cmp.Or(c.replaced, 9*time.Second)
			v := &view{leader: true, others: c.others, listedAt: bootclock.Now() - cmp.Or(c.listed, 3*time.Second), snapshot: &site.Snapshot{Versions: map[string]uint64{"M": 2},
				Namings:   map[string]site.Namings{"M": {{Version: 2, NamedAt: namedAt, UnnamedAt: namedAt}}},
				Endpoints: map[string][]*site.Endpoint{}}}
			for _, version := range c.versions {
				v.snapshot.Endpoints["S"] = append(v.snapshot.Endpoints["S"], endpoint(version))
			}
			raisedAt := bootclock.Now() - c.floorAge
			v.floors.SetPeer("G2", 1, map[string]uint64{"M": c.peerFloor}, raisedAt)
			if c.versions[0] == 2 {
				v.floors.Raise("M", 2, raisedAt)
			}
			runCatalog(t, s, v, func(catalog *kvstore.Catalog) {
				is := is.New(t)
				time.Sleep(2 * time.Second)
				is.Equal(len(s.freedParts()), c.freed)
				is.Equal(catalog.Uses("M", 1), c.versions[0] == 1)
			})
		})
	}
}

// TestUsesReplacedVersion guards against a fetch of parts of a replaced version for a gateway that those which free them may not know.
func TestUsesReplacedVersion(t *testing.T) {
	const ago = 3 * time.Second // since version 2 was named
	for name, c := range map[string]struct {
		presentFor time.Duration
		absent     bool
		uses       bool
	}{
		"found since before the naming": {presentFor: 2 * ago, uses: true},
		"found since after the naming":  {presentFor: ago / 2},
		"not found any more":            {presentFor: 2 * ago, absent: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := bootclock.Now()
			catalog := &kvstore.Catalog{Floors: &tiering.Floors{}, View: &view{absent: c.absent, presentSince: now - c.presentFor, snapshot: &site.Snapshot{
				Namings: map[string]site.Namings{"M": {{Version: 2, NamedAt: now - ago, UnnamedAt: now - ago}}}}}}
			is.Equal(catalog.Uses("M", 1), c.uses)
			is.True(catalog.Uses("M", 2))
			is.True(catalog.Uses("N", 1)) // no version of it has been named
		})
	}
}

// TestListsGatewaysIfNeeded guards against lists of the gateways that are up to date, which are dear, while no parts wait for them.
func TestListsGatewaysIfNeeded(t *testing.T) {
	for name, c := range map[string]struct {
		floor            uint64 // of this gateway; that of the other one is unknown
		replaced, listed time.Duration
		held             []kvstore.Held
		lists            bool
	}{
		"parts wait":            {2, 9 * time.Second, 5 * time.Second, []kvstore.Held{held("a", 100)}, true},
		"just listed":           {2, 9 * time.Second, time.Second, []kvstore.Held{held("a", 100)}, false},
		"version is still used": {1, 9 * time.Second, 5 * time.Second, []kvstore.Held{held("a", 100)}, false},
		"just replaced":         {2, time.Second, 5 * time.Second, []kvstore.Held{held("a", 100)}, false},
		"no such parts":         {2, 9 * time.Second, 5 * time.Second, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := bootclock.Now()
			v := &view{leader: true, others: []string{"G2"}, listedAt: now - c.listed, snapshot: &site.Snapshot{Versions: map[string]uint64{"M": 2},
				Namings: map[string]site.Namings{"M": {{Version: 2, NamedAt: now - c.replaced, UnnamedAt: now - c.replaced}}}}}
			v.floors.Raise("M", c.floor, now)
			runCatalog(t, &store{epoch: 1, held: c.held}, v, func(*kvstore.Catalog) {
				time.Sleep(time.Second)
				is.New(t).Equal(v.listed.Load() > 0, c.lists)
			})
		})
	}
}

// TestRaisesFloors guards against versions that are never given up because each version is named before most endpoints have loaded the
// previous one, and against a gateway that does not learn of new versions and so prevents the others from freeing parts.
func TestRaisesFloors(t *testing.T) {
	for name, c := range map[string]struct {
		versions    []uint64 // versions of the endpoints; the named version is 4
		versionsAge time.Duration
		floor       uint64
	}{
		"all have the old version":     {[]uint64{1, 1, 1, 1}, 0, 1},
		"one in four has a newer one":  {[]uint64{1, 1, 1, 2}, 0, 1},
		"half have newer ones":         {[]uint64{1, 2, 1, 3}, 0, 1},
		"four in five have newer ones": {[]uint64{1, 2, 2, 3, 4}, 0, 2},
		"most have the previous one":   {[]uint64{1, 3, 3, 3, 4}, 0, 3},
		"all have the named one":       {[]uint64{4, 4}, 0, 4},
		"there are no endpoints":       {nil, 0, 0},
		"not confirmed recently":       {[]uint64{1, 1, 1, 1}, tiering.MaxViewAge, 3},
		"confirmed recently":           {[]uint64{1, 1, 1, 1}, tiering.MaxViewAge / 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			v := &view{versionsAge: c.versionsAge, snapshot: &site.Snapshot{Versions: map[string]uint64{"M": 4},
				Namings:   map[string]site.Namings{"M": {{Version: 4, NamedAt: bootclock.Now(), UnnamedAt: bootclock.Now()}}},
				Endpoints: map[string][]*site.Endpoint{}}}
			for _, version := range c.versions {
				v.snapshot.Endpoints["S"] = append(v.snapshot.Endpoints["S"],
					&site.Endpoint{Service: "S", Models: []site.ModelVersion{{Model: "M", Version: version}}})
			}
			v.floors.SetPeer("G2", 1, map[string]uint64{"M": 3}, bootclock.Now())
			runCatalog(t, &store{epoch: 1}, v, func(catalog *kvstore.Catalog) {
				time.Sleep(2 * time.Second)
				is.New(t).Equal(catalog.Floors.Own()["M"], c.floor)
			})
		})
	}
}

// TestFreesStalledSaves guards against a stalled save that takes up room for ever, and against freeing a save that still makes
// progress: its part may be complete, and in use by a fetch, by the time it is freed.
func TestFreesStalledSaves(t *testing.T) {
	s := &store{epoch: 1, unfinished: []kvstore.Unfinished{{Key: held("stuck", 0).Key, Done: 10, Reserved: 100},
		{Key: held("slow", 0).Key, Done: 10, Reserved: 100}}}
	runCatalog(t, s, &view{leader: true}, func(*kvstore.Catalog) {
		is := is.New(t)
		time.Sleep(5 * time.Second)
		is.Equal(len(s.freedParts()), 0)
		s.set(func() { s.unfinished[1].Done = 60 })
		time.Sleep(6 * time.Second)
		is.Equal(len(s.freedParts()), 1)
		is.Equal(s.freedParts()[0].ID, "stuck")
		s.set(func() {
			s.unfinished = nil
			s.held = []kvstore.Held{held("slow", 100)}
		})
		time.Sleep(20 * time.Second)
		is.Equal(len(s.freedParts()), 1)
	})
}

// TestFreesNoSaveLongAfterItsListing guards against freeing a save that was stalled when the store listed it and has been completed since, so that
// engines fetch it: the listing was on its way for long, or the gateway stood still after it.
func TestFreesNoSaveLongAfterItsListing(t *testing.T) {
	for name, s := range map[string]*store{"all responses state the time": {}, "listings do": {withoutClock: true},
		"listings do not": {listsWithoutClock: true}} {
		t.Run(name, func(t *testing.T) {
			s.epoch, s.unfinished = 1, []kvstore.Unfinished{{Key: held("stuck", 0).Key, Done: 10, Reserved: 100}}
			s.listDelay = 100 * time.Millisecond
			runCatalog(t, s, &view{leader: true}, func(*kvstore.Catalog) {
				is := is.NewRelaxed(t)
				time.Sleep(time.Minute)
				is.Equal(len(s.freedParts()), 0)
				s.set(func() { s.listDelay = 20 * time.Millisecond })
				time.Sleep(20 * time.Second)
				is.True(len(s.freedParts()) > 0)
			})
		})
	}
}

// TestNoFetchWhileStalledSaveMayBeFreed guards against a fetch of a part that is freed as a stalled save: the save was resumed and completed while the
// call that frees it was on its way, which this gateway learns at once.
func TestNoFetchWhileStalledSaveMayBeFreed(t *testing.T) {
	const freeTime = 50 * time.Millisecond // after a listing
	for name, appear := range map[string]func(s *store){
		"event": func(s *store) { s.changes = append(s.changes, kvstore.Change{Held: held("resumed", 100)}) },
		"listing": func(s *store) {
			s.lost = true
			s.held = append(s.held, held("resumed", 100))
		},
		"first listing after a failure": func(s *store) {
			s.down = true
			s.held = append(s.held, held("resumed", 100))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := &store{epoch: 1, held: []kvstore.Held{held("earlier", 100)}}
			runCatalog(t, s, &view{}, func(c *kvstore.Catalog) {
				is := is.NewRelaxed(t)
				is.True(c.Scope(scopeV1).Holds("K", part("earlier", 100)))
				s.set(func() { appear(s) })
				var told, fetched time.Duration
				listings := s.listCount()
				for range 2000 {
					time.Sleep(time.Millisecond)
					s.set(func() {
						if s.down && !c.Scope(scopeV1).Holds("K", part("earlier", 100)) {
							s.down, listings = false, s.listCalls
						}
						listed := s.listCalls > listings
						if pending := s.down || len(s.changes) > 0 || len(s.held) > 1 && !listed; told == 0 && !pending {
							told = serverTime()
						}
					})
					if fetched == 0 && c.Scope(scopeV1).Holds("K", part("resumed", 100)) {
						fetched = serverTime()
					}
					if told > 0 && fetched == 0 && serverTime() > told+time.Millisecond {
						is.True(c.Scope(scopeV1).Saving("K", part("resumed", 100))) // would be saved again
					}
				}
				is.True(fetched-told >= freeTime)
				is.True(fetched-told < time.Second)
			})
		})
	}
}

// runUntilEnd runs a catalog until the test ends.
func runUntilEnd(t *testing.T, c *kvstore.Catalog) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// newFollower returns a catalog that reads the contents of the store from another one.
func newFollower(t *testing.T, leader *kvstore.Catalog, snapshot *site.Snapshot) *kvstore.Catalog {
	t.Helper()
	relay := httptest.NewServer(leader)
	t.Cleanup(relay.Close)
	address := netip.MustParseAddrPort(relay.Listener.Addr().String())
	return &kvstore.Catalog{View: &view{snapshot: snapshot, leaders: []netip.Addr{address.Addr()}}, Stores: &store{down: true},
		Relays: &kvstore.Relays{Calls: call.New(call.Settings{IdleConnections: 2})}, RelayPort: address.Port(), Log: logr.Discard(), Floors: &tiering.Floors{}}
}

// TestRelay guards against a gateway that polls another one instead of the store and does not learn the store's contents, or continues
// after changes that it has missed.
func TestRelay(t *testing.T) {
	is := is.New(t)
	s := &store{epoch: 1, held: []kvstore.Held{held("a", 100)}, unfinished: []kvstore.Unfinished{{Reserved: 50}}}
	service := site.Service{Name: "K", Store: &site.CacheStore{Address: "a", Tokens: 1000}}
	snapshot := &site.Snapshot{Configuration: site.NewConfiguration(1, nil, []site.Service{service}, nil, site.Limits{})}
	leader := &kvstore.Catalog{View: &view{snapshot: snapshot}, Stores: s, Log: logr.Discard(), Floors: &tiering.Floors{}}
	follower := newFollower(t, leader, snapshot)
	runUntilEnd(t, leader)
	runUntilEnd(t, follower)
	waitFor := func(failure string, done func() bool) {
		for deadline := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal(failure)
			}
		}
	}
	scope := follower.Scope(scopeV1)
	waitFor("the follower did not receive the listing within 10 s", func() bool { return scope.Holds("K", part("a", 100)) })
	waitFor("the follower found no room within 10 s of the listing", func() bool { return scope.Room("K") == 850 })
	s.set(func() {
		s.changes = append(s.changes, kvstore.Change{Held: held("b", 10)}, kvstore.Change{Held: held("a", 100), Gone: true})
	})
	waitFor("the follower did not receive a change within 10 s", func() bool { return scope.Holds("K", part("b", 10)) && !scope.Holds("K", part("a", 100)) })
	s.set(func() { s.epoch, s.held, s.unfinished = 2, []kvstore.Held{held("c", 30)}, nil })
	waitFor("the follower did not receive the new contents within 10 s of the store's restart", func() bool { return scope.Holds("K", part("c", 30)) && !scope.Holds("K", part("b", 10)) })
	is.Equal(scope.Room("K"), 0) // other gateways may not know of the restart yet
	waitFor("the follower found no room within 10 s of the store's restart", func() bool { return scope.Room("K") == 970 })
	clock, ok := follower.Clock()
	is.True(ok && clock > time.Hour)
}
