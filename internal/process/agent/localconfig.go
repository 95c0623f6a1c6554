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

func (cfg *localConfig) version() uint64 { return cfg.snapshot.Version }

func newLocalConfig(s *config.Snapshot, name string) *localConfig {
	d := s.Deployment
	cfg := &localConfig{snapshot: s, organisations: make(map[string]*settings.Organisation, len(d.Organisations))}
	for i := range d.Organisations {
		cfg.organisations[d.Organisations[i].Name] = &d.Organisations[i]
	}
	for i := range d.Endpoints {
		if d.Endpoints[i].Name == name {
			cfg.endpoint = &d.Endpoints[i]
		}
	}
	if cfg.endpoint == nil {
		return cfg
	}
	cfg.leaving = cfg.endpoint.State == settings.Leaving
	for _, domain := range d.FailureDomains {
		if domain.Name == cfg.endpoint.FailureDomain && domain.State == settings.Leaving {
			cfg.leaving = true
		}
	}
	for i := range d.Models {
		if d.Models[i].Name == cfg.endpoint.Model {
			cfg.model = &d.Models[i]
		}
	}
	for i := range d.Services {
		if d.Services[i].Name == cfg.endpoint.Service {
			cfg.service = &d.Services[i]
		}
	}
	return cfg
}

// currentConfig returns the localConfig of the version in force, nil if there is none.
func (a *Agent) currentConfig() *localConfig {
	s := a.Configuration.Current()
	if s == nil || s.Deployment == nil {
		return nil
	}
	cfg := a.config.Load()
	if cfg == nil || cfg.snapshot != s {
		cfg = newLocalConfig(s, a.Name)
		a.config.Store(cfg)
	}
	return cfg
}

// Defaults of settings that a configuration may omit.
const (
	defaultDrainTimeout = 30 * time.Second
	defaultBlockTokens  = 1024
)

func (a *Agent) drainTimeout() time.Duration {
	if cfg := a.currentConfig(); cfg != nil && cfg.snapshot.Deployment.Limits.DrainTimeout > 0 {
		return cfg.snapshot.Deployment.Limits.DrainTimeout
	}
	return defaultDrainTimeout
}

func (cfg *localConfig) blockTokens() int {
	if cfg.model.BlockTokens > 0 {
		return cfg.model.BlockTokens
	}
	return defaultBlockTokens
}

// organisationShare returns the share of an organisation in the fair queue, 1 if the organisation is not configured.
func (a *Agent) organisationShare(organisation string) float64 {
	if cfg := a.currentConfig(); cfg != nil && cfg.organisations[organisation] != nil {
		return cfg.organisations[organisation].Share
	}
	return 1
}
