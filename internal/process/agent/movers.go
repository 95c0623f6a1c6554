package agent

import (
	"context"
	"reflect"
	"sync"

	"github.com/go-logr/logr"

	store "primrosecourse/internal/process/kvstore"
	"primrosecourse/internal/version/kvstore"
	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/retention"
	"primrosecourse/pkg/settings"
)

// Movers is the Blocks of an agent: it keeps a Mover of package kvstore for the weight version in force. Its fields are
// set before Run.
type Movers struct {
	// Endpoint is the name of the agent's endpoint.
	Endpoint      string
	Engine        kvstore.Engine
	Configuration Configuration
	Log           logr.Logger

	mu      sync.Mutex
	version string
	mover   *kvstore.Mover
}

// plan is what a Mover is made from.
type plan struct {
	weights     string
	blockTokens int
	costs       retention.Costs
	stores      []settings.Store
}

// Run keeps a Mover for the weight version in force until ctx is done. A configuration change that concerns neither
// weights nor stores keeps it: at full size one comes every 5 s, and each new Mover forgets which blocks were seen.
func (m *Movers) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		current := m.plan()
		mover, clients := m.start(current)
		version, cancel := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() { ended <- mover.Run(version) }()
		m.await(ctx, current)
		cancel()
		<-ended
		for _, c := range clients {
			c.Close()
		}
	}
	return nil
}

// await returns when the configuration makes another plan, or ctx is done.
func (m *Movers) await(ctx context.Context, current plan) {
	for {
		changed := m.Configuration.Changed()
		if !reflect.DeepEqual(m.plan(), current) {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (m *Movers) plan() (p plan) {
	s := m.Configuration.Current()
	if s == nil {
		return p
	}
	v := newView(s, m.Endpoint)
	if v.model == nil {
		return p
	}
	return plan{v.model.Version, v.blockTokens(), costs(s.Deployment, v.model), s.Deployment.Stores}
}

// start puts a Mover in place.
func (m *Movers) start(p plan) (mover *kvstore.Mover, clients []*store.Client) {
	mover = kvstore.New(p.weights)
	mover.Engine, mover.Log, mover.BlockTokens, mover.Costs = m.Engine, m.Log, p.blockTokens, p.costs
	mover.Stores = map[string]kvstore.Store{}
	for _, s := range p.stores {
		c := store.New(s.Address)
		clients = append(clients, c)
		mover.Stores[s.Name] = c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version, m.mover = p.weights, mover
	return mover, clients
}

func costs(d *settings.Deployment, model *settings.Model) retention.Costs {
	c := retention.Costs{
		PrefillTokensPerSecond: model.PrefillTokensPerSecond, BytesPerToken: model.BytesPerToken,
		FirstTokenWeight: d.Policy.FirstTokenWeight, RecomputeWeight: d.Policy.RecomputeWeight,
		LinkWeight: d.Policy.LinkWeight,
	}
	for _, s := range d.Stores {
		if rate := float64(s.LinkBytesPerSecond); c.LinkBytesPerSecond == 0 || rate < c.LinkBytesPerSecond {
			c.LinkBytesPerSecond = rate
		}
	}
	return c
}

// get returns the Mover if it is the one of the weight version.
func (m *Movers) get(weightVersion string) *kvstore.Mover {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.version != weightVersion {
		return nil
	}
	return m.mover
}

// Prepare implements Blocks.
func (m *Movers) Prepare(ctx context.Context, weightVersion, organisation string, ids []prefix.ID) (fetchedTokens int) {
	if mover := m.get(weightVersion); mover != nil && len(ids) > 0 {
		return mover.Prepare(ctx, organisation, ids)
	}
	return 0
}

// Keep implements Blocks.
func (m *Movers) Keep(weightVersion, organisation string, ids []prefix.ID) {
	if mover := m.get(weightVersion); mover != nil && len(ids) > 0 {
		mover.Keep(organisation, ids)
	}
}
