package kvstore

import (
	"context"
	"reflect"
	"sync"

	"github.com/go-logr/logr"

	store "primrosecourse/internal/process/kvstore"
	"primrosecourse/internal/version/config"
	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/retention"
	"primrosecourse/pkg/settings"
)

// Configuration provides the current configuration.
type Configuration interface {
	// Current returns the current configuration, nil until there is one.
	Current() *config.Snapshot
	// Changed returns a channel that is closed at the next change. Callers call it before Current so as not to miss a change.
	Changed() <-chan struct{}
}

// Versions runs a Mover for the weight version that the configuration assigns to an endpoint, and replaces it when the model,
// the policy or the stores change. Set the exported fields before Run.
type Versions struct {
	Engine        Engine
	Configuration Configuration
	// Endpoint is the name of the endpoint in the configuration.
	Endpoint string
	Log      logr.Logger

	mu sync.Mutex
	// current is nil while no Mover runs.
	current *runningMover
}

// runningMover is a running Mover with the configuration and the store clients that it uses.
type runningMover struct {
	config  moverConfig
	mover   *Mover
	clients []*store.Client
	cancel  context.CancelFunc
}

// moverConfig is the part of a configuration that a Mover depends on.
type moverConfig struct {
	model  settings.Model
	policy settings.Policy
	stores []settings.Store
}

// Run replaces the Mover when the configuration changes, and stops it when ctx is done. It returns no error.
func (v *Versions) Run(ctx context.Context) error {
	defer v.replace(ctx, nil)
	for {
		changed := v.Configuration.Changed()
		if s := v.Configuration.Current(); s != nil {
			v.replace(ctx, v.moverConfig(s.Deployment))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// CachedTokens returns the number of leading tokens of a prompt in the engine's cache, 0 if no Mover runs for the weight
// version.
func (v *Versions) CachedTokens(weightVersion string, ids []prefix.ID) (tokens int) {
	if m := v.mover(weightVersion); m != nil {
		return m.CachedBlocks(ids) * m.blockTokens()
	}
	return 0
}

// Prepare imports blocks of a prompt that the engine lacks and returns the number of imported tokens. It imports none if
// no Mover runs for the weight version.
func (v *Versions) Prepare(ctx context.Context, weightVersion, organisation string, ids []prefix.ID) (fetchedTokens int) {
	if m := v.mover(weightVersion); m != nil && len(ids) > 0 {
		return m.Prepare(ctx, organisation, ids)
	}
	return 0
}

// RecordUse records that a run used the blocks ids. It does nothing if no Mover runs for the weight version.
func (v *Versions) RecordUse(weightVersion, organisation string, ids []prefix.ID) {
	if m := v.mover(weightVersion); m != nil {
		m.RecordUse(organisation, ids)
	}
}

// mover returns the Mover for a weight version, nil if none runs for it.
func (v *Versions) mover(weightVersion string) *Mover {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.current == nil || v.current.config.model.Version != weightVersion {
		return nil
	}
	return v.current.mover
}

// moverConfig returns the configuration of the endpoint's Mover, nil if d does not have the endpoint or its model.
func (v *Versions) moverConfig(d *settings.Deployment) *moverConfig {
	for _, e := range d.Endpoints {
		if e.Name != v.Endpoint || e.Kind != settings.ModelEndpoint {
			continue
		}
		for _, m := range d.Models {
			if m.Name == e.Model {
				return &moverConfig{model: m, policy: d.Policy, stores: d.Stores}
			}
		}
	}
	return nil
}

// replace stops the current Mover and starts one for c, unless c is unchanged. It starts none if c is nil or has no stores.
func (v *Versions) replace(ctx context.Context, c *moverConfig) {
	v.mu.Lock()
	old := v.current
	if c != nil && old != nil && reflect.DeepEqual(*c, old.config) {
		v.mu.Unlock()
		return
	}
	v.current = nil
	v.mu.Unlock()
	if old != nil {
		old.stop()
	}
	if c == nil || len(c.stores) == 0 || ctx.Err() != nil {
		return
	}
	r := v.start(ctx, *c)
	v.mu.Lock()
	v.current = r
	v.mu.Unlock()
}

func (v *Versions) start(ctx context.Context, c moverConfig) *runningMover {
	ctx, cancel := context.WithCancel(ctx)
	r := &runningMover{config: c, mover: New(c.model.Version), cancel: cancel}
	m := r.mover
	m.Engine, m.Log, m.BlockTokens = v.Engine, v.Log, c.model.BlockTokens
	m.Stores = map[string]Store{}
	m.Links = map[string]*retention.LinkRate{}
	for _, s := range c.stores {
		client := store.New(s.Address)
		r.clients = append(r.clients, client)
		m.Stores[s.Name] = client
		m.Links[s.Name] = &retention.LinkRate{Configured: float64(s.LinkBytesPerSecond)}
	}
	m.Costs = retention.Costs{
		PrefillTokensPerSecond: c.model.PrefillTokensPerSecond,
		BytesPerToken:          c.model.BytesPerToken,
		FirstTokenWeight:       c.policy.FirstTokenWeight,
		RecomputeWeight:        c.policy.RecomputeWeight,
		LinkWeight:             c.policy.LinkWeight,
	}
	go func() { _ = m.Run(ctx) }() // stop waits for it; Run returns no error
	return r
}

// stop stops the Mover, waits until it has ended and closes the store clients.
func (r *runningMover) stop() {
	r.cancel()
	<-r.mover.Done()
	for _, client := range r.clients {
		client.Close()
	}
}
