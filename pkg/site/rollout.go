package site

import (
	"time"

	"primrosecourse/pkg/rollout"
)

// RolloutState is the state of a rollout that the platform records.
type RolloutState uint8

// The states of a rollout.
const (
	// RolloutActive means that the rollout is not decided.
	RolloutActive RolloutState = iota
	// RolloutCompleted means that the target has taken over, so that the old endpoints stop.
	RolloutCompleted
	// RolloutRolledBack means that the target gets no requests.
	RolloutRolledBack
)

// Rollout is an operator's order to move the traffic of a service to endpoints of the build Target.
type Rollout struct {
	// Name is the name of its object, which is that of the service unless the object says otherwise.
	Name    string
	Service string
	Target  string
	// Duration is the time from the order until which it is to be decided.
	Duration time.Duration
	// Created identifies the object among those with its name.
	Created uint64
	// State is what the platform records of this target; Recorded is false if it records nothing yet.
	State    RolloutState
	Recorded bool
	// Revision is the store revision of the object.
	Revision uint64
}

// Order returns the order of a rollout.
func (r *Rollout) Order() rollout.Order {
	return rollout.Order{Service: r.Service, Target: r.Target, Created: r.Created, Duration: r.Duration}
}

// RolloutState returns the state by which requests of a service with a rollout are sent, nil if there is none yet. What the platform records
// as decided is final.
func (s *Snapshot) RolloutState(r *Rollout) *rollout.State {
	state := s.RolloutStates[r.Service]
	if !state.IsOf(r.Order()) {
		state = nil
	}
	switch {
	case r.State == RolloutCompleted && (state == nil || state.Stage != rollout.Committed):
		return &rollout.State{Target: r.Target, Created: r.Created, Stage: rollout.Committed}
	case r.State == RolloutRolledBack && (state == nil || state.Stage != rollout.RolledBack):
		return &rollout.State{Target: r.Target, Created: r.Created, Stage: rollout.RolledBack}
	}
	return state
}

// TargetShare returns the share of new requests that the target of a service's rollout is to get; ok is false if there is no rollout.
func (s *Snapshot) TargetShare(service string) (target string, share float64, ok bool) {
	r := s.Rollouts[service]
	if r == nil {
		return "", 0, false
	}
	state := s.RolloutState(r)
	switch {
	case state == nil || state.Stage == rollout.RolledBack:
		return r.Target, 0, true
	case state.Stage == rollout.Canary:
		return r.Target, state.Mean, true
	}
	return r.Target, 1, true
}
