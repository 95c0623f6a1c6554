package registry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/version/registry"
	"primrosecourse/pkg/quarantine"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/tiering"
)

// source is a fake Source of one kind of object.
type source[T any] struct {
	mu       sync.Mutex
	objects  map[string]registry.Change[T]
	history  []registry.Change[T]
	revision uint64
	// oldest is the lowest revision from which a watch can continue.
	oldest uint64
	down   bool
	// hung is set while pending watches time out at the client instead of returning the changes made meanwhile.
	hung bool
	// pathDown is set while all calls and responses are lost in transit.
	pathDown bool
	// stale, if not nil, is an earlier state that lists return, with the revision staleRevision.
	stale         map[string]registry.Change[T]
	staleRevision uint64
	lists         int
	// gapTime, if positive, is the time after which each watch fails with ErrWatchGap.
	gapTime  time.Duration
	changed  chan struct{}
	refusals int
}

func newSource[T any]() *source[T] {
	return &source[T]{objects: map[string]registry.Change[T]{}, changed: make(chan struct{})}
}

// isPathDown reports whether calls and responses are lost in transit now.
func (s *source[T]) isPathDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pathDown
}

// awaitLostResponse waits until the client times out, and returns the error that the client then returns.
func awaitLostResponse(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return platform.ErrUncertain
	}
}

