package loadpermits

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/process/platform"
)

// The kind and the name of the object that contains the taken slots.
const (
	Kind = "LoadPermits"
	Name = "Site"
)

const (
	// DefaultSlots is the number of concurrent loads that a site's weight store can serve without slowing down.
	DefaultSlots = 2
	// DefaultExpiry is the time after which a slot expires. It is much longer than a load, which takes about a second.
	DefaultExpiry = 30 * time.Second

	// minPollDelay and maxPollDelay limit the mean delay between two reads by a waiting agent. With the maximum, 10,000 waiting
	// agents use less than half of the read rate that the platform can serve.
	minPollDelay = 500 * time.Millisecond
	maxPollDelay = 16 * time.Second
)

// Slots is the value of the object. It contains the taken slots; expired slots count as free.
type Slots struct {
	Taken []Slot
}

// Slot is a slot that is taken for one load.
type Slot struct {
	Holder string
	// Nonce identifies the call of Acquire that took the slot.
	Nonce   uint64
	Expires time.Time
}

// Platform is the part of the platform's API that the package uses.
type Platform interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, obj platform.Object) (uint64, error)
}

// Permits acquires load permits for one agent. Its fields are set before use. It is safe for concurrent use.
type Permits struct {
	Platform Platform
	// Holder is the name of the agent. It is recorded in each slot that the agent takes, so that operators can see who has it.
	Holder string
	// Slots and Expiry default to DefaultSlots and DefaultExpiry and must be the same in all agents of a site.
	Slots  int
	Expiry time.Duration
}

// Permit is the permission to run one load, backed by a taken slot.
type Permit struct {
	// Expires is when the slot expires by this agent's clock. Other agents may take it then.
	Expires time.Time

	permits *Permits
	nonce   uint64
}

// Acquire waits for a free slot and takes it. It returns an error if ctx is done, if the object is malformed, or if the platform reports an
// error that is not retryable. After an error a slot may stay taken until it expires.
func (p *Permits) Acquire(ctx context.Context) (permit *Permit, err error) {
	defer func() { err = errors.Wrap(err, "acquire load permit") }()
	permit = &Permit{permits: p, nonce: rand.Uint64()}
	var backoff platform.Backoff
	delay := minPollDelay
	for {
		granted := false
		err = p.update(ctx, func(s *Slots) (changed bool) {
			granted, changed = p.take(s, permit)
			return changed
		})
		switch {
		case err == nil && granted:
			return permit, nil
		case err == nil:
			sleep(ctx, delay/2+rand.N(delay))
			delay = min(delay*3/2, maxPollDelay)
		case platform.Retryable(err):
			backoff.Wait(ctx, nil)
		default:
			return nil, err
		}
		if ctx.Err() != nil {
			return nil, errors.CombineErrors(ctx.Err(), err)
		}
	}
}

// take adds a slot for the permit to s if one is free. It reports whether the permit has a slot and whether s has changed. A slot
// with the permit's nonce was taken by an earlier write whose response was lost.
func (p *Permits) take(s *Slots, permit *Permit) (granted, changed bool) {
	if i := s.index(permit.nonce); i >= 0 {
		permit.Expires = s.Taken[i].Expires
		return true, false
	}
	limit, expiry := p.Slots, p.Expiry
	if limit <= 0 {
		limit = DefaultSlots
	}
	if expiry <= 0 {
		expiry = DefaultExpiry
	}
	if len(s.Taken) >= limit {
		return false, false
	}
	permit.Expires = time.Now().UTC().Add(expiry).Round(0)
	s.Taken = append(s.Taken, Slot{Holder: p.Holder, Nonce: permit.nonce, Expires: permit.Expires})
	return true, true
}

// Release frees the slot. It retries until ctx is done or the platform reports an error that is not retryable. If it fails, the
// slot may stay taken until it expires.
func (p *Permit) Release(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "release load permit") }()
	var backoff platform.Backoff
	for {
		err = p.permits.update(ctx, func(s *Slots) (changed bool) {
			i := s.index(p.nonce)
			if i >= 0 {
				s.Taken = slices.Delete(s.Taken, i, i+1)
			}
			return i >= 0
		})
		if err == nil || !platform.Retryable(err) {
			return err
		}
		backoff.Wait(ctx, nil)
		if ctx.Err() != nil {
			return errors.CombineErrors(ctx.Err(), err)
		}
	}
}

// index returns the index of the slot with the given nonce, -1 if there is none.
func (s *Slots) index(nonce uint64) int {
	return slices.IndexFunc(s.Taken, func(slot Slot) bool { return slot.Nonce == nonce })
}

// update reads the object, removes the expired slots, calls change on the rest, and writes the object if change returns true.
// Otherwise the object stays as it is, with its expired slots.
func (p *Permits) update(ctx context.Context, change func(*Slots) bool) error {
	obj, err := p.Platform.Get(ctx, Kind, Name)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		obj = platform.Object{Kind: Kind, Name: Name}
	case err != nil:
		return err
	}
	var s Slots
	if obj.Version > 0 {
		if err = json.Unmarshal(obj.Value, &s); err != nil {
			return err
		}
	}
	now := time.Now()
	s.Taken = slices.DeleteFunc(s.Taken, func(slot Slot) bool { return !now.Before(slot.Expires) })
	if !change(&s) {
		return nil
	}
	if obj.Value, err = json.Marshal(s); err != nil {
		return err
	}
	_, err = p.Platform.Put(ctx, obj)
	return err
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
