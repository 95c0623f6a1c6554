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
	"primrosecourse/pkg/builds"
	"primrosecourse/pkg/quarantine"
)

// The name of a shared object identifies its type: Mark, Crash, Streams and rollout objects by a prefix, the others by the
// whole name.
const (
	markPrefix    = "Mark."
	crashPrefix   = "Crash."
	streamsPrefix = "Streams."
	updatingName  = "Updating"
	buildPlanName = "BuildPlan"
	// rolloutPrefix and rolloutCountsPrefix are those of the states of rollouts and of the gateways' reports on them.
	rolloutPrefix       = "Rollout."
	rolloutCountsPrefix = "RolloutCounts."
)

const (
	// heartbeatInterval is the mean time between two heartbeats of a gateway; memberTimeout is how long a gateway counts as
	// present after its last heartbeat.
	heartbeatInterval = 10 * time.Second
	memberTimeout     = 32 * time.Second
	// restoredSpread is the time over which all gateways write their objects again after a restore of the store.
	restoredSpread = time.Second
	// membersListInterval is the mean time between two lists of the gateways. With a watch, each heartbeat would wake all
	// gateways.
	membersListInterval = 4 * time.Second
	// memberRetention is how long the object of a gateway without heartbeats is kept; markRetention is how long a mark is kept
	// after its last change, crashRetention how long a crash is.
	memberRetention = time.Minute
	markRetention   = 15 * time.Minute
	crashRetention  = 30 * time.Minute
	// streamsRetention is how long the report of a gateway's streams is kept once the gateway is absent: for as long as a stream may be taken up,
	// and for as long as another gateway may count it as present.
	streamsRetention = builds.MaxTakeUpTime + memberTimeout
)

// Mark is the shared object that records which endpoints a request crashed. Gateways of earlier versions write no Crashes.
type Mark quarantine.Evidence

// Lease is the object that records which gateway may send orders to endpoints.
type Lease struct {
	// Holder is the gateway that holds the lease, empty while none needs it; Last is the most recent holder.
	Holder string
	Last   string
	// Token is the fencing token. It increases each time the lease is acquired.
	Token uint64
	// Renewal increases with each write of the lease, so that other gateways can see that its holder is active.
	Renewal uint64
	// Ordered lists the endpoints that were sent an order within the lease time or may be sent one.
	Ordered []string
	// OrderedBy and OrderedMs state, for each endpoint of Ordered, which gateway sent the order or may send one, and how long before this
	// write it sent the last one, in milliseconds. OrderOpen stands for an endpoint that the holder may order until the lease expires.
	// If their length differs from that of Ordered, all orders count as open and as those of another gateway.
	OrderedBy []string `json:",omitempty"`
	OrderedMs []int64  `json:",omitempty"`
	// Era is the era of the store in which the lease was acquired, and UnknownMs for how long after this write any endpoint may have an order
	// from a holder that a restored store no longer knows, in milliseconds.
	Era       uint64 `json:",omitempty"`
	UnknownMs int64  `json:",omitempty"`
}

// OrderOpen stands in Lease.OrderedMs for an endpoint that may be sent orders until the lease expires.
const OrderOpen = -1

// Updating is the shared object that lists the endpoints that are about to change or are changing their weights. It is separate
// from the lease because all gateways watch it and the lease changes often.
type Updating struct {
	// Token is the fencing token of the lease holder that wrote the object. An object with a lower token than one seen before
	// is ignored.
	Token     uint64
	Endpoints []string
}

// UpdatingName returns the name of the Updating object.
func UpdatingName() string { return updatingName }

func (r *Registry) applyShared(changes []Change[json.RawMessage]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	// A plan of builds counts only with the reports that were stored before it, so that it comes last: others use the book meanwhile.
	for _, c := range changes {
		if c.Name != buildPlanName {
			r.applySharedChange(c, now)
		}
	}
	for _, c := range changes {
		if c.Name == buildPlanName {
			r.applySharedChange(c, now)
		}
	}
	// Reports on rollouts change often and are not in the snapshot.
	if slices.ContainsFunc(changes, func(c Change[json.RawMessage]) bool { return !strings.HasPrefix(c.Name, rolloutCountsPrefix) }) {
		r.publish()
	}
}