func (s *source[T]) List(ctx context.Context) (changes []registry.Change[T], revision uint64, err error) {
	if s.isPathDown() {
		return nil, 0, awaitLostResponse(ctx, listTimeout)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.down {
		s.refusals++
		return nil, 0, platform.ErrRateLimited
	}
	objects, revision := s.objects, s.revision
	if s.stale != nil {
		objects, revision = s.stale, s.staleRevision
	}
	for _, c := range objects {
		changes = append(changes, c)
	}
	return changes, revision, nil
}

func (s *source[T]) Watch(ctx context.Context, after uint64, wait time.Duration) ([]registry.Change[T], uint64, error) {
	start := time.Now()
	deadline := time.After(wait)
	for {
		if s.isPathDown() {
			return nil, 0, awaitLostResponse(ctx, wait+watchMargin-time.Since(start))
		}
		s.mu.Lock()
		if s.down {
			s.refusals++
			s.mu.Unlock()
			return nil, 0, platform.ErrRateLimited
		}
		if gapTime := s.gapTime; gapTime > 0 {
			s.mu.Unlock()
			time.Sleep(gapTime)
			return nil, 0, platform.ErrWatchGap
		}
		if after < s.oldest {
			s.mu.Unlock()
			return nil, 0, platform.ErrWatchGap
		}
		var changes []registry.Change[T]
		for _, c := range s.history {
			if c.Revision > after {
				changes = append(changes, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(changes) > 0 {
			return changes, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-deadline:
			return nil, revision, nil
		case <-changed:
		}
		s.mu.Lock()
		hung := s.hung
		s.mu.Unlock()
		if hung {
			select {
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			case <-deadline:
				<-time.After(watchMargin)
				return nil, 0, platform.ErrUncertain
			}
		}
	}
}

func (s *source[T]) put(name string, value T, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	c := registry.Change[T]{Name: name, Revision: s.revision, Value: value, Err: err}
	s.objects[name] = c
	s.record(c)
}

func (s *source[T]) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.objects, name)
	s.record(registry.Change[T]{Name: name, Revision: s.revision, Removed: true})
}

// record adds a change to the history and wakes the pending watches. The caller must hold mu.
func (s *source[T]) record(c registry.Change[T]) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the history, so that watches fail with ErrWatchGap and the follower must list again.
func (s *source[T]) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.oldest, s.history = s.revision, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// set runs change with mu held.
func (s *source[T]) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// disrupt runs change with mu held and lets the pending watches notice it.
func (s *source[T]) disrupt(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// shared adds Get and the writes of registry.Objects to a source.
type shared struct{ *source[json.RawMessage] }

func (s shared) Get(_ context.Context, name string) (json.RawMessage, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.objects[name]
	if !ok {
		return nil, 0, platform.ErrNotFound
	}
	return c.Value, c.Revision, nil
}

func (s shared) Put(_ context.Context, name string, revision uint64, value any) (uint64, error) {
	s.mu.Lock()
	if s.objects[name].Revision != revision {
		s.mu.Unlock()
		return 0, platform.ErrConflict
	}
	s.mu.Unlock()
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	s.put(name, encoded, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, nil
}

func (s shared) Delete(_ context.Context, name string, _ uint64) error {
	s.remove(name)
	return nil
}

// fixture is a registry with all its sources.
type fixture struct {
	configurations  *source[*site.Configuration]
	endpoints       *source[*site.Endpoint]
	evacuations     *source[struct{}]
	versions        *source[site.ModelVersion]
	shared, members shared
	// currentMembers has the objects of the gateways that are listed up to date.
	currentMembers *source[json.RawMessage]
	registry       *registry.Registry
}

// runRegistry runs a test with a running registry on a virtual clock.
func runRegistry(t *testing.T, test func(t *testing.T, f *fixture)) {
	t.Helper()
	runRegistryWithLog(t, logr.Discard(), test)
}

func runRegistryWithLog(t *testing.T, log logr.Logger, test func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{configurations: newSource[*site.Configuration](), endpoints: newSource[*site.Endpoint](),
			evacuations: newSource[struct{}](), versions: newSource[site.ModelVersion](),
			shared: shared{newSource[json.RawMessage]()}, members: shared{newSource[json.RawMessage]()},
			currentMembers: newSource[json.RawMessage]()}
		f.registry = &registry.Registry{Name: "G1", Configurations: f.configurations, Endpoints: f.endpoints,
			Evacuations: f.evacuations, Versions: f.versions, Shared: f.shared, Members: f.members, CurrentMembers: f.currentMembers, Log: log}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- f.registry.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		test(t, f)
		cancel()
		<-ended
	})
}

func configuration(version uint64) *site.Configuration {
	return site.NewConfiguration(version, nil, nil, nil, site.Limits{})
}

func endpoint(id string) *site.Endpoint { return &site.Endpoint{ID: id, Service: "S"} }

func (f *fixture) ids() (list []string) {
	for _, e := range f.registry.Current().Endpoints["S"] {
		list = append(list, e.ID)
	}
	return list
}

// TestConfigurationVersionNeverDecreases guards against an older configuration replacing a newer one because of a stale list,
// an older version with a newer revision, or an object that is unreadable or removed.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		is.True(!f.registry.Complete())
		f.configurations.put("main", configuration(3), nil)
		time.Sleep(time.Second)
		is.Equal(f.registry.Current().Configuration.Version, uint64(3))
		stale, staleRevision := map[string]registry.Change[*site.Configuration]{}, uint64(0)
		f.configurations.set(func() {
			for name, c := range f.configurations.objects {
				stale[name] = c
			}
			staleRevision = f.configurations.revision
		})
		f.configurations.put("main", configuration(5), nil)
		time.Sleep(time.Second)
		is.Equal(f.registry.Current().Configuration.Version, uint64(5))
		f.configurations.set(func() { f.configurations.stale, f.configurations.staleRevision = stale, staleRevision })
		f.configurations.compact()
		time.Sleep(3 * time.Second)
		is.Equal(f.registry.Current().Configuration.Version, uint64(5))
		f.configurations.set(func() { f.configurations.stale = nil })
		time.Sleep(time.Second)
		f.configurations.put("main", configuration(4), nil)
		time.Sleep(time.Second)
		f.configurations.put("main", nil, errors.New("unreadable"))
		time.Sleep(time.Second)
		f.configurations.remove("main")
		time.Sleep(3 * time.Second)
		is.Equal(f.registry.Current().Configuration.Version, uint64(5))
		f.configurations.put("main", configuration(6), nil)
		time.Sleep(3 * time.Second)
		is.Equal(f.registry.Current().Configuration.Version, uint64(6))
	})
}

// watchMargin is how much longer than the wait of a watch the client waits for its response.
const watchMargin = 800 * time.Millisecond

// listTimeout is how long a client waits for the response to a list.
const listTimeout = 1500 * time.Millisecond

