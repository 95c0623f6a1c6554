package fault

import (
	"context"
	"slices"
	"sync"
	"time"
)

// maxRules bounds the rules in force, so that a test that sets rules in a loop fails early.
const maxRules = 1000

// Hook holds the rules of one stand-in. Its zero value lets everything through. It is safe for concurrent use.
type Hook struct {
	mu     sync.Mutex
	lastID int
	rules  []*active
}

type active struct {
	Rule
	ended chan struct{}
}

// Set adds a rule and returns its number.
func (h *Hook) Set(r Rule) (id int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.rules) >= maxRules {
		panic("fault: too many rules")
	}
	h.lastID++
	r.ID = h.lastID
	h.rules = append(h.rules, &active{Rule: r, ended: make(chan struct{})})
	return r.ID
}

// Clear ends a rule. Requests that it holds go on.
func (h *Hook) Clear(id int) { h.end(func(r Rule) bool { return r.ID == id }) }

// ClearAll ends all rules.
func (h *Hook) ClearAll() { h.end(func(Rule) bool { return true }) }

func (h *Hook) end(ends func(Rule) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rules = slices.DeleteFunc(h.rules, func(a *active) bool {
		if !ends(a.Rule) {
			return false
		}
		close(a.ended)
		return true
	})
}

// Rules returns the rules in force with the counts that remain.
func (h *Hook) Rules() (rules []Rule) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.rules {
		rules = append(rules, a.Rule)
	}
	return rules
}

// Active tells whether a rule of the kind matches the request now. It counts nothing. A stand-in asks it before it
// answers a request that waited.
func (h *Hook) Active(kind Kind, method, path string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.rules, func(a *active) bool {
		return a.Kind == kind && a.Skip == 0 && a.matches(method, path)
	})
}

// Before counts a request and returns the rule that applies to it, of kind None if none does. It returns after the
// time that Delay or Pause hold the request. If ctx is done earlier, the error is that of ctx and the request must
// have no effect.
func (h *Hook) Before(ctx context.Context, method, path string) (Rule, error) {
	a := h.take(method, path)
	if a == nil {
		return Rule{}, nil
	}
	var held <-chan time.Time
	switch a.Kind {
	case Delay:
		timer := time.NewTimer(a.Rule.Delay)
		defer timer.Stop()
		held = timer.C
	case Pause:
	default:
		return a.Rule, nil
	}
	select {
	case <-held:
	case <-a.ended:
	case <-ctx.Done():
		return a.Rule, ctx.Err()
	}
	return a.Rule, nil
}

// take finds the rule for a request and counts the request. A rule that only holds requests stays in the list until it
// is cleared, since its end releases them.
func (h *Hook) take(method, path string) *active {
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
		taken := *a
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
		return &taken
	}
	return nil
}
