package builds

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Buckets is the number of parts of equal size into which a plan divides the streams of a service.
const Buckets = 64

// Bounds of a plan that is read from elsewhere.
const (
	maxServices = 4096
	maxBuilds   = Buckets
)

// tolerance is the number of buckets by which a build may have more or less than its share before streams are moved.
const tolerance = 4

// Plan assigns the streams of services to builds. It must not be modified once it is in use.
type Plan struct {
	// Number increases with each change of the plan.
	Number   uint64
	Services map[string]*Assignment
	// Cumulative is set if no service that an earlier plan covered is missing.
	Cumulative bool `json:",omitempty"`
}

// Assignment assigns the streams of one service to builds.
type Assignment struct {
	Builds []string
	// Owners has for each bucket the index of its build in Builds, and Moved the number of the plan that assigned the bucket to this build.
	Owners []int
	Moved  []uint64
	// Since is the number of the first plan that covered the service, 0 if that is not known.
	Since uint64 `json:",omitempty"`
}

// Revision returns the number of the plan, 0 for a nil plan.
func (p *Plan) Revision() uint64 {
	if p == nil {
		return 0
	}
	return p.Number
}

// Shares returns the number of buckets of each build, in the order of Builds.
func (a *Assignment) Shares() []int {
	shares := make([]int, len(a.Builds))
	for _, owner := range a.Owners {
		shares[owner]++
	}
	return shares
}

// Validate returns an error unless each assignment of the plan is complete.
func (p *Plan) Validate() error {
	if len(p.Services) > maxServices {
		return errors.Newf("plan of %d services: at most %d are allowed", len(p.Services), maxServices)
	}
	for service, a := range p.Services {
		if a == nil || len(a.Builds) == 0 || len(a.Builds) > maxBuilds || len(a.Owners) != Buckets || len(a.Moved) != Buckets {
			return errors.Newf("service %q: assignment is incomplete", service)
		}
		for bucket, owner := range a.Owners {
			if owner < 0 || owner >= len(a.Builds) || a.Moved[bucket] > p.Number {
				return errors.Newf("service %q: bucket %d is invalid", service, bucket)
			}
		}
	}
	return nil
}

// bucketOf returns the bucket of a key.
func bucketOf(key uint64) int { return int(key % Buckets) }

// isFirst reports whether the plan of the given number, which moved a bucket of a service to its build, was the first one that covered the service.
// The streams of the bucket that began before it began without a plan.
func (p *Plan) isFirst(service string, moved uint64) bool {
	return p != nil && p.Services[service] != nil && moved > 0 && p.Services[service].Since == moved
}

// build returns the build to which a plan assigns a key, and the number of the plan that did so. A nil plan has no services.
func (p *Plan) build(service string, key uint64) (build string, moved uint64, ok bool) {
	if p == nil || p.Services[service] == nil {
		return "", 0, false
	}
	a := p.Services[service]
	bucket := bucketOf(key)
	return a.Builds[a.Owners[bucket]], a.Moved[bucket], true
}

// isUniform reports whether a plan assigns all streams of a service to one build.
func (p *Plan) isUniform(service string) bool {
	return p != nil && p.Services[service] != nil && len(p.Services[service].Builds) == 1
}

// Supply is the capacity of each build of each service, in any unit, and 0 for a build that takes no new streams.
type Supply map[string]map[string]float64

// Next returns the plan that follows p, nil for none, for a supply. It moves as few buckets as needed. changed is false if p may stay;
// urgent is true if the change can't wait, since streams are assigned to a build that takes no more.
func Next(p *Plan, supply Supply) (next *Plan, changed, urgent bool) {
	next = &Plan{Number: 1, Services: map[string]*Assignment{}, Cumulative: true}
	if p != nil {
		next.Number, next.Cumulative = p.Number+1, p.Cumulative
		next.Services = maps.Clone(p.Services)
	}
	for service := range next.Services {
		if _, ok := supply[service]; !ok {
			delete(next.Services, service)
			changed, next.Cumulative = true, false
		}
	}
	for service, capacities := range supply {
		before := next.Services[service]
		after, lacking := rebalance(before, capacities, next.Number)
		if after != before {
			switch {
			case before != nil:
				after.Since = before.Since
			case next.Cumulative:
				after.Since = next.Number
			}
			next.Services[service] = after
			changed, urgent = true, urgent || lacking
		}
	}
	return next, changed, urgent
}

// Reissue returns a plan with another number for which all buckets count as moved, since it replaces plans of which it does not follow.
func Reissue(p *Plan, number uint64) *Plan {
	next := &Plan{Number: number, Services: make(map[string]*Assignment, len(p.Services))}
	for service, a := range p.Services {
		moved := make([]uint64, len(a.Moved))
		for i := range moved {
			moved[i] = number
		}
		next.Services[service] = &Assignment{Builds: a.Builds, Owners: a.Owners, Moved: moved}
	}
	return next
}

// rebalance returns the assignment for the capacities of builds, or before if that may stay. lacking is true if a bucket had no build that
// takes streams.
func rebalance(before *Assignment, capacities map[string]float64, number uint64) (after *Assignment, lacking bool) {
	targets := shares(capacities)
	if len(targets) == 0 {
		return before, false
	}
	owners := make([]string, Buckets)
	moved := make([]uint64, Buckets)
	counts := map[string]int{}
	if before != nil {
		for bucket, owner := range before.Owners {
			owners[bucket], moved[bucket] = before.Builds[owner], before.Moved[bucket]
			counts[owners[bucket]]++
		}
	}
	unbalanced := before == nil
	for build, target := range targets {
		unbalanced = unbalanced || target-counts[build] > tolerance || counts[build]-target > tolerance || (target > 0 && counts[build] == 0)
	}
	for build := range counts {
		lacking = lacking || targets[build] == 0
	}
	if !unbalanced && !lacking {
		return before, false
	}
	names := slices.Sorted(maps.Keys(targets))
	for bucket, owner := range owners {
		if before != nil && counts[owner] <= targets[owner] {
			continue
		}
		for _, build := range names {
			if counts[build] < targets[build] {
				owners[bucket], moved[bucket] = build, number
				counts[owner]--
				counts[build]++
				break
			}
		}
	}
	return newAssignment(owners, moved), lacking || before == nil
}

func newAssignment(owners []string, moved []uint64) *Assignment {
	a := &Assignment{Moved: moved}
	for _, build := range owners {
		index := slices.Index(a.Builds, build)
		if index < 0 {
			index = len(a.Builds)
			a.Builds = append(a.Builds, build)
		}
		a.Owners = append(a.Owners, index)
	}
	return a
}

// shares returns the number of buckets of each build in proportion to its capacity, by the method of largest remainders. Builds without
// capacity are left out.
func shares(capacities map[string]float64) map[string]int {
	sum := 0.0
	names := make([]string, 0, len(capacities))
	for build, capacity := range capacities {
		if capacity > 0 {
			names = append(names, build)
			sum += capacity
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(capacities[b], capacities[a]), cmp.Compare(a, b))
	})
	names = names[:min(len(names), maxBuilds)]
	if len(names) == 0 {
		return nil
	}
	targets := make(map[string]int, len(names))
	remainders := make(map[string]float64, len(names))
	left := Buckets
	for _, build := range names {
		exact := capacities[build] / sum * Buckets
		targets[build] = int(exact)
		remainders[build] = exact - float64(targets[build])
		left -= targets[build]
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(remainders[b], remainders[a]) })
	for i := range left {
		targets[names[i%len(names)]]++
	}
	return targets
}
