package watchrelay

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/internal/connection/call"
	"primrosecourse/internal/event"
	"primrosecourse/internal/process/bootclock"
	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/version/registry"
	"primrosecourse/pkg/bounded"
)

// Path is the path at which a Relay serves the other gateways.
const Path = "/Objects"

const (
	// readers is the number of gateways of a domain that the others ask before they ask the store.
	readers = 2
	// callMargin is the time that a call may take in addition to its wait.
	callMargin = 300 * time.Millisecond
	// waitShare is the share of its maxAge for which a gateway that others ask lets the store wait, and for which the others let it
	// wait. The store's answers are then recent at almost all times, and a gateway that is frozen is left before maxAge has passed.
	waitShare = 0.4
	// servedPeriod is how long after a call a gateway expects further ones.
	servedPeriod = 5 * time.Second
	// failurePause is how long a gateway that failed to answer is not asked again.
	failurePause = 2 * time.Second
	// otherReaders is the number of gateways of other domains that are asked while the store does not answer, and trialWait how long the
	// store may wait in the calls that find out whether it answers again.
	otherReaders = 3
	trialWait    = 200 * time.Millisecond
	// maxRelayedBytes is the size of the values above which they are not passed on but read from the store by each: the links of
	// gateways are narrow, and a domain may have a hundred. maxAnswerBytes limits an answer of another gateway.
	maxRelayedBytes = 32 << 10
	maxAnswerBytes  = 1 << 20
	// maxWaits is the number of calls that may wait here at the same time, more than a domain has gateways and kinds.
	maxWaits = 1024
)

// Leaders names the gateways that read a kind of object for a failure domain; registry.Registry implements it.
type Leaders interface {
	// DomainLeaders returns the addresses of the first n gateways of this gateway's failure domain in the rendezvous-hash order
	// for name, without this gateway. If this gateway is among them, only those before it are returned.
	DomainLeaders(name string, n int) []netip.Addr
	// OtherLeaders returns the addresses of the first n of all other gateways in that order.
	OtherLeaders(name string, n int) []netip.Addr
}

// Relay reads objects through other gateways and passes on what this one reads. Its exported fields must be set before the first
// call of Source.
type Relay struct {
	Leaders Leaders
	// Port is the port at which the gateways serve each other. If it is 0, all objects are read from the store.
	Port  uint16
	Calls *call.Client
	Log   logr.Logger

	mu     sync.Mutex
	kinds  map[string]*Kind
	failed map[netip.Addr]time.Time
	waits  int
}

// Kind is a source of one kind of object. It implements registry.Source.
type Kind struct {
	relay  *Relay
	name   string
	maxAge time.Duration
	store  registry.Source[json.RawMessage]
	own    *journal

	mu sync.Mutex
	// completeAt is the bootclock time up to which the last result was complete; through is the gateway that sent it, invalid for the store.
	completeAt time.Duration
	through    netip.Addr
	// servedAt is when another gateway last asked for this kind.
	servedAt time.Time
	// storeFailedAt is when the store last failed to answer, zero if it answered since.
	storeFailedAt time.Time
}

// errTooMuch means that a gateway leaves it to the asking one to read from the store, since there is too much to pass on.
var errTooMuch = errors.New("too much to pass on")

// answer is what a gateway answers to another one. The field names are those of its msgpack encoding.
type answer struct {
	// Revision is the revision up to which the changes are complete.
	Revision uint64
	// AgeMs is how long ago what the store told the gateway that answers was complete, in milliseconds.
	AgeMs int64
	// Gap is set if the changes since the revision that was asked for are no longer known here.
	Gap bool `msgpack:",omitempty"`
	// Names, Revisions and Values have the same length. A value is empty if the object was removed.
	Names     []string
	Revisions []uint64
	Values    [][]byte

	directAt time.Duration
}

