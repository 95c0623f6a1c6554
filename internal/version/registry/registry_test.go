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
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/tiering"
)

// source plays one kind of object.
type source[T any] struct {
	mu       sync.Mutex
	objects  map[string]registry.Change[T]
	log      []registry.Change[T]
	revision uint64
	// oldest is the revision before which history is gone.
	oldest uint64
	down   bool
	// silent leaves the watches that wait without an answer.
	silent bool
	// lost loses all calls and all answers on their way.
	lost bool
	// stale makes lists show an earlier state, with its revision.
	stale    map[string]registry.Change[T]
	staleAt  uint64
	lists    int
	changed  chan struct{}
	refusals int
}

func newSource[T any]() *source[T] {
	return &source[T]{objects: map[string]registry.Change[T]{}, changed: make(chan struct{})}
}

// isLost reports whether what is under way now is lost.
func (s *source[T]) isLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// unanswered waits as long as a client does for the answer to a call that was lost.
func unanswered(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return platform.ErrUncertain
	}
}

func (s *source[T]) List(ctx context.Context) (changes []registry.Change[T], revision uint64, err error) {
	if s.isLost() {
		return nil, 0, unanswered(ctx, listTime)
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
		objects, revision = s.stale, s.staleAt
	}
	for _, c := range objects {
		changes = append(changes, c)
	}
	return changes, revision, nil
}

func (s *source[T]) Watch(ctx context.Context, after uint64, wait time.Duration) ([]registry.Change[T], uint64, error) {
	begun := time.Now()
	deadline := time.After(wait)
	for {
		if s.isLost() {
			return nil, 0, unanswered(ctx, wait+watchMargin-time.Since(begun))
		}
		s.mu.Lock()
		if s.down {
			s.refusals++
			s.mu.Unlock()
			return nil, 0, platform.ErrRateLimited
		}
		if after < s.oldest {
			s.mu.Unlock()
			return nil, 0, platform.ErrWatchGap
		}
		var changes []registry.Change[T]
		for _, c := range s.log {
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
		silent := s.silent
		s.mu.Unlock()
		if silent {
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
	s.tell(c)
}

func (s *source[T]) drop(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.objects, name)
	s.tell(registry.Change[T]{Name: name, Revision: s.revision, Removed: true})
}

func (s *source[T]) tell(c registry.Change[T]) {
	s.log = append(s.log, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the history, so that watches must list again.
func (s *source[T]) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.oldest, s.log = s.revision, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source[T]) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// shared adds writes to a source.
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
	s.drop(name)
	return nil
}

// world is a registry with all its sources.
type world struct {
	configurations  *source[*site.Configuration]
	endpoints       *source[*site.Endpoint]
	evacuations     *source[struct{}]
	versions        *source[site.ModelVersion]
	shared, members shared
	registry        *registry.Registry
}

// play runs a registry on a virtual clock.
func play(t *testing.T, test func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{configurations: newSource[*site.Configuration](), endpoints: newSource[*site.Endpoint](),
			evacuations: newSource[struct{}](), versions: newSource[site.ModelVersion](),
			shared: shared{newSource[json.RawMessage]()}, members: shared{newSource[json.RawMessage]()}}
		w.registry = &registry.Registry{Name: "G1", Configurations: w.configurations, Endpoints: w.endpoints,
			Evacuations: w.evacuations, Versions: w.versions, Shared: w.shared, Members: w.members, Log: logr.Discard()}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- w.registry.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		test(t, w)
		cancel()
		<-ended
	})
}

func configuration(version uint64) *site.Configuration {
	return site.NewConfiguration(version, nil, nil, nil, site.Limits{})
}

func server(id string) *site.Endpoint { return &site.Endpoint{ID: id, Service: "S"} }

func (w *world) ids() (list []string) {
	for _, e := range w.registry.Current().Endpoints["S"] {
		list = append(list, e.ID)
	}
	return list
}

// TestConfigurationNeverGoesBack guards against an older configuration that comes into force after a newer one, by a stale
// list, an older version under a newer revision, or an entry that cannot be read.
func TestConfigurationNeverGoesBack(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		is.True(!w.registry.Complete())
		w.configurations.put("main", configuration(3), nil)
		time.Sleep(time.Second)
		is.Equal(w.registry.Current().Configuration.Version, uint64(3))
		stale, at := map[string]registry.Change[*site.Configuration]{}, uint64(0)
		w.configurations.set(func() {
			for name, c := range w.configurations.objects {
				stale[name] = c
			}
			at = w.configurations.revision
		})
		w.configurations.put("main", configuration(5), nil)
		time.Sleep(time.Second)
		is.Equal(w.registry.Current().Configuration.Version, uint64(5))
		w.configurations.set(func() { w.configurations.stale, w.configurations.staleAt = stale, at })
		w.configurations.compact()
		time.Sleep(3 * time.Second)
		is.Equal(w.registry.Current().Configuration.Version, uint64(5))
		w.configurations.set(func() { w.configurations.stale = nil })
		time.Sleep(time.Second)
		w.configurations.put("main", configuration(4), nil)
		time.Sleep(time.Second)
		w.configurations.put("main", nil, errors.New("unreadable"))
		time.Sleep(time.Second)
		w.configurations.drop("main")
		time.Sleep(3 * time.Second)
		is.Equal(w.registry.Current().Configuration.Version, uint64(5))
		w.configurations.put("main", configuration(6), nil)
		time.Sleep(3 * time.Second)
		is.Equal(w.registry.Current().Configuration.Version, uint64(6))
	})
}

