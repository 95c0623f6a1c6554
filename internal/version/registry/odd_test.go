package registry_test

import (
	"encoding/json"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"primrosecourse/internal/version/registry"
	"primrosecourse/pkg/quarantine"
)

// TestRepeatedWatchGaps guards against lists without a pause while each watch fails for want of history.
func TestRepeatedWatchGaps(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.endpoints.set(func() { f.endpoints.gapTime, f.endpoints.lists = 10*time.Millisecond, 0 })
		f.endpoints.put("i-1", endpoint("i-1"), nil)
		time.Sleep(10 * time.Second)
		f.endpoints.set(func() {
			is.True(f.endpoints.lists >= 5)
			is.True(f.endpoints.lists <= 30)
			f.endpoints.gapTime = 0
		})
		f.endpoints.put("i-2", endpoint("i-2"), nil)
		time.Sleep(2 * time.Second)
		is.Equal(f.ids(), []string{"i-1", "i-2"})
	})
}

// TestOddUpdating guards against endpoints that are used while they update, since another writer's object has a token above all others.
func TestOddUpdating(t *testing.T) {
	for _, odd := range []string{`"unreadable"`, `{"Token":18446744073709551615,"Endpoints":["x"]}`, `{"Token":1000000000000,"Endpoints":["x"]}`, `{"Token":1e400}`} {
		runRegistry(t, func(t *testing.T, f *fixture) {
			is := is.New(t)
			put := func(value string) {
				f.shared.put(registry.UpdatingName(), json.RawMessage(value), nil)
				time.Sleep(time.Second)
			}
			put(`{"Token":4,"Endpoints":["e1"]}`)
			put(odd)
			is.Equal(f.registry.Current().Updating, map[string]bool{"e1": true})
			put(`{"Token":5,"Endpoints":["e2"]}`)
			is.Equal(f.registry.Current().Updating, map[string]bool{"e2": true})
		})
	}
}

// TestOddMarks guards against a crash that is not recorded or forgotten, since another writer replaced the object in which it is to be.
func TestOddMarks(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		crash := func(part uint64) quarantine.Crash {
			return quarantine.Crash{Endpoint: "e1", Candidates: []quarantine.Candidate{{Part: part, Organisation: 1}}}
		}
		is.NoErr(f.registry.RecordCrash(t.Context(), 7, quarantine.Evidence{Endpoints: []string{"e1"}}))
		is.NoErr(f.registry.RecordParts(t.Context(), crash(1)))
		time.Sleep(time.Second)
		for name := range f.shared.objects {
			f.shared.put(name, json.RawMessage(`"unreadable"`), nil)
		}
		time.Sleep(time.Second)
		is.NoErr(f.registry.RecordCrash(t.Context(), 7, quarantine.Evidence{Endpoints: []string{"e2"}}))
		is.NoErr(f.registry.RecordParts(t.Context(), crash(2)))
		time.Sleep(time.Second)
		is.Equal(f.registry.Current().Marks[7].Endpoints, []string{"e1", "e2"})
		is.Equal(len(f.registry.Current().Crashes["e1"].Candidates), 2)
	})
}

// TestCrashOfOtherName guards against a crash that stays known after its object was removed, since it names another endpoint.
func TestCrashOfOtherName(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.shared.put("Crash.0123456789abcdef", json.RawMessage(`{"Endpoint":"e1","Candidates":[{"Part":1}]}`), nil)
		time.Sleep(time.Second)
		is.Equal(len(f.registry.Current().Crashes), 0)
	})
}

// TestOddMembers guards against a gateway without a usable address that is asked for what it knows, and against one with an object that cannot
// be read that counts.
func TestOddMembers(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		for name, value := range map[string]string{"G2": `{"Address":"0.0.0.0:7000"}`, "G3": `{"Address":"10.0.0.3:0"}`,
			"G4": `{"Address":"10.0.0.4:7000"}`, "G5": `{"Address":"10.0.0.5:70000"}`, "G6": `{"Beat":1e400}`, "G7": `"unreadable"`} {
			f.members.put(name, json.RawMessage(value), nil)
		}
		time.Sleep(6 * time.Second)
		is.Equal(f.registry.Current().Gateways, 4) // this one, G2, G3 and G4
		is.Equal(len(f.registry.Peers()), 1)
		is.Equal(f.registry.Peers()[0].Address.String(), "10.0.0.4:7000")
	})
}

