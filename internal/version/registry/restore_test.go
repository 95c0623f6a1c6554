package registry_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/version/registry"
	"primrosecourse/pkg/quarantine"
	"primrosecourse/pkg/site"
)

// copied is a copy of the state of a source.
type copied[T any] struct {
	objects  map[string]registry.Change[T]
	revision uint64
}

func (s *source[T]) copy() copied[T] {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copied[T]{objects: maps.Clone(s.objects), revision: s.revision}
}

// restore brings a source back to an earlier state, in the next era.
func (s *source[T]) restore(c copied[T]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	base := (registry.Era(s.revision) + 1) * registry.EraSize
	s.objects, s.history = map[string]registry.Change[T]{}, nil
	for name, o := range c.objects {
		o.Revision = base + o.Revision%registry.EraSize
		s.objects[name] = o
	}
	s.revision = base + c.revision%registry.EraSize
	s.oldest = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// TestConfigurationAfterRestore guards against a gateway that goes back to an older configuration when the store was restored from a copy, or
// that no longer hears of new ones.
func TestConfigurationAfterRestore(t *testing.T) {
	for name, writes := range map[string]int{"fewer revisions than before": 1, "as many": 4, "more": 9} {
		t.Run(name, func(t *testing.T) {
			runRegistry(t, func(t *testing.T, f *fixture) {
				is := is.New(t)
				version := func() uint64 { return f.registry.Current().Configuration.Version }
				f.configurations.put("main", configuration(3), nil)
				time.Sleep(time.Second)
				old := f.configurations.copy()
				for v := range uint64(4) {
					f.configurations.put("main", configuration(4+v), nil)
				}
				time.Sleep(time.Second)
				is.Equal(version(), uint64(7))
				f.configurations.restore(old)
				for range 10 {
					time.Sleep(100 * time.Millisecond)
					is.Equal(version(), uint64(7))
				}
				for v := range uint64(writes) {
					f.configurations.put("main", configuration(7+v), nil) // first the lost one again
					time.Sleep(500 * time.Millisecond)
					is.Equal(version(), 7+v)
				}
				f.configurations.put("main", configuration(30), nil)
				time.Sleep(2 * time.Second) // the time within which a configuration must be in force
				is.Equal(version(), uint64(30))
			})
		})
	}
}

// TestSecondRestore guards against a restore that is missed since it follows within seconds of another.
func TestSecondRestore(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.endpoints.put("a", endpoint("a"), nil)
		time.Sleep(time.Second)
		first := f.endpoints.copy()
		f.endpoints.put("b", endpoint("b"), nil)
		time.Sleep(time.Second)
		f.endpoints.restore(first)
		time.Sleep(time.Second)
		f.endpoints.restore(first)
		f.endpoints.put("c", endpoint("c"), nil)
		time.Sleep(time.Second)
		is.Equal(f.ids(), []string{"a", "b", "c"})
		f.endpoints.put("b", endpoint("b"), nil)
		time.Sleep(8 * time.Second)
		is.Equal(f.ids(), []string{"a", "b", "c"})
		f.endpoints.remove("a")
		time.Sleep(time.Second)
		is.Equal(f.ids(), []string{"b", "c"})
	})
}

// TestEndpointsAfterRestore guards against requests to an endpoint that had left, and against the loss of one that had come, because the copy from
// which the store was restored is older.
func TestEndpointsAfterRestore(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		state := func(id string) site.State {
			for _, e := range f.registry.Current().Endpoints["S"] {
				if e.ID == id {
					return e.State
				}
			}
			return site.State(9)
		}
		for _, id := range []string{"drains", "leaves", "stays"} {
			f.endpoints.put(id, endpoint(id), nil)
		}
		time.Sleep(time.Second)
		old := f.endpoints.copy()
		draining := endpoint("drains")
		draining.State = site.Draining
		f.endpoints.put("drains", draining, nil)
		f.endpoints.remove("leaves")
		f.endpoints.put("comes", endpoint("comes"), nil)
		time.Sleep(time.Second)
		is.Equal(f.ids(), []string{"comes", "drains", "stays"})
		f.endpoints.restore(old)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(f.ids(), []string{"comes", "drains", "stays"})
			is.Equal(state("drains"), site.Draining)
		}
		// Endpoints write themselves again; the entry of the one that left expires.
		f.endpoints.put("comes", endpoint("comes"), nil)
		f.endpoints.put("drains", draining, nil)
		f.endpoints.remove("leaves")
		restarted := endpoint("stays")
		restarted.StartedAt = time.Now()
		f.endpoints.put("stays", restarted, nil)
		time.Sleep(6 * time.Second)
		is.Equal(f.ids(), []string{"comes", "drains", "stays"})
		is.Equal(state("drains"), site.Draining)
	})
}