func (a *answer) add(c Change) {
	a.Names, a.Revisions = append(a.Names, c.Name), append(a.Revisions, c.Revision)
	if c.Removed {
		a.Values = append(a.Values, nil)
		return
	}
	a.Values = append(a.Values, c.Value)
}

// valueBytes returns the size of the values.
func (a *answer) valueBytes() (n int) {
	for _, value := range a.Values {
		n += len(value)
	}
	return n
}

func (a *answer) changes() (list []Change, err error) {
	if len(a.Names) != len(a.Revisions) || len(a.Names) != len(a.Values) {
		return nil, errors.New("lists differ in length")
	}
	for i, name := range a.Names {
		list = append(list, Change{Name: name, Revision: a.Revisions[i], Removed: len(a.Values[i]) == 0, Value: a.Values[i]})
	}
	return list, nil
}

// Source returns the source of a kind of object that store reads at the platform. Another gateway is trusted for it while its own
// last answer of the store is at most maxAge old. It must be called once for each kind, before the relay serves.
func (r *Relay) Source(name string, maxAge time.Duration, store registry.Source[json.RawMessage]) *Kind {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kinds == nil {
		r.kinds, r.failed = map[string]*Kind{}, map[netip.Addr]time.Time{}
	}
	k := &Kind{relay: r, name: name, maxAge: maxAge, store: store, own: newJournal()}
	r.kinds[name] = k
	return k
}

// CompleteAt returns the bootclock time up to which the last result had all changes, false before the first one.
func (k *Kind) CompleteAt() (at time.Duration, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.completeAt, k.completeAt != 0
}

// List implements registry.Source.
func (k *Kind) List(ctx context.Context) (changes []Change, revision uint64, err error) {
	if a, list, ok := k.ask(ctx, url.Values{}, 0); ok && !k.own.isAhead(a.Revision) {
		k.own.replace(list, a.Revision, 0)
		return list, a.Revision, nil
	}
	start := bootclock.Now()
	changes, revision, err = k.store.List(ctx)
	if err == nil {
		k.own.replace(changes, revision, start)
		k.received(start, netip.Addr{})
		return changes, revision, nil
	}
	k.storeFailed()
	if a, list, ok := k.ask(ctx, url.Values{}, 0); ok {
		k.own.replace(list, a.Revision, 0)
		return list, a.Revision, nil
	}
	return changes, revision, err
}

// Watch implements registry.Source.
func (k *Kind) Watch(ctx context.Context, after uint64, wait time.Duration) (changes []Change, revision uint64, err error) {
	shortWait := min(wait, time.Duration(waitShare*float64(k.maxAge)))
	query := url.Values{"After": {strconv.FormatUint(after, 10)}, "WaitMs": {strconv.FormatInt(shortWait.Milliseconds(), 10)}}
	if a, list, ok := k.ask(ctx, query, shortWait); ok {
		if a.Gap {
			return nil, 0, errors.Wrap(platform.ErrWatchGap, "relayed")
		}
		k.own.update(after, list, a.Revision, 0)
		return list, a.Revision, nil
	}
	switch {
	case k.failing():
		wait = min(wait, trialWait)
	case k.isAsked():
		wait = shortWait
	}
	began := bootclock.Now()
	changes, revision, err = k.store.Watch(ctx, after, wait)
	if err == nil {
		at := registry.CompleteTime(k.store, began, wait, len(changes) > 0)
		k.own.update(after, changes, revision, at)
		k.received(at, netip.Addr{})
	} else if ctx.Err() == nil && !errors.Is(err, platform.ErrWatchGap) {
		k.storeFailed()
	}
	return changes, revision, err
}

// storeFailed records that the store did not answer.
func (k *Kind) storeFailed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.storeFailedAt = time.Now()
}

// failing reports whether the store did not answer the last call to it.
func (k *Kind) failing() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.storeFailedAt.IsZero()
}

