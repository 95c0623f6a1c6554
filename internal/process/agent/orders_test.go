package agent

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"primrosecourse/internal/version/config"
	"primrosecourse/pkg/settings"
)

// fixedConfig is a configuration that does not change.
type fixedConfig struct {
	Configuration
	deployment settings.Deployment
}

func (s *fixedConfig) Current() *config.Snapshot { return &config.Snapshot{Deployment: &s.deployment} }

// TestPreferredOwner guards against order shards without a live owner, and shards assigned to a leaving endpoint.
func TestPreferredOwner(t *testing.T) {
	for _, test := range []struct {
		name        string
		change      func(d *settings.Deployment)
		listed      map[string]bool
		unavailable []string
		want        string
	}{
		{"platform lists none", nil, nil, nil, "S1 S2 S3"},
		{"one is not listed", nil, map[string]bool{"S1": true, "S3": true}, nil, "S1 S3"},
		{"one is listed as leaving", nil, map[string]bool{"S1": true, "S2": false, "S3": true}, nil, "S1 S3"},
		{"this one is not listed yet", nil, map[string]bool{"S2": true, "S3": true}, nil, "S1 S2 S3"},
		{"this one is listed as leaving", nil, map[string]bool{"S1": false, "S2": true, "S3": true}, nil, "S2 S3"},
		{"entry cannot reach one", nil, map[string]bool{"S1": true, "S2": true}, []string{"S2"}, "S1"},
		{"entry cannot reach those listed", nil, map[string]bool{"S2": true}, []string{"S2"}, "S1 S3"},
		{"endpoint leaves", func(d *settings.Deployment) { d.Endpoints[0].State = settings.Leaving }, nil, nil, "S2 S3"},
		{"domain leaves", func(d *settings.Deployment) { d.FailureDomains[0].State = settings.Leaving }, nil, nil, "S2 S3"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &fixedConfig{deployment: settings.Deployment{FailureDomains: []settings.FailureDomain{{Name: "D1"}}}}
			for i := 1; i <= 3; i++ {
				c.deployment.Endpoints = append(c.deployment.Endpoints, settings.Endpoint{
					Name: fmt.Sprint("S", i), Kind: settings.ServiceEndpoint, Service: "Orders", FailureDomain: fmt.Sprint("D", i),
				})
			}
			if test.change != nil {
				test.change(&c.deployment)
			}
			o := &OrderOwner{Name: "S1", Configuration: c}
			o.updateEndpoints(test.listed)
			owners := map[string]bool{}
			for shard := range 64 {
				owners[o.preferredOwner(shard, test.unavailable)] = true
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

// changedConfig is a configuration that a test replaces.
type changedConfig struct {
	Configuration
	snapshot *config.Snapshot
}

func (c *changedConfig) Current() *config.Snapshot { return c.snapshot }

// TestPreferredOwnerOfNewConfiguration guards against an order that is refused right after a configuration has come into force, since the
// owner of its shard is still taken from the one before.
func TestPreferredOwnerOfNewConfiguration(t *testing.T) {
	is := is.New(t)
	deployment := func(second settings.TargetState) *settings.Deployment {
		d := &settings.Deployment{}
		for _, e := range []settings.Endpoint{{Name: "S1"}, {Name: "S2", State: second}} {
			e.Kind, e.Service = settings.ServiceEndpoint, "Orders"
			d.Endpoints = append(d.Endpoints, e)
		}
		return d
	}
	c := &changedConfig{snapshot: &config.Snapshot{Version: 1, Deployment: deployment(settings.Active)}}
	o := &OrderOwner{Name: "S1", Configuration: c}
	o.updateEndpoints(map[string]bool{"S1": true, "S2": true})
	owned := func() (shards int) {
		for shard := range 64 {
			if o.preferredOwner(shard, nil) == "S1" {
				shards++
			}
		}
		return shards
	}
	is.True(owned() > 0 && owned() < 64)
	c.snapshot = &config.Snapshot{Version: 2, Deployment: deployment(settings.Leaving)}
	is.Equal(owned(), 64) // the platform's list was not read since
	c.snapshot = &config.Snapshot{Version: 3, Deployment: deployment(settings.Active)}
	is.True(owned() > 0 && owned() < 64)
}

// TestOwnersWithDifferentLists guards against an order that every agent refuses, each naming another one as the owner: the agent that the entry asks
// first has read the platform's list before it was in it itself, and the others after that.
func TestOwnersWithDifferentLists(t *testing.T) {
	is := is.New(t)
	c := &fixedConfig{}
	names := []string{"S1", "S2", "S3"}
	for _, name := range names {
		c.deployment.Endpoints = append(c.deployment.Endpoints, settings.Endpoint{Name: name, Kind: settings.ServiceEndpoint, Service: "Orders"})
	}
	owners := map[string]*OrderOwner{}
	for _, name := range names {
		owners[name] = &OrderOwner{Name: name, Configuration: c}
		owners[name].updateEndpoints(map[string]bool{"S1": true, "S2": true, "S3": true})
	}
	owners["S1"].updateEndpoints(map[string]bool{"S2": true, "S3": true})
	for shard := range 64 {
		accepted := false
		for _, name := range names {
			accepted = accepted || owners[name].preferredOwner(shard, nil) == name
		}
		is.True(accepted)
	}
}
