package registry

import (
	"encoding/json"
	"reflect"
	"strings"
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/builds"
)

// BuildPlanName returns the name of the shared object with the plan of builds.
func BuildPlanName() string { return buildPlanName }

// StreamsName returns the name of the shared object in which a gateway reports the builds of its streams.
func StreamsName(gateway string) string { return streamsPrefix + gateway }

func decodeBuildPlan(value json.RawMessage) (p *builds.Plan, err error) {
	p = &builds.Plan{}
	if err = json.Unmarshal(value, p); err != nil {
		return nil, err
	}
	return p, p.Validate()
}

func (r *Registry) applyBuildPlan(c Change[json.RawMessage], now time.Time) error {
	if r.Builds == nil || c.Removed {
		return nil
	}
	p, err := decodeBuildPlan(c.Value)
	if err != nil {
		return err
	}
	known := r.Builds.Plan()
	switch {
	case r.Builds.SetPlan(now, p):
		for service, a := range p.Services {
			event.Info(r.Log, event.BuildPlanApplied, "number", p.Number, "service", service, "builds", a.Builds, "shares", a.Shares(),
				"revision", c.Revision)
		}
	case p.Number < known.Number || !reflect.DeepEqual(p, known):
		// A restored store lost the known plan, and another one was written since.
		r.Builds.Dispute()
	}
	return nil
}

// isLaterPlan reports whether a change read from a restored store is a later plan of builds than the known one.
func (r *Registry) isLaterPlan(c Change[json.RawMessage]) bool {
	if r.Builds == nil || c.Name != buildPlanName || c.Removed {
		return false
	}
	p, err := decodeBuildPlan(c.Value)
	known := r.Builds.Plan()
	return err == nil && (known == nil || p.Number > known.Number)
}

// applyStreams applies the report of another gateway.
func (r *Registry) applyStreams(c Change[json.RawMessage], now time.Time) error {
	name := strings.TrimPrefix(c.Name, streamsPrefix)
	switch {
	case r.Builds == nil:
		return nil
	case name == r.Name:
		return r.applyOwnStreams(c)
	case c.Removed:
		r.Builds.Removed(now, name)
		return nil
	}
	report := &builds.Report{}
	if err := json.Unmarshal(c.Value, report); err != nil {
		return err
	}
	r.Builds.Heard(now, name, report)
	return nil
}

// applyOwnStreams makes a report due if the store has lost this gateway's, or has one from before a restore.
func (r *Registry) applyOwnStreams(c Change[json.RawMessage]) error {
	if c.Removed {
		r.Builds.Unstored()
		return nil
	}
	report := &builds.Report{}
	if err := json.Unmarshal(c.Value, report); err != nil {
		r.Builds.Outdated()
		return err
	}
	if Era(c.Revision) > report.Era {
		r.Builds.Outdated()
	}
	return nil
}

// updateAbsent records since when the gateways that have a report of their streams are absent from the lists. The caller must hold mu.
func (r *Registry) updateAbsent(listed map[string]bool, now time.Time) {
	absent := map[string]time.Time{}
	for name := range r.sharedChanges {
		gateway, ok := strings.CutPrefix(name, streamsPrefix)
		if _, member := r.members[gateway]; !ok || member || listed[gateway] || gateway == r.Name {
			continue
		}
		if absent[gateway] = now; !r.absentSince[gateway].IsZero() {
			absent[gateway] = r.absentSince[gateway]
		}
	}
	r.absentSince = absent
}

// isPast reports whether none of a gateway's streams can be taken up any more, so that its report, which was seen to change at reportedAt, tells
// nothing. Only a list shows that a gateway is absent: this one may itself have stood still. The caller must hold mu.
func (r *Registry) isPast(gateway string, reportedAt, now time.Time) bool {
	since, absent := r.absentSince[gateway]
	if !absent || r.membersAskedAt.Sub(since) <= streamsRetention || r.membersAskedAt.Sub(reportedAt) <= streamsRetention {
		return false
	}
	return r.Builds == nil || r.Builds.IsPast(now, gateway)
}
