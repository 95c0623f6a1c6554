package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/platform"
)

// The names of shared objects begin with what they are.
const (
	markPrefix   = "Mark."
	updatingName = "Updating"
)

const (
	// beatTime is the time between two signs of a gateway, memberTime how long it counts after the last one.
	beatTime   = 10 * time.Second
	memberTime = 32 * time.Second
	// membersPeriod is the time between two lists of the gateways. A watch would wake each gateway with each sign of another.
	membersPeriod = 4 * time.Second
	// forgetTime is how long the object of a silent gateway is kept, markTime how long a mark is.
	forgetTime = time.Minute
	markTime   = 15 * time.Minute
)

// Mark is the object of a request that crashed endpoints.
type Mark struct {
	// Endpoints lists the endpoints that crashed while it ran there.
	Endpoints []string
}

// Lease is the object that says which gateway gives orders to endpoints.
type Lease struct {
	// Holder is empty while nobody needs the lease; Last is who held it last.
	Holder string
	Last   string
	// Token rises with each change of holder.
	Token uint64
	// Renewal changes with each renewal.
	Renewal uint64
	// Ordered are the endpoints that got an order within the lease time, or may get one.
	Ordered []string
}

// Updating is the object that names the endpoints that are about to change their weights. It is apart from the lease, since
// all gateways watch it and the lease changes often.
type Updating struct {
	// Token is that of the holder who wrote it; an object with a lower one than seen before is ignored.
	Token     uint64
	Endpoints []string
}

// UpdatingName is the name of the object that names the endpoints about to change.
func UpdatingName() string { return updatingName }

func (r *Registry) applyShared(changes []Change[json.RawMessage]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, c := range changes {
		r.touched[c.Name] = touch{at: now, revision: c.Revision}
		if c.Removed {
			delete(r.touched, c.Name)
		}
		var err error
		switch {
		case strings.HasPrefix(c.Name, markPrefix):
			err = r.applyMark(c)
		case c.Name == updatingName:
			err = r.applyUpdating(c)
		}
		if err != nil {
			event.Info(r.Log, event.ObjectUnreadable, "kind", "Shared", "name", c.Name, "reason", err.Error())
		}
	}
	if len(changes) > 0 {
		r.publish()
	}
}

func (r *Registry) applyMark(c Change[json.RawMessage]) error {
	fingerprint, err := strconv.ParseUint(strings.TrimPrefix(c.Name, markPrefix), 16, 64)
	if err != nil {
		return err
	}
	marks := maps.Clone(r.next.Marks)
	delete(marks, fingerprint)
	if !c.Removed {
		var m Mark
		if err := json.Unmarshal(c.Value, &m); err != nil {
			return err
		}
		marks[fingerprint] = m.Endpoints
	}
	r.next.Marks = marks
	return nil
}

func (r *Registry) applyUpdating(c Change[json.RawMessage]) error {
	var u Updating
	if !c.Removed {
		if err := json.Unmarshal(c.Value, &u); err != nil {
			return err
		}
	}
	if u.Token < r.updatingToken {
		return nil
	}
	r.updatingToken = u.Token
	updating := make(map[string]bool, len(u.Endpoints))
	for _, id := range u.Endpoints {
		updating[id] = true
	}
	r.next.Updating, r.next.UpdatingAt = updating, time.Now()
	return nil
}

// crashTries bounds the writes of one mark: several gateways may write it at once.
const crashTries = 4

// Crashed records that a request crashed an endpoint, for all gateways.
func (r *Registry) Crashed(ctx context.Context, fingerprint uint64, endpoint string) (err error) {
	defer func() { err = errors.Wrapf(err, "mark of request %016x", fingerprint) }()
	name := fmt.Sprintf("%s%016x", markPrefix, fingerprint)
	for range crashTries {
		var m Mark
		value, revision, getErr := r.Shared.Get(ctx, name)
		switch {
		case errors.Is(getErr, platform.ErrNotFound):
		case getErr != nil:
			return getErr
		default:
			if err := json.Unmarshal(value, &m); err != nil {
				return err
			}
		}
		if slices.Contains(m.Endpoints, endpoint) {
			return nil
		}
		m.Endpoints = append(m.Endpoints, endpoint)
		if _, err = r.Shared.Put(ctx, name, revision, m); !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return err
}

// touch is when this gateway saw an object change, and to which revision.
type touch struct {
	at       time.Time
	revision uint64
}

// tidy deletes objects that nobody needs any more, since the store keeps everything. The first gateway in an object's order
// does it.
func (r *Registry) tidy(ctx context.Context, now time.Time) {
	members, marks := r.outdated(now)
	r.deleteAll(ctx, r.Members, members)
	r.deleteAll(ctx, r.Shared, marks)
}

func (r *Registry) deleteAll(ctx context.Context, objects Objects, old map[string]uint64) {
	for name, revision := range old {
		if !r.First(name) {
			continue
		}
		if err := objects.Delete(ctx, name, revision); err != nil && ctx.Err() == nil {
			event.Info(r.Log, event.StoreWriteFailed, "name", name, "reason", err.Error())
		}
	}
}

// outdated returns silent gateways and old marks with their revisions.
func (r *Registry) outdated(now time.Time) (members, marks map[string]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	members, marks = map[string]uint64{}, map[string]uint64{}
	if now.Sub(r.shared.lastTrouble()) < forgetTime || now.Sub(r.membersTrouble) < forgetTime {
		return members, marks
	}
	for name, m := range r.members {
		if name != r.Name && now.Sub(m.seen) > forgetTime {
			members[name] = m.revision
		}
	}
	for name, t := range r.touched {
		if strings.HasPrefix(name, markPrefix) && now.Sub(t.at) > markTime {
			marks[name] = t.revision
		}
	}
	return members, marks
}
