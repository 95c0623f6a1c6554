package agent

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/platform"
)

// The object that holds the load permits of the site.
const (
	PermitsKind = "LoadPermits"
	PermitsName = "Site"
)

// PlatformPermits keeps load permits in one object of the platform, changed by conditional update. A permit that its
// holder does not give back expires; the holder may then still be loading, which only slows the other loads down.
type PlatformPermits struct {
	Platform Platform
	// Holder names the permit's holder, one for each process.
	Holder string
	Log    logr.Logger
	// Slots is the number of permits. Default 2: loads slow each other down from three on.
	Slots int
	// Expiry is the time after which a permit is free again. Default 30 s, far above the second that a load takes.
	Expiry time.Duration
	// OutageWait is how long an outage of the platform holds a load up. Default 5 s.
	OutageWait time.Duration

	mu      sync.Mutex
	maxWait time.Duration
}

type permitHolder struct {
	Name    string
	Expires time.Time
}

// setEndpoints sets the pause between two tries to 1 ms for each endpoint of the site, so that 10,000 agents which wait
// cost the platform about 1,000 reads/s, half of what it bears.
func (p *PlatformPermits) setEndpoints(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxWait = min(max(time.Duration(n)*time.Millisecond, 200*time.Millisecond), 10*time.Second)
}

// Acquire implements Permits. While the platform does not answer for OutageWait, it lets the load go on without a
// permit.
func (p *PlatformPermits) Acquire(ctx context.Context) (release func(), err error) {
	p.mu.Lock()
	limit := max(p.maxWait, 200*time.Millisecond)
	p.mu.Unlock()
	answered := time.Now()
	for wait := 20 * time.Millisecond; ; wait = min(2*wait, limit) {
		got, err := p.update(ctx, p.add)
		switch {
		case got && err == nil:
			return p.release, nil
		case err == nil, errors.Is(err, platform.ErrConflict):
			answered = time.Now()
		case ctx.Err() == nil && time.Since(answered) > positive(p.OutageWait, 5*time.Second):
			event.Error(p.Log, err, event.LoadPermitMissing)
			return func() {}, nil
		}
		pause(ctx, wait/2+rand.N(wait))
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// releaseTimeout bounds giving a permit back; it expires anyway.
const releaseTimeout = 2 * time.Second

func (p *PlatformPermits) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := p.update(ctx, p.remove); err == nil {
			return
		}
		pause(ctx, 10*time.Millisecond+rand.N(20*time.Millisecond))
	}
}

// update changes the holders if change says so, and reports what change returned.
func (p *PlatformPermits) update(ctx context.Context, change func([]permitHolder) ([]permitHolder, bool, bool)) (
	result bool, err error,
) {
	object, err := p.Platform.Get(ctx, PermitsKind, PermitsName)
	if errors.Is(err, platform.ErrNotFound) {
		object, err = platform.Object{Kind: PermitsKind, Name: PermitsName}, nil
	}
	if err != nil {
		return false, err
	}
	var holders []permitHolder
	if len(object.Value) > 0 {
		if err := json.Unmarshal(object.Value, &holders); err != nil {
			return false, err
		}
	}
	now := time.Now()
	holders = slices.DeleteFunc(holders, func(h permitHolder) bool { return !h.Expires.After(now) })
	holders, write, result := change(holders)
	if !write {
		return result, nil
	}
	if object.Value, err = json.Marshal(holders); err != nil {
		return false, err
	}
	_, err = p.Platform.Put(ctx, object)
	return result, err
}

func (p *PlatformPermits) own(h permitHolder) bool { return h.Name == p.Holder }

// add finds a permit of its own after a write whose outcome was unknown.
func (p *PlatformPermits) add(holders []permitHolder) (next []permitHolder, write, got bool) {
	if slices.ContainsFunc(holders, p.own) {
		return holders, false, true
	}
	slots := p.Slots
	if slots <= 0 {
		slots = 2
	}
	if len(holders) >= slots {
		return holders, false, false
	}
	expires := time.Now().Add(positive(p.Expiry, 30*time.Second))
	return append(holders, permitHolder{Name: p.Holder, Expires: expires}), true, true
}

func (p *PlatformPermits) remove(holders []permitHolder) (next []permitHolder, write, done bool) {
	n := len(holders)
	holders = slices.DeleteFunc(holders, p.own)
	return holders, len(holders) != n, true
}

func positive(d, otherwise time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return otherwise
}
