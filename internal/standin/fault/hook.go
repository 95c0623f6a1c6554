package fault

import (
	"context"
	"slices"
	"sync"
	"time"
)

// maxRules bounds the active rules, so that a test that sets rules in a loop fails early.
const maxRules = 1000

// Hook applies rules to the requests of one stand-in. Its zero value has no rules. It is safe for concurrent use.
type Hook struct {
	mu     sync.Mutex
	lastID int
	rules  []*activeRule
}

type activeRule struct {
	Rule                // Skip and Count are decremented
	ended chan struct{} // closed when the rule is cleared
}

// Set adds a rule and returns its ID. It panics if maxRules rules are already active.
func (h *Hook) Set(r Rule) (id int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.rules) >= maxRules {
		panic("fault: too many rules")
	}
	h.lastID++
	r.ID = h.lastID
	h.rules = append(h.rules, &activeRule{Rule: r, ended: make(chan struct{})})
	return r.ID
}

// Clear ends an active rule. The requests that it blocks continue at once. A Delay rule whose Count is used up is no longer
// active, so Clear does not shorten the delays that it has begun.
func (h *Hook) Clear(id int) { h.end(func(r Rule) bool { return r.ID == id }) }

// ClearAll ends all rules, as Clear does.
func (h *Hook) ClearAll() { h.end(func(Rule) bool { return true }) }

// end ends the rules for which match returns true.
func (h *Hook) end(match func(Rule) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rules = slices.DeleteFunc(h.rules, func(a *activeRule) bool {
		if !match(a.Rule) {
			return false
		}
		close(a.ended)
		return true
	})
}

// Rules returns the active rules, with the remaining values of Skip and Count. A pause whose Count is used up has
// Count -1 until it is cleared.
func (h *Hook) Rules() (rules []Rule) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.rules {
		rules = append(rules, a.Rule)
	}
	return rules
}

// Active reports whether a rule of the kind whose Skip is used up matches the request now. It does not count the request.
// A stand-in calls it before it responds to a request that has been waiting.
func (h *Hook) Active(kind Kind, method, path string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.rules, func(a *activeRule) bool {
		return a.Kind == kind && a.Skip == 0 && a.matches(method, path)
	})
}

// Before counts a request and returns the rule that applies to it, or a rule of kind None. For Delay and Pause it blocks
// until the delay is over or the rule ends. If ctx is done earlier, the error is that of ctx and the request must have no
// effect.
func (h *Hook) Before(ctx context.Context, method, path string) (Rule, error) {
	a := h.ruleFor(method, path)
	if a == nil {
		return Rule{}, nil
	}
	var expired <-chan time.Time
	switch a.Kind {
	case Delay:
		timer := time.NewTimer(a.Rule.Delay)
		defer timer.Stop()
		expired = timer.C
	case Pause:
	default:
		return a.Rule, nil
	}
	select {
	case <-expired:
	case <-a.ended:
	case <-ctx.Done():
		return a.Rule, ctx.Err()
	}
	return a.Rule, nil
}

// ruleFor counts a request and returns a copy of the rule that applies to it, or nil. A rule is removed when its Count is
// used up, except for a pause, which stays in the list until it is cleared, since Clear releases the blocked requests only
// of rules in the list.
func (h *Hook) ruleFor(method, path string) *activeRule {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, a := range h.rules {
		if !a.matches(method, path) || a.Count < 0 {
			continue
		}
		if a.Skip > 0 {
			a.Skip--
			continue
		}
		applied := *a
		if a.Count > 0 {
			a.Count--
			if a.Count == 0 {
				if a.Kind == Pause {
					a.Count = -1
				} else {
					h.rules = slices.Delete(h.rules, i, i+1)
				}
			}
		}
		return &applied
	}
	return nil
}