// readers returns the gateways to ask before the store. While the store does not answer, these are also gateways of other domains, until it
// is to be tried again.
func (k *Kind) readers() []netip.Addr {
	list := k.relay.Leaders.DomainLeaders(k.name, readers)
	k.mu.Lock()
	failedAt := k.storeFailedAt
	k.mu.Unlock()
	if !failedAt.IsZero() && time.Since(failedAt) < failurePause {
		for _, other := range k.relay.Leaders.OtherLeaders(k.name, otherReaders) {
			if !slices.Contains(list, other) {
				list = append(list, other)
			}
		}
	}
	return list
}

// isAsked reports whether other gateways have asked for this kind recently.
func (k *Kind) isAsked() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.servedAt.IsZero() && time.Since(k.servedAt) < servedPeriod
}

// ask asks the gateways that read this kind for this one, in their order. ok is false if none answered, and if this gateway is itself
// the first of them.
func (k *Kind) ask(ctx context.Context, query url.Values, wait time.Duration) (a answer, changes []Change, ok bool) {
	if k.relay.Port == 0 {
		return a, nil, false
	}
	query.Set("Kind", k.name)
	if k.failing() {
		query.Set("Much", "1") // The store can't be read instead.
	}
	for _, leader := range k.readers() {
		if !k.relay.mayAsk(leader) {
			continue
		}
		began := bootclock.Now()
		a, changes, err := k.relay.call(ctx, leader, query, wait)
		age := time.Duration(a.AgeMs) * time.Millisecond
		if err == nil && age >= 0 && age <= k.maxAge {
			k.received(registry.CompleteAt(began, wait, a.Gap || len(changes) > 0)-age, leader)
			return a, changes, true
		}
		if ctx.Err() != nil || errors.Is(err, errTooMuch) {
			return a, nil, false
		}
		if err == nil {
			err = errors.Newf("answer is %v old", age)
		}
		k.relay.fail(leader, k.name, err)
	}
	return a, nil, false
}

// received records the last result, which was complete up to the given bootclock time.
func (k *Kind) received(completeAt time.Duration, through netip.Addr) {
	k.mu.Lock()
	changed := k.through != through
	k.completeAt, k.through = completeAt, through
	if !through.IsValid() {
		k.storeFailedAt = time.Time{}
	}
	k.mu.Unlock()
	if changed {
		event.Info(k.relay.Log, event.WatchRelayed, "kind", k.name, "through", text(through), "ageMs", (bootclock.Now() - completeAt).Milliseconds())
	}
}

func text(through netip.Addr) string {
	if !through.IsValid() {
		return "store"
	}
	return through.String()
}

func (r *Relay) mayAsk(leader netip.Addr) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.failed[leader]) >= failurePause
}

func (r *Relay) fail(leader netip.Addr, kind string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, at := range r.failed {
		if time.Since(at) >= failurePause {
			delete(r.failed, other)
		}
	}
	r.failed[leader] = time.Now()
	event.Debug(r.Log, event.WatchRelayed, "kind", kind, "through", leader.String(), "reason", err.Error())
}

func (r *Relay) call(ctx context.Context, leader netip.Addr, query url.Values, wait time.Duration) (a answer, changes []Change, err error) {
	defer func() { err = errors.Wrapf(err, "relay %s", leader) }()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+netip.AddrPortFrom(leader, r.Port).String()+Path+"?"+query.Encode(), nil)
	if err != nil {
		return a, nil, err
	}
	response, err := r.Calls.Do(ctx, request, call.Bounds{Timeout: callMargin, Wait: wait, Limit: maxAnswerBytes})
	if err != nil {
		return a, nil, err
	}
	switch response.Status {
	case http.StatusOK:
	case http.StatusRequestEntityTooLarge:
		return a, nil, errTooMuch
	default:
		return a, nil, errors.Newf("status %d", response.Status)
	}
	if err = bounded.Unmarshal(response.Body, &a); err != nil {
		return a, nil, err
	}
	changes, err = a.changes()
	return a, changes, err
}
