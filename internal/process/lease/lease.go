// Package lease elects the gateway that may send orders to endpoints. The lease is an object in the platform's store that is
// written only by conditional update on its revision. Each acquisition increases its fencing token, which endpoints check.
//
// A holder sends orders only within Validity of the start of its last successful renewal, measured by the clock that continues
// while the machine is suspended. Another gateway takes the lease when it has not changed for Silence, or when it is free and
// its last holder does not take it again at once. The new holder may send orders at once to endpoints that no earlier holder
// recorded in the lease as ordered, and to each of the others when the lease time has passed since the last possible order to it.
// Holders pass on the times of these orders, so that the wait for an endpoint does not begin anew with each holder. A lease that is not
// needed is not renewed: its holder releases it and has priority in acquiring it again, so that the holder seldom changes.
//
// # Usage
//
//	l := lease.New("Gateway1", leases, "Orders")
//	l.Publish, l.PublishName = shared, registry.UpdatingName()
//	held, err := l.Acquire(ctx)
//	if l.Renew(ctx, updating, lastOrders) && l.MayOrder(endpoint) { order }
//	l.Release(ctx, lastOrders)
package lease

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/bootclock"
	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/version/registry"
)

// Objects is the part of the store's API for shared objects that the package uses. Its errors are those of package platform.
type Objects interface {
	Get(ctx context.Context, name string) (value json.RawMessage, revision uint64, err error)
	Put(ctx context.Context, name string, revision uint64, value any) (next uint64, err error)
}

// Defaults of the durations in Lease.
const (
	// DefaultValidity is how long the lease is valid after the start of a successful renewal.
	DefaultValidity = time.Second
	// DefaultSilence is how long a lease must be unchanged before another gateway takes it. It is longer than DefaultValidity,
	// so that the previous holder has stopped sending orders by then.
	DefaultSilence = 1600 * time.Millisecond
	// DefaultTime is the time within which an endpoint must not get orders from two holders.
	DefaultTime = 3 * time.Second
)

// Lease acquires, renews and releases the lease for one gateway. Its exported fields are set before the first call. One goroutine
// calls Acquire, Renew, Release, MarkWanted and ClearWanted; all other methods are safe for concurrent use with these and with each
// other.
type Lease struct {
	// Time is the lease time, within which an endpoint must not get orders from two holders. ThawTime is added to the time for
	// which a new holder waits, to allow for a previous holder that was suspended.
	Time     time.Duration
	ThawTime time.Duration
	// Silence is how long the lease must be unchanged before another gateway takes it. Validity is how long it is valid after
	// the start of a successful renewal.
	Silence  time.Duration
	Validity time.Duration
	Log      logr.Logger
	// Publish is the store in which the endpoints that are about to change their weights are published to all gateways, in the
	// object PublishName. If it is nil, they are not published.
	Publish     Objects
	PublishName string
	// Clock returns the time since the machine booted. Default bootclock.Now.
	Clock func() time.Duration
	// EraSince returns the time by Clock at which the store first answered in its present era. Default: 0. A lease that was last written in an
	// earlier era was restored from a copy: who acquired it since, and whom that holder ordered, is lost.
	EraSince func() time.Duration

	name    string
	object  string
	objects Objects
	// mu guards the fields below it. It is never held during a call of the store.
	mu       sync.Mutex
	held     bool
	value    registry.Lease
	revision uint64
	// renewedAt is when the last successful renewal, or the acquisition, began.
	renewedAt time.Duration
	// ordersFrom is the time before which no endpoint gets orders, since a holder that a restored store no longer knows may have sent it one.
	ordersFrom time.Duration
	// earlier is, by endpoint, the last order that an earlier holder may have sent, or an earlier incarnation of this gateway.
	earlier map[string]earlierOrder
	// published are the endpoints published last; publishedRevision is the revision of that object.
	published         []string
	publishedRevision uint64
	// observed is the lease as Acquire last read it, if hasObserved is true; observedAt is when Acquire first read that
	// holder, token and renewal.
	observed    registry.Lease
	observedAt  time.Duration
	hasObserved bool
	// wantedSince is when the lease became wanted, 0 if it is not wanted.
	wantedSince time.Duration
}

// earlierOrder is an order by an earlier holder, or by an earlier incarnation of this one. It was sent at sentAt at the latest.
type earlierOrder struct {
	holder string
	sentAt time.Duration
}

// New returns a Lease for the gateway with the given name. The lease is stored in the given object of objects.
func New(name string, objects Objects, object string) *Lease {
	return &Lease{Time: DefaultTime, Silence: DefaultSilence, Validity: DefaultValidity, Clock: bootclock.Now, EraSince: func() time.Duration { return 0 }, name: name, objects: objects, object: object}
}

// lastHolderHeadStart is how long another gateway must want a free lease before it takes it, so that the last holder can take it
// first.
const lastHolderHeadStart = 700 * time.Millisecond

// Held reports whether this gateway took the lease and has not given it up or lost it since. The lease may have expired.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Token returns the fencing token of the last acquisition by this gateway.
func (l *Lease) Token() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.value.Token
}

