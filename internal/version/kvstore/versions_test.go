package kvstore

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/version/config"
	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/token"
)

// fakeConfiguration is a Configuration with a snapshot that tests replace.
type fakeConfiguration struct {
	mu       sync.Mutex
	snapshot *config.Snapshot
	changed  chan struct{}
}

func (f *fakeConfiguration) Current() *config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

func (f *fakeConfiguration) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeConfiguration) set(version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = &config.Snapshot{Deployment: &settings.Deployment{
		Models:    []settings.Model{{Name: "Notes", Version: version, BlockTokens: 4}},
		Endpoints: []settings.Endpoint{{Name: "Model1", Model: "Notes"}},
		Stores:    []settings.Store{{Name: "Store1", Address: netip.MustParseAddrPort("127.0.0.1:1")}},
	}}
	close(f.changed)
	f.changed = make(chan struct{})
}

// TestVersionChangeReplacesMover guards against one Mover handling blocks of two weight versions, and against a Mover that
// keeps running after its version was replaced.
func TestVersionChangeReplacesMover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		c := &fakeConfiguration{changed: make(chan struct{})}
		v := &Versions{
			Engine: &fakeEngine{blocks: map[string][]byte{}}, Configuration: c, Endpoint: "Model1", Log: logr.Discard(),
		}
		ended := make(chan struct{})
		go func() { _ = v.Run(ctx); close(ended) }()
		c.set("v1")
		synctest.Wait()
		first := v.mover("v1")
		is.True(first != nil)
		is.True(v.mover("v2") == nil)
		is.Equal(v.Prepare(ctx, "v2", "Org1", prefix.Chain("Org1", "v2", token.Encode("abcd"), 4)), 0)

		c.set("v1") // the same configuration again
		synctest.Wait()
		is.True(v.mover("v1") == first)

		c.set("v2")
		synctest.Wait()
		is.True(v.mover("v1") == nil)
		is.True(v.mover("v2") != nil)
		<-first.Done()
		cancel()
		<-ended
		is.True(v.mover("v2") == nil)
	})
}
