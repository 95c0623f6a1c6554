package agent

import (
	"time"

	"primrosecourse/internal/version/config"
	"primrosecourse/pkg/settings"
)

// localConfig is the part of one configuration version that concerns this endpoint. It is immutable.
type localConfig struct {
	snapshot      *config.Snapshot
	endpoint      *settings.Endpoint // nil if the configuration does not contain it
	model         *settings.Model    // nil if the endpoint has no configured model
	service       *settings.Service
	leaving       bool
	organisations map[string]*settings.Organisation
}

func (v *localConfig) version() uint64 { return v.snapshot.Version }

func newLocalConfig(s *config.Snapshot, name string) *localConfig {
	d := s.Deployment
	v := &localConfig{snapshot: s, organisations: make(map[string]*settings.Organisation, len(d.Organisations))}
	for i := range d.Organisations {
		v.organisations[d.Organisations[i].Name] = &d.Organisations[i]
	}
	for i := range d.Endpoints {
		if d.Endpoints[i].Name == name {
			v.endpoint = &d.Endpoints[i]
		}
	}
	if v.endpoint == nil {
		return v
	}
	v.leaving = v.endpoint.State == settings.Leaving
	for _, domain := range d.FailureDomains {
		if domain.Name == v.endpoint.FailureDomain && domain.State == settings.Leaving {
			v.leaving = true
		}
	}
	for i := range d.Models {
		if d.Models[i].Name == v.endpoint.Model {
			v.model = &d.Models[i]
		}
	}
	for i := range d.Services {
		if d.Services[i].Name == v.endpoint.Service {
			v.service = &d.Services[i]
		}
	}
	return v
}

// currentConfig returns the localConfig of the version in force, nil if there is none.
func (a *Agent) currentConfig() *localConfig {
	s := a.Configuration.Current()
	if s == nil || s.Deployment == nil {
		return nil
	}
	v := a.config.Load()
	if v == nil || v.snapshot != s {
		v = newLocalConfig(s, a.Name)
		a.config.Store(v)
	}
	return v
}

// Defaults of settings that a configuration may omit.
const (
	defaultDrainTimeout = 30 * time.Second
	defaultBlockTokens  = 1024
)

func (a *Agent) drainTimeout() time.Duration {
	if v := a.currentConfig(); v != nil && v.snapshot.Deployment.Limits.DrainTimeout > 0 {
		return v.snapshot.Deployment.Limits.DrainTimeout
	}
	return defaultDrainTimeout
}

func (v *localConfig) blockTokens() int {
	if v.model.BlockTokens > 0 {
		return v.model.BlockTokens
	}
	return defaultBlockTokens
}

// organisationShare returns the share of an organisation in the fair queue, 1 if the organisation is not configured.
func (a *Agent) organisationShare(organisation string) float64 {
	if v := a.currentConfig(); v != nil && v.organisations[organisation] != nil {
		return v.organisations[organisation].Share
	}
	return 1
}
