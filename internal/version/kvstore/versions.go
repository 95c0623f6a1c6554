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

// Configuration is the configuration in force.
type Configuration interface {
	// Current returns the version in force, nil until there is one.
	Current() *config.Snapshot
	// Changed returns a channel that is closed at the next change; taken before Current is read.
	Changed() <-chan struct{}
}

// Versions keeps one Mover for the weight version that the configuration wants at an endpoint, and replaces it when the
// version, the stores or the costs change. Set the exported fields before Run.
type Versions struct {
	Engine        Engine
	Configuration Configuration
	// Endpoint is the name of the endpoint.
	Endpoint string
	Log      logr.Logger

	mu      sync.Mutex
	current *generation
}

// generation is a Mover with what it was made from.
type generation struct {
	plan    plan
	mover   *Mover
	clients []*store.Client
	cancel  context.CancelFunc
}

// plan is the part of a configuration that a Mover depends on.
type plan struct {
	model  settings.Model
	policy settings.Policy
	stores []settings.Store
}

// Run follows the configuration until ctx is done. It returns no error.
func (v *Versions) Run(ctx context.Context) error {
	defer v.replace(ctx, nil)
	for {
		changed := v.Configuration.Changed()
		if s := v.Configuration.Current(); s != nil {
			v.replace(ctx, v.plan(s.Deployment))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// Held returns the number of leading tokens of a prompt that the engine holds, 0 for a version that is not in force.
func (v *Versions) Held(weightVersion string, ids []prefix.ID) (tokens int) {
	if m := v.mover(weightVersion); m != nil {
		return m.Held(ids) * m.blockTokens()
	}
	return 0
}

// Prepare imports blocks of a prompt that the engine lacks. Requests of a version that is not in force get none.
func (v *Versions) Prepare(ctx context.Context, weightVersion, organisation string, ids []prefix.ID) (fetchedTokens int) {
	if m := v.mover(weightVersion); m != nil && len(ids) > 0 {
		return m.Prepare(ctx, organisation, ids)
	}
	return 0
}

// Keep takes notice of blocks that a run used.
func (v *Versions) Keep(weightVersion, organisation string, ids []prefix.ID) {
	if m := v.mover(weightVersion); m != nil {
		m.Keep(organisation, ids)
	}
}

func (v *Versions) mover(weightVersion string) *Mover {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.current == nil || v.current.plan.model.Version != weightVersion {
		return nil
	}
	return v.current.mover
}

// plan returns what the endpoint needs, nil if it serves no model.
func (v *Versions) plan(d *settings.Deployment) *plan {
	for _, e := range d.Endpoints {
		if e.Name != v.Endpoint || e.Kind != settings.ModelEndpoint {
			continue
		}
		for _, m := range d.Models {
			if m.Name == e.Model {
				return &plan{model: m, policy: d.Policy, stores: d.Stores}
			}
		}
	}
	return nil
}

// replace ends the present Mover and starts one for p, unless nothing changed.
func (v *Versions) replace(ctx context.Context, p *plan) {
	v.mu.Lock()
	old := v.current
	if p != nil && old != nil && reflect.DeepEqual(*p, old.plan) {
		v.mu.Unlock()
		return
	}
	v.current = nil
	v.mu.Unlock()
	if old != nil {
		old.end()
	}
	if p == nil || len(p.stores) == 0 || ctx.Err() != nil {
		return
	}
	g := v.start(ctx, *p)
	v.mu.Lock()
	v.current = g
	v.mu.Unlock()
}

func (v *Versions) start(ctx context.Context, p plan) *generation {
	ctx, cancel := context.WithCancel(ctx)
	g := &generation{plan: p, mover: New(p.model.Version), cancel: cancel}
	m := g.mover
	m.Engine, m.Log, m.BlockTokens = v.Engine, v.Log, p.model.BlockTokens
	m.Stores = map[string]Store{}
	m.Links = map[string]*retention.LinkRate{}
	for _, s := range p.stores {
		client := store.New(s.Address)
		g.clients = append(g.clients, client)
		m.Stores[s.Name] = client
		m.Links[s.Name] = &retention.LinkRate{Configured: float64(s.LinkBytesPerSecond)}
	}
	m.Costs = retention.Costs{
		PrefillTokensPerSecond: p.model.PrefillTokensPerSecond,
		BytesPerToken:          p.model.BytesPerToken,
		FirstTokenWeight:       p.policy.FirstTokenWeight,
		RecomputeWeight:        p.policy.RecomputeWeight,
		LinkWeight:             p.policy.LinkWeight,
	}
	go func() { _ = m.Run(ctx) }() // end waits for it and Run returns no error
	return g
}

func (g *generation) end() {
	g.cancel()
	<-g.mover.Done()
	for _, c := range g.clients {
		c.Close()
	}
}