// Valid reports whether the lease is held and has not expired.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.valid()
}

// valid is Valid for callers that hold mu.
func (l *Lease) valid() bool { return l.held && l.Clock()-l.renewedAt < l.Validity }

// MayOrder reports whether this gateway may send an order to an endpoint now.
func (l *Lease) MayOrder(endpoint string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	earlier, ok := l.earlier[endpoint]
	return l.valid() && l.Clock() >= l.ordersFrom && (!ok || earlier.holder == l.name || l.Clock() >= earlier.sentAt+l.Time+l.ThawTime)
}

// MarkWanted records that this gateway has orders to send. Calls after the first have no effect until ClearWanted is called.
func (l *Lease) MarkWanted() {
	if l.wantedSince == 0 {
		l.wantedSince = l.Clock()
	}
}

// ClearWanted records that this gateway has no orders to send.
func (l *Lease) ClearWanted() { l.wantedSince = 0 }

// Acquire takes the lease if it can and reports whether this gateway holds it. Errors are those of the store; a lease that another gateway
// holds or takes first is no error. One that cannot be read counts as held by an unknown gateway that may have ordered any endpoint.
func (l *Lease) Acquire(ctx context.Context) (held bool, err error) {
	defer func() { err = errors.Wrap(err, "acquire lease") }()
	if l.Held() {
		return true, nil
	}
	encoded, revision, err := l.objects.Get(ctx, l.object)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return false, err
	}
	var current registry.Lease
	if err == nil {
		if current, err = decode(encoded, revision); err != nil {
			event.Info(l.Log, event.ObjectUnreadable, "kind", "Lease", "name", l.object, "revision", revision, "reason",
				event.Shorten(err.Error()))
			current = l.replacement(revision)
		}
	}
	now := l.Clock()
	if !l.hasObserved || current.Holder != l.observed.Holder || current.Token != l.observed.Token ||
		current.Renewal != l.observed.Renewal {
		l.observed, l.observedAt, l.hasObserved = current, now, true
	}
	era := registry.Era(revision)
	restored := current.Era != era
	if !l.canAcquire(now, current) || (restored && now-l.EraSince() < l.Silence) {
		return false, nil
	}
	ordersFrom := l.observedAt + time.Duration(current.UnknownMs)*time.Millisecond
	if restored {
		ordersFrom = l.EraSince() + l.Validity + l.Time + l.ThawTime
	}
	earlier := l.earlierOrders(current)
	next := registry.Lease{Holder: l.name, Token: nextToken(current.Token, era), Renewal: current.Renewal + 1, Last: l.name, Era: era}
	l.record(&next, now, nil, nil, earlier)
	next.UnknownMs = unknownMs(ordersFrom, now)
	revision, err = l.objects.Put(ctx, l.object, revision, next)
	if errors.Is(err, platform.ErrConflict) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.value, l.revision, l.renewedAt, l.earlier = true, next, revision, now, earlier
	l.ordersFrom = ordersFrom
	l.published = nil
	event.Info(l.Log, event.LeaseGained, "token", next.Token, "before", current.Last, "ordered", next.Ordered, "agoMs", next.OrderedMs,
		"restored", restored, "unknownMs", next.UnknownMs)
	return true, nil
}

// nextToken returns the fencing token of the acquisition after the given token. The tokens of an era are above those of all earlier eras, so
// that none that a restored store has forgotten is given out again.
func nextToken(token, era uint64) uint64 { return max(token, era*registry.EraSize) + 1 }

// unknownMs returns the time until ordersFrom in milliseconds, 0 if it has passed.
func unknownMs(ordersFrom, now time.Duration) int64 { return max(0, ordersFrom-now).Milliseconds() }

// earlierOrders returns the orders that a lease records, which was first read at observedAt.
func (l *Lease) earlierOrders(current registry.Lease) map[string]earlierOrder {
	earlier := map[string]earlierOrder{}
	complete := len(current.OrderedBy) == len(current.Ordered) && len(current.OrderedMs) == len(current.Ordered)
	for i, id := range current.Ordered {
		holder, ago := "", int64(registry.OrderOpen)
		if complete {
			holder, ago = current.OrderedBy[i], current.OrderedMs[i]
		}
		order := earlierOrder{holder: holder, sentAt: l.observedAt - time.Duration(ago)*time.Millisecond}
		if ago == registry.OrderOpen {
			order.sentAt = l.observedAt + l.Validity
		}
		earlier[id] = order
	}
	return earlier
}

// record sets the orders that a lease records: those that may be sent to the endpoints in updating, those that this gateway sent, with the
// time since, and those of earlier holders.
func (l *Lease) record(next *registry.Lease, now time.Duration, updating []string, sent map[string]time.Duration, earlier map[string]earlierOrder) {
	next.Ordered, next.OrderedBy, next.OrderedMs = nil, nil, nil
	add := func(id, holder string, ago int64) {
		next.Ordered, next.OrderedBy, next.OrderedMs = append(next.Ordered, id), append(next.OrderedBy, holder), append(next.OrderedMs, ago)
	}
	open := make(map[string]bool, len(updating))
	for _, id := range updating {
		open[id] = true
		add(id, l.name, registry.OrderOpen)
	}
	for _, id := range slices.Sorted(maps.Keys(sent)) {
		if !open[id] {
			add(id, l.name, sent[id].Milliseconds())
		}
	}
	for _, id := range slices.Sorted(maps.Keys(earlier)) {
		order := earlier[id]
		if _, again := sent[id]; !again && !open[id] && now < order.sentAt+l.Time+l.ThawTime {
			add(id, order.holder, max(0, now-order.sentAt).Milliseconds())
		}
	}
}