// TestUnansweredWatches guards against a configuration that is applied late because the store dropped its history and left
// the pending watches without a response. The first follower that detects this must make the others restart their watches. The
// limit is the time within which a gateway counts as disconnected and within which a configuration must be in force.
func TestUnansweredWatches(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.configurations.put("main", configuration(1), nil)
		f.versions.put("M", site.ModelVersion{Model: "M", Version: 1}, nil)
		time.Sleep(time.Second)
		for _, compact := range []func(){
			func() { f.versions.set(func() { f.versions.hung = true }); f.versions.compact() },
			func() { f.configurations.set(func() { f.configurations.hung = true }); f.configurations.compact() },
		} {
			compact()
		}
		f.configurations.set(func() { // a change that is missing from the history
			f.configurations.revision++
			f.configurations.objects["main"] = registry.Change[*site.Configuration]{Name: "main",
				Revision: f.configurations.revision, Value: configuration(2)}
		})
		time.Sleep(4 * time.Second)
		is.Equal(f.registry.Current().Configuration.Version, uint64(2))
	})
}

// reconnectTime is how long after a disruption of its path to the store a gateway counts as connected again.
const reconnectTime = 3 * time.Second

// evacuationTime is the time within which a failure domain must be left.
const evacuationTime = 5 * time.Second

// TestLostAnswers guards against a watch that keeps waiting for a lost response after the path to the store has recovered.
// However long the path was down, a change made meanwhile must be known once the gateway counts as connected again.
func TestLostAnswers(t *testing.T) {
	for outage := 200 * time.Millisecond; outage <= 8*time.Second; outage += 300 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			runRegistry(t, func(t *testing.T, f *fixture) {
				is := is.New(t)
				setPathDown := func(down bool) {
					f.configurations.set(func() { f.configurations.pathDown = down })
					f.endpoints.set(func() { f.endpoints.pathDown = down })
					f.evacuations.set(func() { f.evacuations.pathDown = down })
					f.versions.set(func() { f.versions.pathDown = down })
					f.shared.set(func() { f.shared.pathDown = down })
				}
				time.Sleep(7 * time.Second)
				setPathDown(true)
				time.Sleep(outage / 2)
				f.endpoints.put("e1", &site.Endpoint{ID: "e1", Service: "S"}, nil)
				f.evacuations.put("d1", struct{}{}, nil)
				time.Sleep(outage - outage/2)
				setPathDown(false)
				f.configurations.put("main", configuration(9), nil)
				f.versions.put("M", site.ModelVersion{Model: "M", Version: 4}, nil)
				time.Sleep(reconnectTime)
				snapshot := f.registry.Current()
				is.Equal(len(snapshot.Endpoints["S"]), 1)
				is.Equal(snapshot.Configuration.Version, uint64(9))
				is.Equal(snapshot.Versions["M"], uint64(4))
				time.Sleep(max(0, evacuationTime-reconnectTime-outage/2))
				is.True(f.registry.Current().Evacuated["d1"])
			})
		})
	}
}

// TestLostHistory guards against ignoring changes that were made while the store dropped its history.
func TestLostHistory(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.endpoints.put("e1", endpoint("e1"), nil)
		f.endpoints.put("e2", endpoint("e2"), nil)
		time.Sleep(time.Second)
		is.Equal(f.ids(), []string{"e1", "e2"})
		f.endpoints.set(func() { // a change that is missing from the history
			f.endpoints.revision++
			delete(f.endpoints.objects, "e1")
			f.endpoints.objects["e3"] = registry.Change[*site.Endpoint]{Name: "e3", Revision: f.endpoints.revision, Value: endpoint("e3")}
		})
		f.endpoints.compact()
		time.Sleep(time.Second)
		is.Equal(f.ids(), []string{"e2", "e3"})
	})
}

// TestUnreadableEndpoint guards against using an endpoint whose object another writer made unreadable, and against losing the
// other endpoints.
func TestUnreadableEndpoint(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.endpoints.put("e1", endpoint("e1"), nil)
		f.endpoints.put("e2", endpoint("e2"), nil)
		f.endpoints.put("e1", nil, errors.New("lacks fields"))
		time.Sleep(time.Second)
		is.Equal(f.ids(), []string{"e2"})
		f.endpoints.put("e1", endpoint("e1"), nil)
		time.Sleep(time.Second)
		is.Equal(f.ids(), []string{"e1", "e2"})
	})
}

