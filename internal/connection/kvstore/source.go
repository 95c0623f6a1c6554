package kvstore

import (
	"math/rand/v2"
	"net/netip"

	"primrosecourse/pkg/tiering"
)

// eventSource is where the contents of a store are read: the store itself if direct is set, another gateway otherwise.
type eventSource struct {
	client  Stores
	address string
	direct  bool
}

// storeOf returns the description of a store, which a new configuration may replace.
func (c *Catalog) storeOf(state *storeState) tiering.Store {
	c.mu.Lock()
	defer c.mu.Unlock()
	return state.store
}

// selectSource returns the store itself, if this gateway must read its events itself, or a randomly chosen gateway that does.
func (c *Catalog) selectSource(state *storeState) eventSource {
	store := c.storeOf(state)
	direct := eventSource{client: c.Stores, address: store.Address, direct: true}
	if c.RelayPort == 0 || c.Relays == nil {
		return direct
	}
	leaders, self := c.View.Leaders(store.Name, max(1, int(readerShare*float64(state.maxReaders))))
	if self || len(leaders) == 0 {
		return direct
	}
	leader := leaders[rand.IntN(len(leaders))]
	return eventSource{client: c.Relays, address: relayAddress(netip.AddrPortFrom(leader, c.RelayPort), store.Name)}
}
