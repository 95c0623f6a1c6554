package kvstore

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/bootclock"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/tiering"
)

// View provides the state of the site.
type View interface {
	// Current returns the current snapshot of the site.
	Current() *site.Snapshot
	// OtherGateways returns the names of the other gateways, and false if they are not known.
	OtherGateways() (names []string, ok bool)
	// GatewaysAt returns the names of the other gateways that were present at a bootclock time, and that time: any other one was not present for its own
	// PresentSince then. It returns false if they are not known. ListGateways makes them be listed anew.
	GatewaysAt() (names []string, at time.Duration, ok bool)
	ListGateways()
	// PresentSince returns the bootclock time since which this gateway has been in each result of GatewaysAt of the others, and false if it may not be
	// now.
	PresentSince() (at time.Duration, ok bool)
	// IsLeader reports whether this gateway is the leader of name, that is, the first of all gateways in the rendezvous-hash order
	// for name.
	IsLeader(name string) bool
	// VersionsAge returns how long ago the platform's store last confirmed the named weight versions, those that endpoints are to serve.
	VersionsAge() time.Duration
	// Leaders returns the addresses of the first n gateways in the rendezvous-hash order for name, or no addresses and self = true if
	// this gateway is one of them.
	Leaders(name string, n int) (addresses []netip.Addr, self bool)
}

// Catalog tracks the contents of the KV stores of a site. Its exported fields must be set before Run is called.
type Catalog struct {
	View   View
	Stores Stores
	// Relays reads the contents of stores from other gateways, at RelayPort, for stores whose events this gateway does not read
	// itself. If RelayPort is 0, the gateway reads the events of all stores itself.
	Relays    Stores
	RelayPort uint16
	Log       logr.Logger
	// Floors holds, for each gateway and model, the lowest weight version whose parts the gateway still uses. It must not be nil.
	Floors *tiering.Floors
	// Saves holds the saves that this gateway and the others requested of engines.
	Saves tiering.Saves
	// Lifetimes states how long parts of replaced weight versions stay in use.
	Lifetimes tiering.Lifetimes
	// MaxParts limits the parts that are recorded, of all stores together; 0 means no limit. Parts beyond it count towards the used
	// room of their store but are not fetched.
	MaxParts int
	// Now returns the time since the machine booted; nil stands for bootclock.Now.
	Now func() time.Duration

	mu        sync.Mutex
	stores    map[string]*storeState
	storeList []tiering.Store
	// applied is the configuration that stores and storeList correspond to.
	applied *site.Configuration
	clock   serverClock
	// partCount is the number of parts that are recorded, of all stores together.
	partCount int
}

// storeState is the recorded state of one store.
type storeState struct {
	store tiering.Store
	// maxReaders is the maximum number of event polls that the store serves concurrently, as configured when the catalog began to
	// follow the store.
	maxReaders int
	stop       context.CancelFunc
	// known reports whether the contents of the store are known. It is false before the first listing, after a failed call, after lost
	// events, and after a change of the epoch.
	known bool
	// epoch is the epoch of the source, storeEpoch that of the store itself.
	epoch, storeEpoch uint64
	// lease bounds what may be done with the contents.
	lease lease
	// held maps the recorded parts to their length in tokens. used is the number of tokens that all parts in the store take up,
	// including untracked ones and those that were unfinished at the last listing.
	held map[Key]int
	used int
	// appeared bounds the use of parts that appeared a moment ago.
	appeared appearedParts
	// untracked is the number of complete parts that the last listing and the events since then reported and that were not recorded
	// because of Catalog.MaxParts. It does not fall when such a part disappears.
	untracked int
	// saving holds the saves that this gateway instructed engines to make, until the store reports the part or tiering.SaveTimeout has passed.
	saving map[Key]pendingSave
	// discrepancies counts, since the last listing at listedAt, the saves that did not appear and, while there are untracked parts, all
	// changes of parts that are not recorded.
	discrepancies int
	listedAt      time.Time
	// unfinished holds the unfinished saves of the last listing of the store itself in the current epoch, without those that were freed.
	unfinished map[Key]saveProgress
	// direct reports whether this gateway reads the events of the store itself; changeLog holds what it relays to other gateways.
	direct    bool
	changeLog changeLog
}

