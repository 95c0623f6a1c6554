// Package lease decides which gateway gives orders to endpoints. The lease is an object in the platform's store that is
// changed only under the condition of its revision; each change of holder raises its token, which endpoints check.
//
// A holder acts only within Validity of the moment at which it began its last successful renewal, measured by the clock that
// goes on while the machine is suspended. Another gateway takes the lease when it has not changed for Silence. It may give
// orders at once to endpoints that the holder before did not publish as ordered; to the others only when those orders lie a
// lease time back. Nobody renews a lease that is not needed: its holder gives it up and is the first to take it again, so
// that holders change seldom.
//
// # Usage
//
//	l := lease.New("Gateway1", leases, "Orders")
//	l.Publish, l.PublishName = shared, registry.UpdatingName()
//	held, err := l.Acquire(ctx)
//	if l.Renew(ctx, updating, ordered) && l.MayOrder(endpoint) { order }
//	l.Release(ctx)
package lease

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/bootclock"
	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/version/registry"
)

// Objects are the shared objects of the store.
type Objects interface {
	Get(ctx context.Context, name string) (value json.RawMessage, revision uint64, err error)
	Put(ctx context.Context, name string, revision uint64, value any) (next uint64, err error)
}

// Defaults of the times.
const (
	// DefaultValidity is how long a renewal lasts.
	DefaultValidity = time.Second
	// DefaultSilence is how long a lease must not have changed before another gateway takes it. It is longer than a renewal
	// lasts, so that the holder has stopped by then.
	DefaultSilence = 1600 * time.Millisecond
	// DefaultTime is how long an endpoint must not get orders from two holders.
	DefaultTime = 3 * time.Second
)

// Lease is one gateway's view of the lease. Its exported fields are set before the first call. It belongs to one goroutine.
type Lease struct {
	// Time is the lease time, ThawTime what is added for a holder that stood still.
	Time     time.Duration
	ThawTime time.Duration
	Silence  time.Duration
	Validity time.Duration
	Log      logr.Logger
	// Publish is where the endpoints that are about to change are named, in the object PublishName, for all gateways. Nil for
	// nowhere.
	Publish     Objects
	PublishName string
	// Clock returns the time since the start of the machine. Default bootclock.Now.
	Clock func() time.Duration

	name     string
	object   string
	objects  Objects
	held     bool
	value    registry.Lease
	revision uint64
	// renewed is when the last successful renewal began.
	renewed time.Duration
	// foreign are the endpoints that the holder before may have given orders to, foreignUntil how long they are left alone.
	foreign      map[string]bool
	foreignUntil time.Duration
	// published are the endpoints named last, publishedAt the revision of that object.
	published   []string
	publishedAt uint64
	// seen is the lease as last read, seenAt when it first looked so.
	seen     registry.Lease
	seenAt   time.Duration
	seenOnce bool
	wantedAt time.Duration
}

// New returns the view of the gateway with the given name.
func New(name string, objects Objects, object string) *Lease {
	return &Lease{Time: DefaultTime, Silence: DefaultSilence, Validity: DefaultValidity, Clock: bootclock.Now, name: name, objects: objects, object: object}
}

// firstTime is how long gateways other than the last holder leave a free lease to it.
const firstTime = 700 * time.Millisecond

// Held reports whether the lease is held. It may have lapsed.
func (l *Lease) Held() bool { return l.held }

// Token returns the fencing token of the holder.
func (l *Lease) Token() uint64 { return l.value.Token }

// Valid reports whether the lease is held and has not lapsed.
func (l *Lease) Valid() bool { return l.held && l.Clock()-l.renewed < l.Validity }

// MayOrder reports whether an endpoint may get an order now.
func (l *Lease) MayOrder(endpoint string) bool {
	return l.Valid() && (!l.foreign[endpoint] || l.Clock() >= l.foreignUntil)
}

// Wanted tells that there are orders to give; Unwanted that there are none.
func (l *Lease) Wanted() {
	if l.wantedAt == 0 {
		l.wantedAt = l.Clock()
	}
}

// Unwanted forgets that there were orders to give.
func (l *Lease) Unwanted() { l.wantedAt = 0 }