// TestGatewayWithoutAddressIsNotKnown guards against a gateway that can't be asked, or gateways that were never listed, and that count as none.
func TestGatewayWithoutAddressIsNotKnown(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		is.True(!(&registry.Registry{}).KnowsPeers())
		time.Sleep(6 * time.Second)
		is.True(f.registry.KnowsPeers()) // there are none
		f.members.put("G2", json.RawMessage(`{"Address":"10.0.0.4:7000"}`), nil)
		time.Sleep(6 * time.Second)
		is.True(f.registry.KnowsPeers())
		is.Equal(len(f.registry.Peers()), 1)
		f.members.put("G3", json.RawMessage(`{"Address":"0.0.0.0:7000"}`), nil)
		time.Sleep(6 * time.Second)
		is.True(!f.registry.KnowsPeers())
	})
}

// TestOddMarkAfterRestore guards against a gateway that writes another writer's content again to a restored store, in place of what it knows.
func TestOddMarkAfterRestore(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		old := f.shared.copy()
		is.NoErr(f.registry.RecordCrash(t.Context(), 1, quarantine.Evidence{Endpoints: []string{"a"}}))
		time.Sleep(time.Second)
		f.shared.put("Mark.0000000000000001", json.RawMessage(`"unreadable"`), nil)
		f.shared.put("Mark.0000000000000002", json.RawMessage(`"unreadable"`), nil)
		time.Sleep(time.Second)
		f.shared.restore(old)
		time.Sleep(10 * time.Second)
		value, _, err := f.shared.Get(t.Context(), "Mark.0000000000000001")
		is.NoErr(err)
		is.Equal(string(value), `{"Endpoints":["a"],"Crashes":1}`)
		_, _, err = f.shared.Get(t.Context(), "Mark.0000000000000002")
		is.True(err != nil)
	})
}

// TestUnreadableLog guards against a log that an object which cannot be read fills: by a line for each list and each change, or by long lines.
func TestUnreadableLog(t *testing.T) {
	lines := map[string]int{}
	var mu sync.Mutex
	longest := 0
	log := funcr.New(func(_, line string) {
		mu.Lock()
		defer mu.Unlock()
		longest = max(longest, len(line))
		for _, kind := range []string{"Endpoint", "Member", "Shared"} {
			if strings.Contains(line, "ObjectUnreadable") && strings.Contains(line, `"kind"="`+kind+`"`) {
				lines[kind]++
			}
		}
		if strings.Contains(line, "EndpointRemoved") {
			lines["EndpointRemoved"]++
		}
	}, funcr.Options{})
	runRegistryWithLog(t, log, func(t *testing.T, f *fixture) {
		is := is.New(t)
		err := errors.New(strings.Repeat("9é", 100_000))
		mark := "Mark." + strings.Repeat("x", 100_000)
		for range 5 {
			f.endpoints.put("odd", nil, err)
			f.members.put("odd", json.RawMessage(`"unreadable"`), nil)
			f.shared.put(mark, json.RawMessage(`"unreadable"`), nil)
			f.endpoints.compact()
			time.Sleep(6 * time.Second)
		}
		count := func() map[string]int {
			mu.Lock()
			defer mu.Unlock()
			return maps.Clone(lines)
		}
		is.Equal(count(), map[string]int{"Endpoint": 1, "Member": 1, "Shared": 1})
		f.endpoints.put("odd", endpoint("odd"), nil)
		time.Sleep(time.Second)
		f.endpoints.put("odd", nil, err)
		f.members.remove("odd")
		time.Sleep(6 * time.Second)
		f.members.put("odd", json.RawMessage(`"unreadable"`), nil)
		time.Sleep(6 * time.Second)
		is.Equal(count(), map[string]int{"Endpoint": 2, "Member": 2, "Shared": 1, "EndpointRemoved": 1})
		is.True(longest < 1000)
	})
}
