package registry_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/process/bootclock"
)

// TestGatewaysAt guards against a gateway that is left out of those whose word is needed before parts of a replaced weight version are freed, since a
// list that is seconds old, an object that can't be read or a restored store lacks it, and against one that has ended and is waited for.
func TestGatewaysAt(t *testing.T) {
	const gateway = `{"Name":"G2","Beat":1,"Address":"10.0.0.2:7000","FailureDomain":"a"}`
	for name, c := range map[string]struct {
		prepare func(f *fixture)
		names   []string
		known   bool
	}{
		"missing in lists that are old": {func(f *fixture) { f.currentMembers.put("G2", json.RawMessage(gateway), nil) }, []string{"G2"}, true},
		"unreadable":                    {func(f *fixture) { f.currentMembers.put("G2", json.RawMessage(`[]`), nil) }, []string{"G2"}, true},
		"this gateway only":             {func(f *fixture) { f.currentMembers.put("G1", json.RawMessage(gateway), nil) }, []string{}, true},
		"without heartbeats": {func(f *fixture) {
			f.currentMembers.put("G2", json.RawMessage(gateway), nil)
			f.members.put("G2", json.RawMessage(gateway), nil)
			f.members.set(func() { f.members.objects["G2"] = f.currentMembers.objects["G2"] })
			time.Sleep(40 * time.Second)
		}, []string{}, true},
		"heartbeats are missing in lists that are old": {func(f *fixture) {
			f.members.put("G2", json.RawMessage(gateway), nil)
			time.Sleep(40 * time.Second)
			for range 5 {
				f.currentMembers.put("G2", json.RawMessage(gateway), nil)
			}
		}, []string{"G2"}, true},
		"restore is missing in lists that are old": {func(f *fixture) {
			time.Sleep(10 * time.Second)
			f.currentMembers.restore(f.currentMembers.copy())
		}, nil, false},
		"store has just been restored": {func(f *fixture) {
			old := f.members.copy()
			time.Sleep(10 * time.Second)
			f.members.restore(old)
			f.currentMembers.restore(f.currentMembers.copy())
			time.Sleep(20 * time.Second)
		}, nil, false},
		"store was restored": {func(f *fixture) {
			old := f.members.copy()
			time.Sleep(10 * time.Second)
			f.members.restore(old)
			f.currentMembers.restore(f.currentMembers.copy())
			time.Sleep(40 * time.Second)
		}, []string{}, true},
		"store does not answer": {func(f *fixture) { f.currentMembers.set(func() { f.currentMembers.down = true }) }, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			runRegistry(t, func(t *testing.T, f *fixture) {
				is := is.New(t)
				_, _, known := f.registry.GatewaysAt()
				is.True(!known) // not before they were listed
				c.prepare(f)
				before := bootclock.Now()
				f.registry.ListGateways()
				time.Sleep(time.Second)
				names, at, known := f.registry.GatewaysAt()
				is.Equal(known, c.known)
				is.Equal(names, c.names)
				is.True(!known || at >= before)
			})
		})
	}
}

// TestListGatewaysRarely guards against lists of the gateways without a pause, each of which costs as much as ten that may be old.
func TestListGatewaysRarely(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		for range 20 {
			f.registry.ListGateways()
			time.Sleep(500 * time.Millisecond)
		}
		f.currentMembers.mu.Lock()
		defer f.currentMembers.mu.Unlock()
		is.Equal(f.currentMembers.lists, 3) // in 10 s
	})
}

// TestPresentSince guards against a gateway that counts as known to the others before its object is in the store, and against one that has parts fetched
// after a naming of which it does not know that it came later.
func TestPresentSince(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		since, present := f.registry.PresentSince()
		is.True(present)
		is.True(since <= bootclock.Now())
		is.True(bootclock.Now()-f.registry.VersionsAge() >= since) // the versions are confirmed at once
	})
}
