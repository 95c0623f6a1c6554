package kvstore

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
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

// View is what is known of the site.
type View interface {
	Current() *site.Snapshot
	// Others returns the names of the other gateways, false if they are not known.
	Others() (names []string, ok bool)
	// First reports whether this gateway comes first of all in the order of a name.
	First(name string) bool
	// VersionsAge returns how long ago the named weight versions were confirmed.
	VersionsAge() time.Duration
	// Leaders returns the addresses of the first n gateways in the order of a name, and whether this one is among them.
	Leaders(name string, n int) (addresses []netip.Addr, self bool)
}

// Catalog follows the KV stores of a site. Its exported fields are set before Run.
type Catalog struct {
	View   View
	Stores Stores
	// Relays asks other gateways, at RelayPort, for stores that this one does not follow itself. With a RelayPort of 0 it
	// follows all stores.
	Relays    Stores
	RelayPort uint16
	Log       logr.Logger
	// Floors are the weight versions below which gateways use no parts. It is not nil.
	Floors *tiering.Floors
	// MaxParts bounds the parts that are remembered, of all stores together. Further ones take up room and are not fetched. 0 for no
	// bound.
	MaxParts int

	mu     sync.Mutex
	stores map[string]*contents
	list   []tiering.Store
	of     *site.Configuration
	clock  serverClock
	// parts is the number of parts that are remembered.
	parts int
}

// contents is what is known of one store.
type contents struct {
	store tiering.Store
	// readers is the number of questions for events that the store answers at a time.
	readers int
	stop    context.CancelFunc
	known   bool
	epoch   uint64
	held    map[Key]int
	used    int
	// leftOut counts parts that are not remembered.
	leftOut int
	saving  map[Key]save
	// missing counts saves that did not appear since the last listing at listedAt.
	missing  int
	listedAt time.Time
	// stuck are the unfinished saves of the last listing.
	stuck map[Key]progress
	// direct tells that this gateway reads the events of the store itself; relay is what it tells others.
	direct bool
	relay  relayed
}

// source is where the contents of a store are read.
type source struct {
	stores  Stores
	address string
	direct  bool
}

// source chooses between the store and a gateway that follows it.
func (c *Catalog) source(n *contents) source {
	own := source{stores: c.Stores, address: n.store.Address, direct: true}
	if c.RelayPort == 0 || c.Relays == nil {
		return own
	}
	leaders, self := c.View.Leaders(n.store.Name, max(1, int(readersShare*float64(n.readers))))
	if self || len(leaders) == 0 {
		return own
	}
	leader := leaders[rand.IntN(len(leaders))]
	return source{stores: c.Relays, address: relayAddress(netip.AddrPortFrom(leader, c.RelayPort), n.store.Name)}
}

// save is a part that an engine was told to save.
type save struct {
	tokens int
	at     time.Time
}

const (
	// watchWait is how long a store holds a question for events.
	watchWait = time.Second
	// callTime bounds a call beyond its wait.
	callTime = 800 * time.Millisecond
	// retryTime is the pause after a call that failed.
	retryTime = 400 * time.Millisecond
	// saveTime is how long a save may take before its part counts as not there, and may be saved again. Most appear within some
	// hundred milliseconds.
	saveTime = 1500 * time.Millisecond
	// missingLimit is the number of saves that did not appear after which a store is listed again: each may be a lost event.
	missingLimit = 12
	// mostUpdated is the part of the endpoints with a new weight version from which its parts are worth more than those of the
	// version before: nearly all of the old ones are there, while few of the new ones are asked for again before the rest follow.
	mostUpdated = 0.8
	// upkeepPeriod is the time between two looks at what may be freed.
	upkeepPeriod = 500 * time.Millisecond
)

