package agent

import (
	"context"
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
	mover   *kvstore.Mover // nil if there is no store
}

// Run starts a Mover for each weight version and set of stores until ctx is done.
func (m *Movers) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := m.Configuration.Changed()
		next, clients := m.build()
		version, cancel := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() { ended <- next.Run(version) }()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		cancel()
		<-ended
		for _, c := range clients {
			c.Close()
		}
	}
	return nil
}

// build puts a Mover for the configuration in force in place. A configuration change restarts it even if it concerns
// neither weights nor stores: the index is a hint and comes back with the next cache events.
func (m *Movers) build() (*kvstore.Mover, []*store.Client) {
	var weights string
	var clients []*store.Client
	mover := kvstore.New("")
	if s := m.Configuration.Current(); s != nil {
		if v := newView(s, m.Endpoint); v.model != nil {
			weights = v.model.Version
			mover = kvstore.New(weights)
			mover.BlockTokens = v.blockTokens()
			mover.Costs = costs(s.Deployment, v.model)
			mover.Stores = map[string]kvstore.Store{}
			for _, st := range s.Deployment.Stores {
				c := store.New(st.Address)
				clients = append(clients, c)
				mover.Stores[st.Name] = c
			}
		}
	}
	mover.Engine, mover.Log = m.Engine, m.Log
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version, m.mover = weights, mover
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