// pendingSave is a part that an engine was instructed to save.
type pendingSave struct {
	tokens    int
	startedAt time.Time
}

const (
	// pollWait is how long a store delays its response to a poll while it has no event.
	pollWait = time.Second
	// callTimeout limits a call, in addition to the wait of a poll.
	callTimeout = 800 * time.Millisecond
	// retryDelay is the pause after a call that failed.
	retryDelay = 400 * time.Millisecond
	// maxDiscrepancies is the number of discrepancies at which a store is listed again 1 s after the last listing instead of
	// stallTimeout and 1 s after it: a save that did not appear may be a lost event.
	maxDiscrepancies = 12
	// checkInterval is the time between two checks for a new configuration, new version floors, and parts that may be freed.
	checkInterval = 500 * time.Millisecond
)

func (c *Catalog) now() time.Duration {
	if c.Now != nil {
		return c.Now()
	}
	return bootclock.Now()
}

// Run tracks the stores of the configuration in force until ctx is done. It always returns nil.
func (c *Catalog) Run(ctx context.Context) error {
	var followers sync.WaitGroup
	defer followers.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		c.configure(ctx, &followers)
		c.raiseFloors(c.View.Current())
		c.freeRetired(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// configure starts and stops the goroutines that follow stores after a change of the configuration.
func (c *Catalog) configure(ctx context.Context, followers *sync.WaitGroup) {
	configuration := c.View.Current().Configuration
	c.mu.Lock()
	defer c.mu.Unlock()
	if configuration == c.applied {
		return
	}
	c.applied = configuration
	configured := map[string]bool{}
	c.storeList = nil
	if c.stores == nil {
		c.stores = map[string]*storeState{}
	}
	for _, s := range configuration.Services {
		if s.Store == nil {
			continue
		}
		configured[s.Name] = true
		store := tiering.Store{Name: s.Name, Address: s.Store.Address, Tokens: s.Store.Tokens,
			BitsPerSecond: s.Store.LinkBitsPerSecond, FirstByte: s.Store.FirstByte}
		c.storeList = append(c.storeList, store)
		if existing := c.stores[s.Name]; existing != nil && existing.store.Address == store.Address {
			existing.store = store
			continue
		} else if existing != nil {
			existing.stop()
			c.partCount -= len(existing.held)
		}
		followCtx, stop := context.WithCancel(ctx)
		state := &storeState{store: store, maxReaders: s.Store.MaxReaders, stop: stop, held: map[Key]int{}, saving: map[Key]pendingSave{}}
		c.stores[s.Name] = state
		followers.Go(func() { c.follow(followCtx, state) })
	}
	for name, state := range c.stores {
		if !configured[name] {
			state.stop()
			c.partCount -= len(state.held)
			delete(c.stores, name)
		}
	}
	slices.SortFunc(c.storeList, func(a, b tiering.Store) int { return cmp.Compare(a.Name, b.Name) })
}

// follow lists one store and reads its events until ctx is done. It lists the store again when needsListing reports true, after a failed
// call, lost events or a new epoch, and when this gateway changes between the store itself and another gateway as the source.
func (c *Catalog) follow(ctx context.Context, state *storeState) {
	listed, next := false, uint64(0)
	var source eventSource
	for ctx.Err() == nil {
		var err error
		if !listed {
			source = c.selectSource(state)
			if next, err = c.listStore(ctx, state, source); err == nil {
				listed = true
				c.freeStalledSaves(ctx, state)
				continue
			}
		} else {
			next, listed, err = c.watchStore(ctx, state, source, next)
			listed = listed && c.selectSource(state).direct == source.direct
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		c.markUnknown(state, err)
		listed = false
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

func (c *Catalog) listStore(ctx context.Context, state *storeState, source eventSource) (next uint64, err error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := c.now()
	listing, err := source.client.List(callCtx, source.address)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setClock(state, source, listing.Clock, sentAt)
	now := time.Now()
	storeEpoch, confirmedAt := listing.StoreEpoch, c.notAhead(listing.ConfirmedAt)
	if source.direct {
		storeEpoch, confirmedAt = listing.Epoch, c.confirmedAt(listing.Clock, sentAt)
	}
	if !state.lease.begun() || storeEpoch != state.storeEpoch {
		state.lease.begin(c.now())
	}
	state.storeEpoch = storeEpoch
	state.lease.confirm(confirmedAt)
	if listing.Epoch != state.epoch {
		state.unfinished = nil
	}
	c.partCount -= len(state.held)
	before, wasKnown := state.held, state.known
	state.epoch, state.known, state.held, state.used, state.untracked = listing.Epoch, true, map[Key]int{}, 0, 0
	state.discrepancies, state.listedAt, state.direct = 0, now, source.direct
	state.changeLog.reset()
	if source.direct {
		state.updateProgress(listing.Unfinished, now)
	}
	var appeared []Key
	for _, part := range listing.Held {
		c.addPart(state, part)
		if _, heldBefore := before[part.Key]; wasKnown && !heldBefore {
			appeared = append(appeared, part.Key)
		}
	}
	if wasKnown {
		state.appeared.add(appeared, c.now())
	} else {
		state.appeared.addAll(c.now())
	}
	for _, part := range listing.Unfinished {
		state.used += part.Reserved
	}
	event.Info(c.Log, event.CacheStoreListed, "store", state.store.Name, "epoch", listing.Epoch, "parts", len(listing.Held),
		"leftOut", state.untracked, "unfinished", len(listing.Unfinished), "tokens", state.used,
		"from", source.address, "storeEpoch", storeEpoch, "savesInMs", state.lease.savesIn(c.now()).Milliseconds())
	return listing.Next, nil
}

func (c *Catalog) watchStore(ctx context.Context, state *storeState, source eventSource, since uint64) (next uint64, listed bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, pollWait+callTimeout)
	defer cancel()
	sentAt := c.now()
	changes, err := source.client.Watch(callCtx, source.address, since, pollWait)
	if err != nil {
		return since, false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setClock(state, source, changes.Clock, sentAt)
	if changes.Lost || changes.Epoch != state.epoch {
		state.known = false
		event.Info(c.Log, event.CacheStoreLost, "store", state.store.Name, "epoch", changes.Epoch, "before", state.epoch,
			"eventsLost", changes.Lost)
		return since, false, nil
	}
	confirmedAt := c.notAhead(changes.ConfirmedAt)
	if source.direct {
		confirmedAt = c.confirmedAt(changes.Clock, sentAt)
	}
	state.lease.confirm(confirmedAt)
	var appeared []Key
	for _, change := range changes.Changes {
		if c.removePart(state, change.Key); !change.Gone {
			c.addPart(state, change.Held)
			appeared = append(appeared, change.Key)
		}
	}
	state.appeared.add(appeared, c.now())
	state.changeLog.add(changes.Changes)
	now := time.Now()
	state.expireSaves(now)
	return changes.Next, !state.needsListing(now), nil
}

// addPart records a part that a store holds. The caller must hold mu.
func (c *Catalog) addPart(state *storeState, part Held) {
	state.used += part.Tokens
	delete(state.saving, part.Key)
	if c.MaxParts > 0 && c.partCount >= c.MaxParts {
		state.untracked++
		return
	}
	state.held[part.Key] = part.Tokens
	c.partCount++
}

// removePart removes a part from the record. It is also called for parts that appear. While there are untracked parts, a part that is not
// recorded may be one of them. Its length is then unknown, so only a listing shows how much room it took up, and it counts as a
// discrepancy, which causes a listing. The caller must hold mu.
func (c *Catalog) removePart(state *storeState, key Key) {
	tokens, held := state.held[key]
	if !held {
		if state.untracked > 0 {
			state.discrepancies++
		}
		return
	}
	state.used -= tokens
	delete(state.held, key)
	c.partCount--
}

// expireSaves removes pending saves whose parts did not appear within tiering.SaveTimeout. The caller must hold the catalog's mu.
func (s *storeState) expireSaves(now time.Time) {
	for key, save := range s.saving {
		if now.Sub(save.startedAt) > tiering.SaveTimeout {
			delete(s.saving, key)
			s.discrepancies++
		}
	}
}

// markUnknown marks the contents of a store as unknown after a call that failed with err.
func (c *Catalog) markUnknown(state *storeState, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state.known {
		event.Info(c.Log, event.CacheStoreLost, "store", state.store.Name, "epoch", state.epoch, "reason", err.Error())
	}
	state.known = false
}

// List returns the stores of the configuration in force. The result must not be changed.
func (c *Catalog) List() []tiering.Store {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeList
}