// TestEndpointsAfterOutage guards against dropping endpoints whose objects expired during an outage of the store, and against
// keeping those that do not come back afterwards.
func TestEndpointsAfterOutage(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.endpoints.put("e1", endpoint("e1"), nil)
		f.endpoints.put("e2", endpoint("e2"), nil)
		time.Sleep(time.Second)
		f.endpoints.set(func() { f.endpoints.down = true })
		time.Sleep(9 * time.Second)
		is.Equal(f.ids(), []string{"e1", "e2"}) // an outage changes nothing
		f.endpoints.remove("e1")
		f.endpoints.remove("e2")
		f.endpoints.set(func() { f.endpoints.down = false })
		time.Sleep(time.Second)
		is.Equal(f.ids(), []string{"e1", "e2"})
		f.endpoints.put("e2", endpoint("e2"), nil)
		time.Sleep(3 * time.Second)
		is.Equal(f.ids(), []string{"e2"})
	})
}

// TestEndpointRemoved guards against sending work to an endpoint that was removed while the store was healthy.
func TestEndpointRemoved(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.endpoints.put("e1", endpoint("e1"), nil)
		time.Sleep(10 * time.Second)
		f.endpoints.remove("e1")
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(f.ids()), 0)
	})
}

// TestEndpointRemovedAfterOutage guards against sending work to an endpoint later than it serves after its removal, since a call to the store failed a
// moment before: one that was lost in an outage and failed only after it, or a single one.
func TestEndpointRemovedAfterOutage(t *testing.T) {
	const drainTime = 2 * time.Second
	lost := func(s *source[*site.Endpoint], on bool) { s.pathDown = on }
	refused := func(s *source[*site.Endpoint], on bool) { s.down = on }
	for name, c := range map[string]struct {
		disrupt func(s *source[*site.Endpoint], on bool)
		outage  time.Duration
		// after is the time from the end of the outage until the removal, within that from the removal until the endpoint must not be used.
		after, within time.Duration
	}{
		"calls lost in an outage":      {lost, 4500 * time.Millisecond, 3 * time.Second, drainTime},
		"calls lost in a short outage": {lost, 100 * time.Millisecond, 3 * time.Second, drainTime},
		"calls refused in an outage":   {refused, 4500 * time.Millisecond, 3 * time.Second, 500 * time.Millisecond},
		"removed soon after":           {refused, 4500 * time.Millisecond, 1500 * time.Millisecond, drainTime},
		"one call refused":             {refused, time.Millisecond, 500 * time.Millisecond, drainTime},
	} {
		t.Run(name, func(t *testing.T) {
			runRegistry(t, func(t *testing.T, f *fixture) {
				is := is.New(t)
				f.endpoints.put("e1", endpoint("e1"), nil)
				f.endpoints.put("e2", endpoint("e2"), nil)
				time.Sleep(10 * time.Second)
				f.endpoints.disrupt(func() { c.disrupt(f.endpoints, true) })
				time.Sleep(c.outage)
				f.endpoints.set(func() { c.disrupt(f.endpoints, false) })
				time.Sleep(c.after)
				f.endpoints.remove("e1")
				time.Sleep(c.within)
				is.Equal(f.ids(), []string{"e2"})
			})
		})
	}
}

// TestRetryBackoff guards against too many calls during an outage of the store, and against detecting its end late.
func TestRetryBackoff(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.configurations.put("main", configuration(1), nil)
		time.Sleep(time.Second)
		f.configurations.set(func() { f.configurations.down = true })
		time.Sleep(30 * time.Second)
		f.configurations.set(func() {
			is.True(f.configurations.refusals < 80)
			f.configurations.down = false
		})
		f.configurations.put("main", configuration(2), nil)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(f.registry.Current().Configuration.Version, uint64(2))
	})
}