// Acquire tries to take the lease and reports whether it is held. Errors are those of the store.
func (l *Lease) Acquire(ctx context.Context) (held bool, err error) {
	defer func() { err = errors.Wrap(err, "acquire lease") }()
	if l.held {
		return true, nil
	}
	raw, revision, err := l.objects.Get(ctx, l.object)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return false, err
	}
	var current registry.Lease
	if err == nil {
		if err := json.Unmarshal(raw, &current); err != nil {
			return false, err
		}
	}
	now := l.Clock()
	if !l.seenOnce || current.Holder != l.seen.Holder || current.Token != l.seen.Token || current.Renewal != l.seen.Renewal {
		l.seen, l.seenAt, l.seenOnce = current, now, true
	}
	if !l.mayTake(now, current) {
		return false, nil
	}
	next := registry.Lease{Holder: l.name, Token: current.Token + 1, Renewal: current.Renewal + 1, Last: l.name,
		Ordered: current.Ordered}
	revision, err = l.objects.Put(ctx, l.object, revision, next)
	if errors.Is(err, platform.ErrConflict) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	l.held, l.value, l.revision, l.renewed = true, next, revision, now
	l.published = nil
	if current.Last != "" && current.Last != l.name {
		l.foreign = make(map[string]bool, len(current.Ordered))
		for _, id := range current.Ordered {
			l.foreign[id] = true
		}
		l.foreignUntil = l.seenAt + l.Time + l.Validity + l.ThawTime
	}
	event.Info(l.Log, event.LeaseGained, "token", next.Token, "before", current.Last, "ordered", current.Ordered)
	return true, nil
}

// mayTake reports whether the lease is free, or its holder silent for long enough.
func (l *Lease) mayTake(now time.Duration, current registry.Lease) bool {
	switch {
	case current.Holder == "" && (current.Last == "" || current.Last == l.name):
		return true
	case current.Holder == "":
		return l.wantedAt != 0 && now-l.wantedAt >= firstTime
	case current.Holder == l.name:
		return true // An earlier incarnation of this gateway.
	}
	return now-l.seenAt >= l.Silence
}

// Renew prolongs the lease and publishes the endpoints that are about to change, and those that got an order of late. It
// reports whether the store has confirmed it; only then may the endpoints get orders.
func (l *Lease) Renew(ctx context.Context, updating, ordered []string) (confirmed bool) {
	begun := l.Clock()
	if !l.publish(ctx, updating) {
		return false
	}
	next := l.value
	next.Renewal++
	next.Ordered = ordered
	if begun < l.foreignUntil {
		next.Ordered = append(slices.Clone(ordered), slices.Sorted(maps.Keys(l.foreign))...)
	}
	revision, err := l.objects.Put(ctx, l.object, l.revision, next)
	if err != nil {
		return l.reread(ctx, err, next, begun)
	}
	l.value, l.revision, l.renewed = next, revision, begun
	return true
}

// publish names the endpoints that are about to change, if they differ from those named last. It reports whether the store has
// confirmed them.
func (l *Lease) publish(ctx context.Context, updating []string) bool {
	if l.Publish == nil || slices.Equal(updating, l.published) {
		return true
	}
	value := registry.Updating{Token: l.value.Token, Endpoints: updating}
	revision, err := l.Publish.Put(ctx, l.PublishName, l.publishedAt, value)
	if err != nil {
		// Another holder wrote it, or an answer was lost: the next try begins with the present revision.
		_, l.publishedAt, err = l.Publish.Get(ctx, l.PublishName)
		if errors.Is(err, platform.ErrNotFound) {
			l.publishedAt = 0
		}
		return false
	}
	l.published, l.publishedAt = updating, revision
	return true
}

// reread finds out what became of a renewal that failed. What cannot be found out ends with the last renewal.
func (l *Lease) reread(ctx context.Context, cause error, next registry.Lease, begun time.Duration) (confirmed bool) {
	raw, revision, err := l.objects.Get(ctx, l.object)
	var current registry.Lease
	if err == nil {
		err = json.Unmarshal(raw, &current)
	}
	switch {
	case err != nil && l.Clock()-l.renewed >= l.Silence:
		l.lost(errors.CombineErrors(cause, err).Error())
		return false
	case err != nil:
		return false
	case current.Holder != l.name || current.Token != l.value.Token:
		l.lost("taken by " + current.Holder)
		return false
	}
	l.revision = revision
	if current.Renewal != next.Renewal {
		return false
	}
	l.value, l.renewed = next, begun
	return true
}

// Lost gives the lease up without telling the store, after an endpoint knew a higher token.
func (l *Lease) Lost(reason string) { l.lost(reason) }

func (l *Lease) lost(reason string) {
	if l.held {
		event.Info(l.Log, event.LeaseLost, "token", l.value.Token, "reason", reason)
	}
	l.held = false
}

// Release gives the lease up. Its holder stays the first to take it again.
func (l *Lease) Release(ctx context.Context) {
	if !l.held {
		return
	}
	l.publish(ctx, nil)
	next := l.value
	next.Holder = ""
	next.Renewal++
	if _, err := l.objects.Put(ctx, l.object, l.revision, next); err != nil {
		l.lost("release: " + err.Error())
		return
	}
	l.lost("released")
}
