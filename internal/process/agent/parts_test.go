package agent

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

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
				owners[o.preferred(shard, nil)] = true
			}
			got := ""
			for _, name := range []string{"S1", "S2", "S3"} {
				if owners[name] {
					got += " " + name
				}
			}
			is := is.New(t)
			is.Equal(got, " "+test.want)
			// An entry that cannot reach the others brings every shard here.
			for shard := range 64 {
				is.Equal(o.preferred(shard, []string{"S1", "S2", "S3"}), "S1")
			}
		})
	}
}