// applySharedChange applies a change of a shared object. The caller must hold mu.
func (r *Registry) applySharedChange(c Change[json.RawMessage], now time.Time) {
	known, ok := r.sharedChanges[c.Name]
	if c.Copied && ok && !r.isLaterPlan(c) {
		r.queueRewrite(c, known)
		if c.Name == StreamsName(r.Name) && r.Builds != nil {
			r.Builds.Outdated()
		}
		return
	}
	r.sharedChanges[c.Name] = observedChange{at: now, revision: c.Revision, value: c.Value}
	if c.Removed {
		delete(r.sharedChanges, c.Name)
	}
	var err error
	switch {
	case strings.HasPrefix(c.Name, markPrefix):
		err = r.applyMark(c)
	case strings.HasPrefix(c.Name, crashPrefix):
		err = r.applyCrash(c)
	case c.Name == updatingName:
		err = r.applyUpdating(c)
	case c.Name == buildPlanName:
		err = r.applyBuildPlan(c, now)
	case strings.HasPrefix(c.Name, streamsPrefix):
		err = r.applyStreams(c, now)
	case strings.HasPrefix(c.Name, rolloutPrefix):
		err = r.applyRolloutState(c, now)
	case strings.HasPrefix(c.Name, rolloutCountsPrefix):
		err = r.applyRolloutCounts(c, now)
	}
	if c.Removed {
		err = nil
	}
	r.unreadableShared.observe(r.Log, "Shared", c.Name, c.Revision, err)
	if err != nil {
		// What was known stays in force, and is what is written again after a restore.
		r.sharedChanges[c.Name] = observedChange{at: now, revision: c.Revision, value: known.value}
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
		marks[fingerprint] = quarantine.Evidence(m)
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
	if Era(u.Token) > Era(c.Revision) {
		return errors.Newf("token %d in era %d", u.Token, Era(c.Revision))
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

// maxMarkAttempts limits the attempts to write a mark, since several gateways may write it concurrently.
const maxMarkAttempts = 4

// RecordCrash adds evidence to the shared Mark object of the request with a fingerprint, so that all gateways know it.
func (r *Registry) RecordCrash(ctx context.Context, fingerprint uint64, e quarantine.Evidence) (err error) {
	return r.updateMark(ctx, fingerprint, func(m quarantine.Evidence) quarantine.Evidence { return m.Merge(e) })
}

// ClearCrash removes the Mark object of the request with a fingerprint, unless it holds more than the evidence.
func (r *Registry) ClearCrash(ctx context.Context, fingerprint uint64, e quarantine.Evidence) (err error) {
	return r.updateMark(ctx, fingerprint, func(m quarantine.Evidence) quarantine.Evidence {
		if m.Within(e) {
			return quarantine.Evidence{}
		}
		return m
	})
}

// updateMark changes the Mark object of the request with a fingerprint, and removes it if nothing is left.
func (r *Registry) updateMark(ctx context.Context, fingerprint uint64, change func(quarantine.Evidence) quarantine.Evidence) (err error) {
	defer func() { err = errors.Wrapf(err, "mark of request %016x", fingerprint) }()
	name := fmt.Sprintf("%s%016x", markPrefix, fingerprint)
	for range maxMarkAttempts {
		var m quarantine.Evidence
		value, revision, getErr := r.Shared.Get(ctx, name)
		switch {
		case errors.Is(getErr, platform.ErrNotFound):
		case getErr != nil:
			return getErr
		default:
			if json.Unmarshal(value, &m) != nil {
				// Another writer replaced the object; what is known from before is written again.
				m = r.Current().Marks[fingerprint]
			}
		}
		changed := change(m)
		switch {
		case changed.Within(m) && m.Within(changed) && changed.Count() == m.Count():
			return nil
		case changed.Count() == 0:
			err = r.Shared.Delete(ctx, name, revision)
		default:
			_, err = r.Shared.Put(ctx, name, revision, Mark(changed))
		}
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return err
}

// observedChange is a change of a shared object: when this gateway saw it, the revision after it, and the last value that could be decoded,
// nil if there was none.
type observedChange struct {
	at       time.Time
	revision uint64
	value    json.RawMessage
}

// deleteObsolete deletes members and marks that are past their retention time, since the store itself never expires them.
// Each object is deleted by the leader of its name.
func (r *Registry) deleteObsolete(ctx context.Context, now time.Time) {
	members, marks := r.obsolete(now)
	r.deleteAll(ctx, r.Members, members)
	r.deleteAll(ctx, r.Shared, marks)
}

// deleteAll deletes those of the objects for whose names this gateway is the leader. revisions maps each name to the revision
// of the object.
func (r *Registry) deleteAll(ctx context.Context, objects Objects, revisions map[string]uint64) {
	for name, revision := range revisions {
		if !r.IsLeader(name) {
			continue
		}
		if err := objects.Delete(ctx, name, revision); err != nil && ctx.Err() == nil {
			event.Info(r.Log, event.StoreWriteFailed, "name", name, "reason", err.Error())
		}
	}
}

// obsolete returns the objects of the gateways without heartbeats, the reports of those whose streams are past, and the old marks and crashes,
// as maps from name to revision. It returns none shortly after a failed call, since heartbeats and changes may have been missed.
func (r *Registry) obsolete(now time.Time) (members, marks map[string]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	members, marks = map[string]uint64{}, map[string]uint64{}
	if now.Sub(r.sharedFollower.lastFailure()) < memberRetention || now.Sub(r.membersFailedAt) < memberRetention {
		return members, marks
	}
	for name, m := range r.members {
		if name != r.Name && now.Sub(m.lastSeen) > memberRetention {
			members[name] = m.revision
		}
	}
	for name, change := range r.sharedChanges {
		if gateway, ok := strings.CutPrefix(name, streamsPrefix); ok {
			if r.isPast(gateway, change.at, now) {
				marks[name] = change.revision
			}
			continue
		}
		if gateway, ok := strings.CutPrefix(name, rolloutCountsPrefix); ok && r.countsForActive(gateway) {
			continue
		}
		if retention := sharedRetention(name); retention > 0 && now.Sub(change.at) > retention {
			marks[name] = change.revision
		}
	}
	return members, marks
}

// sharedRetention returns how long a shared object is kept after its last change, or 0 if it is kept for ever. A report of streams is kept for so
// long after its gateway was last present.
func sharedRetention(name string) time.Duration {
	switch {
	case strings.HasPrefix(name, markPrefix):
		return markRetention
	case strings.HasPrefix(name, crashPrefix):
		return crashRetention
	case strings.HasPrefix(name, streamsPrefix):
		return streamsRetention
	case strings.HasPrefix(name, rolloutCountsPrefix):
		return memberRetention
	}
	return 0
}