// TestEvacuationsAndVersions guards against ignoring the start or the end of an evacuation or a new weight version, and
// against returning to a lower weight version.
func TestEvacuationsAndVersions(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.evacuations.put("d1", struct{}{}, nil)
		f.versions.put("M", site.ModelVersion{Model: "M", Version: 3}, nil)
		f.versions.put("M", site.ModelVersion{Model: "M", Version: 2}, nil)
		time.Sleep(time.Second)
		is.True(f.registry.Current().Evacuated["d1"])
		is.Equal(f.registry.Current().Versions["M"], uint64(3)) // the lower version is ignored
		f.evacuations.remove("d1")
		time.Sleep(time.Second)
		is.True(!f.registry.Current().Evacuated["d1"])
	})
}

// TestVersionFoundAtStart guards against a newly started gateway using cached blocks of a replaced weight version that others
// no longer use. The gateway cannot know when the version that it finds in the store was named.
func TestVersionFoundAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		versions := newSource[site.ModelVersion]()
		versions.put("M", site.ModelVersion{Model: "M", Version: 2}, nil)
		r := &registry.Registry{Name: "G1", Configurations: newSource[*site.Configuration](), Endpoints: newSource[*site.Endpoint](),
			Evacuations: newSource[struct{}](), Versions: versions, Shared: shared{newSource[json.RawMessage]()},
			Members: shared{newSource[json.RawMessage]()}, Log: logr.Discard()}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		time.Sleep(time.Second)
		snapshot := r.Current()
		is.Equal(snapshot.Versions["M"], uint64(2))
		is.True(!tiering.Lifetimes{}.MayUse(1, 2, 0, snapshot.Namings["M"].MaxReplacedFor(1, 0))) // holds even at boot clock 0, on a machine that has just booted
		cancel()
		is.NoErr(<-ended)
	})
}

// TestGatewayCount guards against sharing limits with gateways that are gone, and against not sharing them with those that are
// present.
func TestGatewayCount(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		time.Sleep(time.Second)
		is.Equal(f.registry.Current().Gateways, 1)
		for n := range 3 {
			f.members.put(fmt.Sprintf("H%d", n), json.RawMessage(`{"Name":"H"}`), nil)
		}
		time.Sleep(6 * time.Second)
		is.Equal(f.registry.Current().Gateways, 4)
		time.Sleep(40 * time.Second)
		is.Equal(f.registry.Current().Gateways, 1) // the heartbeats of the others timed out
		is.Equal(len(f.registry.Peers()), 0)
		time.Sleep(2 * time.Minute)
		f.members.set(func() { is.Equal(len(f.members.objects), 1) }) // the objects of the others were deleted
	})
}

// TestClearedCrashMarks guards against a mark that stays although its request has ended well, and against one that is removed with a crash
// that was recorded meanwhile.
func TestClearedCrashMarks(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		known := quarantine.Evidence{Endpoints: []string{"e1"}, Crashes: 1}
		is.NoErr(f.registry.ClearCrash(t.Context(), 7, known)) // there is none
		is.NoErr(f.registry.RecordCrash(t.Context(), 7, known))
		time.Sleep(time.Second)
		is.NoErr(f.registry.ClearCrash(t.Context(), 7, known))
		time.Sleep(time.Second)
		is.Equal(len(f.registry.Current().Marks), 0)
		is.NoErr(f.registry.RecordCrash(t.Context(), 7, quarantine.Evidence{Endpoints: []string{"e1", "e2"}, Crashes: 2}))
		is.NoErr(f.registry.ClearCrash(t.Context(), 7, known))
		time.Sleep(time.Second)
		is.Equal(f.registry.Current().Marks[7], quarantine.Evidence{Endpoints: []string{"e1", "e2"}, Crashes: 2})
	})
}

// TestSharedCrashMarks guards against crash marks that are overwritten by another crash of the same request or kept beyond their
// retention time.
func TestSharedCrashMarks(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		is.NoErr(f.registry.RecordCrash(t.Context(), 7, quarantine.Evidence{Endpoints: []string{"e1"}}))
		time.Sleep(time.Second)
		is.NoErr(f.registry.RecordCrash(t.Context(), 7, quarantine.Evidence{Endpoints: []string{"e2"}}))
		time.Sleep(time.Second)
		is.Equal(f.registry.Current().Marks[7].Endpoints, []string{"e1", "e2"})
		time.Sleep(20 * time.Minute)
		is.Equal(len(f.registry.Current().Marks), 0) // marks are deleted after their retention time
	})
}