// watchMargin is what a watch without an answer takes beyond its wait.
const watchMargin = 800 * time.Millisecond

// listTime is how long a client waits for a list.
const listTime = 1500 * time.Millisecond

// TestSilentWatches guards against a configuration that comes late since the store dropped its history and left the watches
// without an answer: the first follower to notice must make the others look again. The bound is the time in which machines
// count as out of touch, and what a configuration may take, on both sites.
func TestSilentWatches(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.configurations.put("main", configuration(1), nil)
		w.versions.put("M", site.ModelVersion{Model: "M", Version: 1}, nil)
		time.Sleep(time.Second)
		for _, compact := range []func(){
			func() { w.versions.set(func() { w.versions.silent = true }); w.versions.compact() },
			func() { w.configurations.set(func() { w.configurations.silent = true }); w.configurations.compact() },
		} {
			compact()
		}
		w.configurations.set(func() { // a change that no event tells
			w.configurations.revision++
			w.configurations.objects["main"] = registry.Change[*site.Configuration]{Name: "main",
				Revision: w.configurations.revision, Value: configuration(2)}
		})
		time.Sleep(4 * time.Second)
		is.Equal(w.registry.Current().Configuration.Version, uint64(2))
	})
}

// contactTime is how long after a disturbance on its way to the store a gateway counts as in touch, as both sites have it.
const contactTime = 3 * time.Second

// evacuateTime is the time within which a failure domain must be left, as both sites have it.
const evacuateTime = 5 * time.Second

// TestSilentPath guards against a watch that goes on waiting for an answer that was lost, after the path to the store has healed:
// whenever the path fell silent, a change made since must be known once the gateway counts as in touch.
func TestSilentPath(t *testing.T) {
	for silence := 200 * time.Millisecond; silence <= 8*time.Second; silence += 300 * time.Millisecond {
		t.Run(silence.String(), func(t *testing.T) {
			play(t, func(t *testing.T, w *world) {
				is := is.New(t)
				lose := func(lost bool) {
					w.configurations.set(func() { w.configurations.lost = lost })
					w.endpoints.set(func() { w.endpoints.lost = lost })
					w.evacuations.set(func() { w.evacuations.lost = lost })
					w.versions.set(func() { w.versions.lost = lost })
					w.shared.set(func() { w.shared.lost = lost })
				}
				time.Sleep(7 * time.Second)
				lose(true)
				time.Sleep(silence / 2)
				w.endpoints.put("e1", &site.Endpoint{ID: "e1", Service: "S"}, nil)
				w.evacuations.put("d1", struct{}{}, nil)
				time.Sleep(silence - silence/2)
				lose(false)
				w.configurations.put("main", configuration(9), nil)
				w.versions.put("M", site.ModelVersion{Model: "M", Version: 4}, nil)
				time.Sleep(contactTime)
				now := w.registry.Current()
				is.Equal(len(now.Endpoints["S"]), 1)
				is.Equal(now.Configuration.Version, uint64(9))
				is.Equal(now.Versions["M"], uint64(4))
				time.Sleep(max(0, evacuateTime-contactTime-silence/2))
				is.True(w.registry.Current().Evacuated["d1"])
			})
		})
	}
}

// TestLostHistory guards against changes that are never seen since they were made while history was dropped.
func TestLostHistory(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.endpoints.put("e1", server("e1"), nil)
		w.endpoints.put("e2", server("e2"), nil)
		time.Sleep(time.Second)
		is.Equal(w.ids(), []string{"e1", "e2"})
		w.endpoints.set(func() { // a change that no event tells
			w.endpoints.revision++
			delete(w.endpoints.objects, "e1")
			w.endpoints.objects["e3"] = registry.Change[*site.Endpoint]{Name: "e3", Revision: w.endpoints.revision, Value: server("e3")}
		})
		w.endpoints.compact()
		time.Sleep(time.Second)
		is.Equal(w.ids(), []string{"e2", "e3"})
	})
}

