package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	// minBad is the number of failed or slow answers below which nothing is concluded. A bad target may give 50 bad answers before the time
	// for the roll-back begins; a tenth of them leaves room for what gateways have not reported yet.
	minBad = 4
	// minSlow is minBad for slow answers, of which sound targets have some, too.
	minSlow = 5
	// minOld is the number of answers of the old builds below which their own share of failures is assumed to be maxOldFailures.
	minOld         = 20
	maxOldFailures = 0.1
	// leastFailures is the share of failures and leastSlow that of slow answers that a sound target may have.
	leastFailures = 0.003
	leastSlow     = 0.02
	// deviations is by how many standard deviations the bad answers must exceed what is expected.
	deviations = 3
	// slowFactor is how many buckets later than the old builds an answer counts as slow: two are twice the time, and a bucket may be a third
	// wide. Callers notice several times.
	slowFactor = 3
	// minSlowBucket begins at 4 ms: shorter answers are not slow, whatever the old builds take.
	minSlowBucket = 6
	// routeAnswers is the number of answers of the target on a route, and leastAnswers to totalAnswers that on all, from which on they are
	// sufficient. With leastAnswers a target of which a quarter is bad shows minBad bad ones in most cases.
	routeAnswers = 12
	leastAnswers = 25
	totalAnswers = 80
)

// regression returns why the target is worse than the old builds on the routes of all reports, empty if it is not known to be.
func regression(routes map[string]*RouteCounts) string {
	total := &RouteCounts{}
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		c := routes[name]
		if reason := c.regression(); reason != "" {
			return fmt.Sprintf("route %s: %s", name, reason)
		}
		total.Target.add(&c.Target)
		total.Old.add(&c.Old)
	}
	return total.failureRegression()
}

func (c *RouteCounts) regression() string {
	if reason := c.failureRegression(); reason != "" {
		return reason
	}
	if reason := slower("first piece", &c.Target.First, &c.Old.First); reason != "" {
		return reason
	}
	return slower("pace", &c.Target.Pace, &c.Old.Pace)
}

func (c *RouteCounts) failureRegression() string {
	expected := leastFailures
	switch {
	case c.Old.Requests >= minOld:
		expected = max(expected, float64(c.Old.Failures)/float64(c.Old.Requests))
	case c.Old.Failures > 0:
		expected = maxOldFailures
	}
	if exceeds(c.Target.Failures, c.Target.Requests, expected, minBad) {
		return fmt.Sprintf("%d of %d failed, of the old builds %d of %d", c.Target.Failures, c.Target.Requests, c.Old.Failures, c.Old.Requests)
	}
	return ""
}

// slower returns why times of the target are longer than those of the old builds, empty if they are not known to be. It compares the share of
// answers that take longer than most of the old builds, and the medians, since times of prompts differ.
func slower(what string, target, old *Histogram) string {
	m, n := target.count(), old.count()
	if n < minOld {
		return ""
	}
	limit := max(minSlowBucket, old.quantile(0.9)+slowFactor-1)
	expected := max(leastSlow, float64(old.above(limit))/float64(n))
	if slow := target.above(limit); exceeds(slow, m, expected, minSlow) {
		return fmt.Sprintf("%s: %d of %d are slow, of the old builds %d of %d", what, slow, m, old.above(limit), n)
	}
	limit = max(minSlowBucket, old.quantile(0.5)+slowFactor-1)
	if m >= minOld && target.quantile(0.4) > limit {
		return fmt.Sprintf("%s: six in ten of %d are slow, of the old builds %d of %d", what, m, old.above(limit), n)
	}
	return ""
}

// exceeds reports whether bad of n are more than chance explains if the expected share is bad.
func exceeds(bad, n uint64, expected float64, least uint64) bool {
	mean := expected * float64(n)
	return bad >= least && float64(bad) > mean+deviations*math.Sqrt(mean)+1
}

// lacking returns how many answers of the target are missing on each route that needs more, and how many are missing in all, from
// whatever routes. limit is the bound on exposure, of which a quarter is used for them.
func lacking(routes map[string]*RouteCounts, limit float64) (scarce map[string]uint64, missing uint64) {
	var target uint64
	scarce = map[string]uint64{}
	for name, c := range routes {
		target += c.Target.Requests
		want := min(routeAnswers, max(1, c.Old.Requests/8))
		if c.Old.Requests+c.Target.Requests >= 5 && c.Target.Requests < want {
			scarce[name] = want - c.Target.Requests
		}
	}
	if want := min(totalAnswers, max(leastAnswers, uint64(limit/4))); target < want {
		missing = want - target
	}
	return scarce, missing
}