// canAcquire reports whether this gateway may take the lease. It may if the lease is free and this gateway was the last holder,
// nobody was, or the last holder has had its head start; if the holder is an earlier incarnation of this gateway; or if the lease
// has not changed for Silence.
func (l *Lease) canAcquire(now time.Duration, current registry.Lease) bool {
	switch {
	case current.Holder == "" && (current.Last == "" || current.Last == l.name):
		return true
	case current.Holder == "":
		return l.wantedSince != 0 && now-l.wantedSince >= lastHolderHeadStart
	case current.Holder == l.name:
		return true // held by an earlier incarnation of this gateway
	}
	return now-l.observedAt >= l.Silence
}

// Renew publishes the endpoints that are about to change their weights, renews the lease, and records in it these endpoints and those that
// this gateway ordered recently, with the time since. It reports whether the store has confirmed both; only then may the endpoints get orders.
func (l *Lease) Renew(ctx context.Context, updating []string, sent map[string]time.Duration) (confirmed bool) {
	if !l.publish(ctx, updating) {
		return false
	}
	start := l.Clock()
	next := l.value
	next.Renewal++
	l.record(&next, start, updating, sent, l.earlier)
	next.UnknownMs = unknownMs(l.ordersFrom, start)
	revision, err := l.objects.Put(ctx, l.object, l.revision, next)
	if err != nil {
		return l.resolveRenewal(ctx, err, next, start)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.value, l.revision, l.renewedAt = next, revision, start
	return l.held
}

// publish writes the endpoints that are about to change their weights, if they differ from those published last. It reports
// whether the store has confirmed them.
func (l *Lease) publish(ctx context.Context, updating []string) bool {
	if l.Publish == nil || slices.Equal(updating, l.published) {
		return true
	}
	value := registry.Updating{Token: l.value.Token, Endpoints: updating}
	revision, err := l.Publish.Put(ctx, l.PublishName, l.publishedRevision, value)
	if err != nil {
		// Another holder wrote the object, or a response was lost. The next attempt uses the current revision.
		_, l.publishedRevision, err = l.Publish.Get(ctx, l.PublishName)
		if errors.Is(err, platform.ErrNotFound) {
			l.publishedRevision = 0
		}
		return false
	}
	l.published, l.publishedRevision = updating, revision
	return true
}

// resolveRenewal reads the lease after a renewal that failed with cause, to find out whether it took effect. If the lease
// cannot be read, the last successful renewal remains in effect, and the lease is lost when Silence has passed since its start.
func (l *Lease) resolveRenewal(ctx context.Context, cause error, next registry.Lease, start time.Duration) (confirmed bool) {
	encoded, revision, err := l.objects.Get(ctx, l.object)
	var current registry.Lease
	if err == nil {
		current, err = decode(encoded, revision)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil && l.Clock()-l.renewedAt >= l.Silence:
		l.drop(errors.CombineErrors(cause, err).Error())
		return false
	case err != nil:
		return false
	case registry.Era(revision) != registry.Era(l.revision):
		l.drop("the store was restored from a copy")
		return false
	case current.Holder != l.name || current.Token != l.value.Token:
		l.drop("taken by " + current.Holder)
		return false
	}
	l.revision = revision
	if current.Renewal != next.Renewal {
		return false
	}
	l.value, l.renewedAt = next, start
	return l.held
}

// Abandon gives the lease up without writing to the store, for use when an endpoint has reported a token higher than the given one.
// It does nothing if this gateway has acquired the lease again since, with a higher token.
func (l *Lease) Abandon(token uint64, reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if token == l.value.Token {
		l.drop(reason)
	}
}

// drop marks the lease as not held and logs the reason. The caller must hold mu.
func (l *Lease) drop(reason string) {
	if l.held {
		event.Info(l.Log, event.LeaseLost, "token", l.value.Token, "reason", reason)
	}
	l.held = false
}

// Release gives the lease up in the store and records in it the endpoints that this gateway ordered recently, with the time since. No order
// may be in flight. This gateway has priority in acquiring the lease again. The lease is no longer held even if the write fails.
func (l *Lease) Release(ctx context.Context, sent map[string]time.Duration) {
	if !l.Held() {
		return
	}
	l.publish(ctx, nil)
	next := l.value
	next.Holder = ""
	next.Renewal++
	now := l.Clock()
	l.record(&next, now, nil, sent, l.earlier)
	next.UnknownMs = unknownMs(l.ordersFrom, now)
	_, err := l.objects.Put(ctx, l.object, l.revision, next)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.drop("release: " + err.Error())
		return
	}
	l.drop("released")
}