// TestForeignEndpoint guards against using an entry that another writer made unreadable, and against losing the others.
func TestForeignEndpoint(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.endpoints.put("e1", server("e1"), nil)
		w.endpoints.put("e2", server("e2"), nil)
		w.endpoints.put("e1", nil, errors.New("lacks fields"))
		time.Sleep(time.Second)
		is.Equal(w.ids(), []string{"e2"})
		w.endpoints.put("e1", server("e1"), nil)
		time.Sleep(time.Second)
		is.Equal(w.ids(), []string{"e1", "e2"})
	})
}

// TestEndpointsAfterOutage guards against dropping endpoints whose entries lapsed while the store was away, and against
// keeping those that do not come back.
func TestEndpointsAfterOutage(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.endpoints.put("e1", server("e1"), nil)
		w.endpoints.put("e2", server("e2"), nil)
		time.Sleep(time.Second)
		w.endpoints.set(func() { w.endpoints.down = true })
		time.Sleep(9 * time.Second)
		is.Equal(w.ids(), []string{"e1", "e2"}) // an outage changes nothing
		w.endpoints.drop("e1")
		w.endpoints.drop("e2")
		w.endpoints.set(func() { w.endpoints.down = false })
		time.Sleep(time.Second)
		is.Equal(w.ids(), []string{"e1", "e2"})
		w.endpoints.put("e2", server("e2"), nil)
		time.Sleep(3 * time.Second)
		is.Equal(w.ids(), []string{"e2"})
	})
}

// TestEndpointRemoved guards against work for an endpoint that left while the store is well.
func TestEndpointRemoved(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.endpoints.put("e1", server("e1"), nil)
		time.Sleep(10 * time.Second)
		w.endpoints.drop("e1")
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(w.ids()), 0)
	})
}

// TestOutageIsNotPressed guards against calls that pile up while the store is away, and against noticing its return late.
func TestOutageIsNotPressed(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.configurations.put("main", configuration(1), nil)
		time.Sleep(time.Second)
		w.configurations.set(func() { w.configurations.down = true })
		time.Sleep(30 * time.Second)
		w.configurations.set(func() {
			is.True(w.configurations.refusals < 80)
			w.configurations.down = false
		})
		w.configurations.put("main", configuration(2), nil)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(w.registry.Current().Configuration.Version, uint64(2))
	})
}

// TestEvacuationsAndVersions guards against missing that a failure domain was taken out or back, and a named version.
func TestEvacuationsAndVersions(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.evacuations.put("d1", struct{}{}, nil)
		w.versions.put("M", site.ModelVersion{Model: "M", Version: 3}, nil)
		w.versions.put("M", site.ModelVersion{Model: "M", Version: 2}, nil)
		time.Sleep(time.Second)
		is.True(w.registry.Current().Evacuated["d1"])
		is.Equal(w.registry.Current().Versions["M"], uint64(3)) // never back
		w.evacuations.drop("d1")
		time.Sleep(time.Second)
		is.True(!w.registry.Current().Evacuated["d1"])
	})
}

// TestVersionFoundAtStart guards against a process that, just started, uses what others have long given up: it cannot know when a
// version was named that it finds.
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
		now := r.Current()
		is.Equal(now.Versions["M"], uint64(2))
		is.True(!tiering.MayUse(1, 2, 0, 0-now.UnnamedAt["M"])) // even on a machine that has just started
		cancel()
		is.NoErr(<-ended)
	})
}

// TestGatewaysAreCounted guards against limits that are shared with gateways that are gone, or not with those that are there.
func TestGatewaysAreCounted(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		time.Sleep(time.Second)
		is.Equal(w.registry.Current().Gateways, 1)
		for n := range 3 {
			w.members.put(fmt.Sprintf("H%d", n), json.RawMessage(`{"Name":"H"}`), nil)
		}
		time.Sleep(6 * time.Second)
		is.Equal(w.registry.Current().Gateways, 4)
		time.Sleep(40 * time.Second)
		is.Equal(w.registry.Current().Gateways, 1) // the others fell silent
		is.Equal(len(w.registry.Peers()), 0)
		time.Sleep(2 * time.Minute)
		w.members.set(func() { is.Equal(len(w.members.objects), 1) }) // their objects are gone
	})
}

// TestCrashesAreShared guards against a crashing request that each gateway has to learn of by itself.
func TestCrashesAreShared(t *testing.T) {
	play(t, func(t *testing.T, w *world) {
		is := is.New(t)
		is.NoErr(w.registry.Crashed(t.Context(), 7, "e1"))
		time.Sleep(time.Second)
		is.NoErr(w.registry.Crashed(t.Context(), 7, "e2"))
		time.Sleep(time.Second)
		is.Equal(w.registry.Current().Marks[7], []string{"e1", "e2"})
		time.Sleep(20 * time.Minute)
		is.Equal(len(w.registry.Current().Marks), 0) // a mark does not stay for ever
	})
}