// Run follows the stores of the configuration in force until ctx is done.
func (c *Catalog) Run(ctx context.Context) error {
	var followers sync.WaitGroup
	defer followers.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(upkeepPeriod)
	defer ticker.Stop()
	for {
		c.configure(ctx, &followers)
		c.raiseFloors(c.View.Current())
		c.upkeep(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// configure starts and stops followers after a change of the configuration.
func (c *Catalog) configure(ctx context.Context, followers *sync.WaitGroup) {
	configuration := c.View.Current().Configuration
	c.mu.Lock()
	defer c.mu.Unlock()
	if configuration == c.of {
		return
	}
	c.of = configuration
	wanted := map[string]bool{}
	c.list = nil
	if c.stores == nil {
		c.stores = map[string]*contents{}
	}
	for _, s := range configuration.Services {
		if s.Store == nil {
			continue
		}
		wanted[s.Name] = true
		store := tiering.Store{Name: s.Name, Address: s.Store.Address, Tokens: s.Store.Tokens,
			BitsPerSecond: s.Store.LinkBitsPerSecond, FirstByte: s.Store.FirstByte}
		c.list = append(c.list, store)
		if known := c.stores[s.Name]; known != nil && known.store.Address == store.Address {
			known.store = store
			continue
		} else if known != nil {
			known.stop()
			c.parts -= len(known.held)
		}
		follow, stop := context.WithCancel(ctx)
		n := &contents{store: store, readers: s.Store.MaxReaders, stop: stop, held: map[Key]int{}, saving: map[Key]save{}}
		c.stores[s.Name] = n
		followers.Go(func() { c.follow(follow, n) })
	}
	for name, n := range c.stores {
		if !wanted[name] {
			n.stop()
			c.parts -= len(n.held)
			delete(c.stores, name)
		}
	}
	slices.SortFunc(c.list, func(a, b tiering.Store) int { return cmp.Compare(a.Name, b.Name) })
}

// follow keeps what is known of one store current.
func (c *Catalog) follow(ctx context.Context, n *contents) {
	listed, next := false, uint64(0)
	var from source
	for ctx.Err() == nil {
		var err error
		if !listed {
			from = c.source(n)
			if next, err = c.listStore(ctx, n, from); err == nil {
				listed = true
				c.freeStuck(ctx, n)
				continue
			}
		} else {
			next, listed, err = c.watchStore(ctx, n, from, next)
			listed = listed && c.source(n).direct == from.direct
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		c.lose(n, err)
		listed = false
		select {
		case <-ctx.Done():
		case <-time.After(retryTime):
		}
	}
}

func (c *Catalog) listStore(ctx context.Context, n *contents, from source) (next uint64, err error) {
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	l, err := from.stores.List(call, from.address)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setClock(l.Clock)
	now := time.Now()
	if l.Epoch != n.epoch {
		n.stuck = nil
	}
	c.parts -= len(n.held)
	n.epoch, n.known, n.held, n.used, n.leftOut = l.Epoch, true, map[Key]int{}, 0, 0
	n.missing, n.listedAt, n.direct = 0, now, from.direct
	n.relay.reset()
	if from.direct {
		n.observeUnfinished(l.Unfinished, now)
	}
	for _, h := range l.Held {
		c.remember(n, h)
	}
	for _, u := range l.Unfinished {
		n.used += u.Reserved
	}
	event.Info(c.Log, event.CacheStoreListed, "store", n.store.Name, "epoch", l.Epoch, "parts", len(l.Held),
		"leftOut", n.leftOut, "unfinished", len(l.Unfinished), "tokens", n.used,
		"from", from.address)
	return l.Next, nil
}

func (c *Catalog) watchStore(ctx context.Context, n *contents, from source, since uint64) (next uint64, listed bool, err error) {
	call, cancel := context.WithTimeout(ctx, watchWait+callTime)
	defer cancel()
	changes, err := from.stores.Watch(call, from.address, since, watchWait)
	if err != nil {
		return since, false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setClock(changes.Clock)
	if changes.Lost || changes.Epoch != n.epoch {
		n.known = false
		event.Info(c.Log, event.CacheStoreLost, "store", n.store.Name, "epoch", changes.Epoch, "before", n.epoch,
			"eventsLost", changes.Lost)
		return since, false, nil
	}
	for _, change := range changes.Changes {
		if c.forget(n, change.Key); !change.Gone {
			c.remember(n, change.Held)
		}
	}
	n.relay.add(changes.Changes)
	now := time.Now()
	n.expireSaves(now)
	return changes.Next, !n.wantsListing(now), nil
}

// remember records a part that a store holds. The caller holds mu.
func (c *Catalog) remember(n *contents, h Held) {
	n.used += h.Tokens
	delete(n.saving, h.Key)
	if c.MaxParts > 0 && c.parts >= c.MaxParts {
		n.leftOut++
		return
	}
	n.held[h.Key] = h.Tokens
	c.parts++
}

// forget drops a part. How much room one that was left out gave back only a listing shows. The caller holds mu.
func (c *Catalog) forget(n *contents, key Key) {
	tokens, held := n.held[key]
	if !held {
		if n.leftOut > 0 {
			n.missing++
		}
		return
	}
	n.used -= tokens
	delete(n.held, key)
	c.parts--
}

// expireSaves gives up saves that did not appear.
func (n *contents) expireSaves(now time.Time) {
	for key, s := range n.saving {
		if now.Sub(s.at) > saveTime {
			delete(n.saving, key)
			n.missing++
		}
	}
}

// lose forgets what a store holds that does not answer.
func (c *Catalog) lose(n *contents, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n.known {
		event.Info(c.Log, event.CacheStoreLost, "store", n.store.Name, "epoch", n.epoch, "reason", err.Error())
	}
	n.known = false
}

func (c *Catalog) setClock(clock time.Duration) {
	if clock > 0 {
		c.clock.observe(clock, bootclock.Now())
	}
}

// Clock returns the servers' clock, false if it is not known.
func (c *Catalog) Clock() (clock time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.now(bootclock.Now()), c.clock.known
}

// List returns the stores of the configuration in force. The result must not be changed.
func (c *Catalog) List() []tiering.Store {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list
}

// Uses reports whether parts of a weight version may still be used.
func (c *Catalog) Uses(model string, version uint64) bool { return c.Floors.Uses(model, version) }

// raiseFloors gives up versions that were replaced, once most endpoints have a newer one or the time of the named one is over.
func (c *Catalog) raiseFloors(view *site.Snapshot) {
	now := bootclock.Now()
	if c.View.VersionsAge() >= tiering.ViewTime && c.Floors.Adopt(now) {
		event.Info(c.Log, event.WeightVersionGivenUp, "floors", c.Floors.Own(), "reason", "named versions are not known, other gateways' word")
	}
	for model, named := range view.Versions {
		floor, reason := min(named, mostServed(view, model)), "most endpoints have newer ones"
		if now-view.UnnamedAt[model] >= tiering.ReplacedTime {
			floor, reason = named, "it was replaced a while ago"
		}
		if floor > 0 && c.Floors.Raise(model, floor, now) {
			event.Info(c.Log, event.WeightVersionGivenUp, "model", model, "below", floor, "named", named, "reason", reason)
		}
	}
}

// mostServed returns the highest weight version that most endpoints with a model have at least, 0 if there are none. It need not
// be the named one: versions may be named faster than endpoints load them.
func mostServed(view *site.Snapshot, model string) uint64 {
	var versions []uint64
	for _, endpoints := range view.Endpoints {
		for _, e := range endpoints {
			if has, ok := e.Version(model); ok && e.State == site.Ready {
				versions = append(versions, has)
			}
		}
	}
	if len(versions) == 0 {
		return 0
	}
	slices.Sort(versions)
	return versions[len(versions)-int(math.Ceil(mostUpdated*float64(len(versions))))]
}
