package agent

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/process/engine"
	"primrosecourse/internal/version/config"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// steps is a configuration that the test changes from the goroutine that reads it.
type steps struct {
	Configuration
	deployment settings.Deployment
	changed    chan struct{}
}

func (s *steps) Current() *config.Snapshot { return &config.Snapshot{Deployment: &s.deployment} }
func (s *steps) Changed() <-chan struct{}  { return s.changed }
func (s *steps) Push() wire.ConfigPush     { return wire.ConfigPush{} }

// TestPreferred guards against shards of orders that no live endpoint owns, or that go to one that leaves.
func TestPreferred(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(d *settings.Deployment)
		listed map[string]bool
		want   string
	}{
		{"platform lists none", nil, nil, "S1 S2 S3"},
		{"one is not listed", nil, map[string]bool{"S1": true, "S3": true}, "S1 S3"},
		{"one is listed as leaving", nil, map[string]bool{"S1": true, "S2": false, "S3": true}, "S1 S3"},
		{"endpoint leaves", func(d *settings.Deployment) { d.Endpoints[0].State = settings.Leaving }, nil, "S2 S3"},
		{"domain leaves", func(d *settings.Deployment) { d.FailureDomains[0].State = settings.Leaving }, nil, "S2 S3"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &steps{deployment: settings.Deployment{FailureDomains: []settings.FailureDomain{{Name: "D1"}}}}
			for i := 1; i <= 3; i++ {
				c.deployment.Endpoints = append(c.deployment.Endpoints, settings.Endpoint{
					Name: fmt.Sprint("S", i), Kind: settings.ServiceEndpoint, Service: "Orders", FailureDomain: fmt.Sprint("D", i),
				})
			}
			if test.change != nil {
				test.change(&c.deployment)
			}
			o := &OrderOwner{Name: "S1", Configuration: c}
			o.update(test.listed)
			owners := map[string]bool{}
			for shard := range 64 {
				owners[o.preferred(shard)] = true
			}
			got := ""
			for _, name := range []string{"S1", "S2", "S3"} {
				if owners[name] {
					got += " " + name
				}
			}
			is.New(t).Equal(got, " "+test.want)
		})
	}
}

// noEvents is an engine without cache events.
type noEvents struct{}

func (noEvents) ExportBlock(context.Context, string) ([]byte, string, error) {
	return nil, "", engine.ErrNotFound
}
func (noEvents) ImportBlock(context.Context, string, string, []byte) error { return nil }
func (noEvents) CacheEvents(context.Context, uint64) (engine.CacheEvents, error) {
	return engine.CacheEvents{}, nil
}

// TestMovers guards against blocks of an old weight version after a swap, and an index that each change of the
// configuration empties.
func TestMovers(t *testing.T) {
	is := is.New(t)
	c := &steps{changed: make(chan struct{}), deployment: settings.Deployment{
		Endpoints: []settings.Endpoint{{Name: "E1", Model: "M1"}}, Models: []settings.Model{{Name: "M1", Version: "v1"}},
	}}
	m := &Movers{Endpoint: "E1", Engine: noEvents{}, Configuration: c, Log: logr.Discard()}
	ctx, cancel := context.WithCancel(context.Background())
	first, _ := m.start(m.plan())
	ended := make(chan struct{})
	current := m.plan()
	c.deployment.Organisations = append(c.deployment.Organisations, settings.Organisation{Name: "New"})
	go func() {
		defer close(ended)
		m.await(ctx, current)
	}()
	c.changed <- struct{}{} // taken by await, which goes on waiting
	select {
	case <-ended:
		t.Fatal("a new organisation replaced the mover")
	case c.changed <- struct{}{}:
	}
	cancel()
	<-ended
	is.True(m.get("v1") == first)

	ctx, cancel = context.WithCancel(context.Background())
	done := make(chan error, 1)
	c.deployment.Models = []settings.Model{{Name: "M1", Version: "v2"}}
	go func() { done <- m.Run(ctx) }()
	for m.get("v2") == nil {
		time.Sleep(time.Millisecond)
	}
	is.True(m.get("v1") == nil)
	cancel()
	is.NoErr(<-done)
}