// TestEndpointGoneAfterRestore guards against an endpoint that is kept for ever since the restored store never had it.
func TestEndpointGoneAfterRestore(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.endpoints.put("a", endpoint("a"), nil)
		time.Sleep(time.Second)
		old := f.endpoints.copy()
		f.endpoints.put("b", endpoint("b"), nil)
		time.Sleep(time.Second)
		f.endpoints.restore(old)
		time.Sleep(8 * time.Second)
		is.Equal(f.ids(), []string{"a"})
	})
}

// TestEvacuationsAfterRestore guards against an evacuation that is given up, and against one that returns, because the copy from which the store
// was restored is older.
func TestEvacuationsAfterRestore(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		evacuated := func() map[string]bool { return f.registry.Current().Evacuated }
		f.evacuations.put("before", struct{}{}, nil)
		time.Sleep(time.Second)
		old := f.evacuations.copy()
		f.evacuations.remove("before")
		f.evacuations.put("after", struct{}{}, nil)
		time.Sleep(time.Second)
		f.evacuations.restore(old)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(evacuated(), map[string]bool{"after": true})
		}
		f.evacuations.remove("before") // the operator writes again what was lost
		f.evacuations.put("after", struct{}{}, nil)
		f.evacuations.put("new", struct{}{}, nil)
		time.Sleep(500 * time.Millisecond)
		is.Equal(evacuated(), map[string]bool{"after": true, "new": true})
		time.Sleep(5 * time.Second)
		is.Equal(evacuated(), map[string]bool{"after": true, "new": true})
	})
}

// TestMarksAfterRestore guards against requests that are no longer known to crash endpoints, since the store lost the marks.
func TestMarksAfterRestore(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		is.NoErr(f.registry.RecordCrash(t.Context(), 1, quarantine.Evidence{Endpoints: []string{"a"}}))
		time.Sleep(time.Second)
		old := f.shared.copy()
		is.NoErr(f.registry.RecordCrash(t.Context(), 1, quarantine.Evidence{Endpoints: []string{"b"}}))
		is.NoErr(f.registry.RecordCrash(t.Context(), 2, quarantine.Evidence{Endpoints: []string{"c"}}))
		time.Sleep(time.Second)
		f.shared.restore(old)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(f.registry.Current().Marks, map[uint64]quarantine.Evidence{1: {Endpoints: []string{"a", "b"}, Crashes: 1}, 2: {Endpoints: []string{"c"}, Crashes: 1}})
		}
		var m registry.Mark
		value, _, err := f.shared.Get(t.Context(), "Mark.0000000000000001")
		is.NoErr(err)
		is.NoErr(json.Unmarshal(value, &m))
		is.Equal(m.Endpoints, []string{"a", "b"})
		_, _, err = f.shared.Get(t.Context(), "Mark.0000000000000002")
		is.NoErr(err)
	})
}

// TestGatewaysAfterRestore guards against a share of limits that grows while the restored store lacks the other gateways, or has them with lower
// numbers than before.
func TestGatewaysAfterRestore(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		beat := func(name string, n int) {
			f.members.put(name, json.RawMessage(fmt.Sprintf(`{"Name":%q,"Beat":%d}`, name, n)), nil)
		}
		beat("G2", 1)
		time.Sleep(10 * time.Second)
		old := f.members.copy()
		beat("G3", 1)
		time.Sleep(10 * time.Second)
		is.Equal(f.registry.Current().Gateways, 3)
		f.members.restore(old)
		for n := range 10 {
			time.Sleep(5 * time.Second)
			is.Equal(f.registry.Current().Gateways, 3)
			beat("G2", n+2)
			if n > 0 { // it writes itself again late
				beat("G3", n+2)
			}
		}
	})
}
