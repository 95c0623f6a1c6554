package ring

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PointsPerWeight is the number of points of an endpoint of weight 1. The relative standard deviation of the shares of such endpoints is
// 1/sqrt(PointsPerWeight), which is 9 percent; the endpoint with the largest share is the first whose cache overflows. At 8 bytes
// per point, 10,000 endpoints take 10 MB.
const PointsPerWeight = 128

// Domain is a failure domain. Only domains that are ramped up need to be passed to New.
type Domain struct {
	Name string
	// ReturnedAt is when the domain returned to service, zero if it never left.
	ReturnedAt time.Time
	// RampTime is the time from ReturnedAt until the domain takes its full share; 0 for no ramp.
	RampTime time.Duration
}

// Share returns the fraction, from 0 to 1, of the domain's keys that it takes at the given time.
func (d Domain) Share(now time.Time) float64 {
	if d.ReturnedAt.IsZero() || d.RampTime <= 0 {
		return 1
	}
	return min(1, max(0, float64(now.Sub(d.ReturnedAt))/float64(d.RampTime)))
}

// Endpoint is a target for keys.
type Endpoint struct {
	Name          string
	FailureDomain string
	// Weight is the capacity relative to other endpoints. A weight of 0 or less counts as 1.
	Weight float64
}

func (e Endpoint) weight() float64 {
	if e.Weight <= 0 {
		return 1
	}
	return e.Weight
}

// Ring is an immutable set of endpoints with an order of preference for each key.
type Ring struct {
	endpoints []Endpoint
	byName    map[string]int
	circles   []circle
	// circleOf is the index in circles for each endpoint.
	circleOf []int32
}

// New returns a ring of the endpoints. The caller must leave out endpoints that must not get work.
func New(domains []Domain, endpoints []Endpoint) *Ring { return new(Ring).With(domains, endpoints) }

// With returns the ring that New returns. The points of endpoints that r has too are taken from r, and not sorted again: with a few changes among
// 3,000 endpoints that takes a fifteenth of the time.
func (r *Ring) With(domains []Domain, endpoints []Endpoint) *Ring {
	kept := r.keep(endpoints)
	next := &Ring{endpoints: slices.Clone(endpoints), byName: make(map[string]int, len(endpoints))}
	byDomain := make(map[string]int)
	members := make(map[string][]int32)
	for i, e := range next.endpoints {
		next.byName[e.Name] = i
		members[e.FailureDomain] = append(members[e.FailureDomain], int32(i))
	}
	for _, e := range next.endpoints {
		if _, ok := byDomain[e.FailureDomain]; ok {
			continue
		}
		byDomain[e.FailureDomain] = len(next.circles)
		next.circles = append(next.circles, newCircle(e.FailureDomain, next.endpoints, members[e.FailureDomain], kept))
	}
	for _, e := range next.endpoints {
		next.circleOf = append(next.circleOf, int32(byDomain[e.FailureDomain]))
	}
	for _, d := range domains {
		if i, ok := byDomain[d.Name]; ok {
			next.circles[i].domain = d
		}
	}
	return next
}

// Len returns the number of endpoints.
func (r *Ring) Len() int { return len(r.endpoints) }

// Domains returns the number of failure domains that have endpoints.
func (r *Ring) Domains() int { return len(r.circles) }

// Endpoint returns the endpoint with index i, from 0 to Len()-1, in the order given to New.
func (r *Ring) Endpoint(i int) Endpoint { return r.endpoints[i] }

// Find returns the index of the endpoint with the given name.
func (r *Ring) Find(name string) (i int, ok bool) {
	i, ok = r.byName[name]
	return i, ok
}

// Share returns the share, at the given time, of the failure domain of endpoint i, which is below 1 during its ramp.
func (r *Ring) Share(i int, now time.Time) float64 { return r.circles[r.circleOf[i]].domain.Share(now) }

// Append appends the indexes of the first n endpoints for key to dst, or of all endpoints if there are fewer. dst must not contain an
// index of the ring yet. The cost grows with the number of failure domains and with n squared but, as long as n is small, not with
// the number of endpoints. Append allocates only if dst is too short or if the ring has more than 32 domains.
func (r *Ring) Append(dst []int, key uint64, now time.Time, n int) []int {
	var buf [32]cursor
	cursors := buf[:0]
	for i := range r.circles {
		cursors = insert(cursors, r.circles[i].cursor(key, now))
	}
	end := len(dst) + min(n, len(r.endpoints))
	active := 0
	for active < len(cursors) && !cursors[active].excludedByRamp {
		active++
	}
	dst = walk(dst, end, cursors[:active])
	return walk(dst, end, cursors[active:])
}

// First returns the index of the first endpoint for key, or -1 if the ring is empty.
func (r *Ring) First(key uint64, now time.Time) int {
	var buf [1]int
	if got := r.Append(buf[:0], key, now, 1); len(got) > 0 {
		return got[0]
	}
	return -1
}

// walk takes one endpoint of each cursor in turn until dst has the length end or no cursor has an endpoint left.
func walk(dst []int, end int, cursors []cursor) []int {
	for progress := true; progress && len(dst) < end; {
		progress = false
		for i := range cursors {
			c := &cursors[i]
			if c.remaining == 0 || len(dst) == end {
				continue
			}
			dst = c.next(dst)
			progress = true
		}
	}
	return dst
}

// cursor is the position of a walk on the circle of one failure domain.
type cursor struct {
	circle *circle
	// excludedByRamp is true if the domain does not take the key yet, so that it comes after all domains that do.
	excludedByRamp bool
	score          float64
	nextPoint      int
	remaining      int
}

// next appends the next endpoint that is not in dst.
func (c *cursor) next(dst []int) []int {
	for {
		e := int(c.circle.points[c.nextPoint].endpoint)
		c.nextPoint++
		if c.nextPoint == len(c.circle.points) {
			c.nextPoint = 0
		}
		if !slices.Contains(dst, e) {
			c.remaining--
			return append(dst, e)
		}
	}
}

// insert inserts a cursor into the cursors, which are sorted by preference.
func insert(cursors []cursor, c cursor) []cursor {
	cursors = append(cursors, c)
	for i := len(cursors) - 1; i > 0 && precedes(&cursors[i], &cursors[i-1]); i-- {
		cursors[i], cursors[i-1] = cursors[i-1], cursors[i]
	}
	return cursors
}

func precedes(a, b *cursor) bool {
	if a.excludedByRamp != b.excludedByRamp {
		return b.excludedByRamp
	}
	if a.score != b.score {
		return a.score < b.score
	}
	return a.circle.hash < b.circle.hash
}

// circle holds the points of the endpoints of one failure domain.
type circle struct {
	domain   Domain
	hash     uint64
	capacity float64
	members  int
	points   []point
	// index[b] is the index of the first point whose leading position bits are at least b, or len(points). With it, the search for a
	// position takes constant time on average.
	index []int32
	// indexShift is the number of trailing position bits that the index ignores: the entry for position p is index[p>>indexShift].
	indexShift uint
}

type point struct {
	position uint32
	endpoint int32
}

// keptPoints are the points of the endpoints that a ring shares with its predecessor.
type keptPoints struct {
	// byDomain has them in order, with the indexes of the new ring.
	byDomain map[string][]point
	// has reports for each endpoint of the new ring whether its points are there.
	has []bool
}

// keep returns the points of the endpoints that r has too, with the same failure domain and weight.
func (r *Ring) keep(endpoints []Endpoint) keptPoints {
	kept := keptPoints{byDomain: make(map[string][]point, len(r.circles)), has: make([]bool, len(endpoints))}
	const dropped = -1
	next := make([]int32, len(r.endpoints))
	for i := range next {
		next[i] = dropped
	}
	for i, e := range endpoints {
		if old, ok := r.byName[e.Name]; ok && r.endpoints[old] == e && next[old] == dropped {
			next[old], kept.has[i] = int32(i), true
		}
	}
	for _, c := range r.circles {
		points := make([]point, 0, len(c.points))
		for _, p := range c.points {
			if p.endpoint = next[p.endpoint]; p.endpoint != dropped {
				points = append(points, p)
			}
		}
		kept.byDomain[c.domain.Name] = points
	}
	return kept
}

func newCircle(name string, endpoints []Endpoint, members []int32, kept keptPoints) circle {
	c := circle{domain: Domain{Name: name}, hash: xxhash.Sum64String(name), members: len(members)}
	var added []point
	for _, m := range members {
		e := endpoints[m]
		c.capacity += e.weight()
		if kept.has[m] {
			continue
		}
		h := xxhash.Sum64String(e.Name)
		for i := range max(1, int(math.Round(PointsPerWeight*e.weight()))) {
			added = append(added, point{uint32(mix(h+uint64(i)*golden) >> 32), m})
		}
	}
	order := func(a, b point) int {
		if a.position != b.position {
			return compare(a.position, b.position)
		}
		// Points at equal positions are ordered by name, since their indexes may differ between processes.
		return compare(endpoints[a.endpoint].Name, endpoints[b.endpoint].Name)
	}
	slices.SortFunc(added, order)
	c.points = merge(kept.byDomain[name], added, order)
	// On average, two to four points share an index entry; they fit in one cache line.
	width := uint(max(1, bits.Len(uint(len(c.points)))-2))
	c.indexShift = 32 - width
	c.index = make([]int32, 1<<width)
	first := 0
	for b := range c.index {
		for first < len(c.points) && c.points[first].position>>c.indexShift < uint32(b) {
			first++
		}
		c.index[b] = int32(first)
	}
	return c
}

// merge merges two sorted lists, which it may return or change.
func merge(a, b []point, order func(a, b point) int) []point {
	if len(a) == 0 {
		return b
	}
	if len(b) == 0 {
		return a
	}
	merged := make([]point, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if order(a[0], b[0]) <= 0 {
			merged, a = append(merged, a[0]), a[1:]
		} else {
			merged, b = append(merged, b[0]), b[1:]
		}
	}
	return append(append(merged, a...), b...)
}

func compare[T uint32 | string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (c *circle) cursor(key uint64, now time.Time) cursor {
	h := mix(key ^ c.hash)
	position := uint32(h)
	start := int(c.index[position>>c.indexShift])
	for start < len(c.points) && c.points[start].position < position {
		start++
	}
	if start == len(c.points) {
		start = 0
	}
	share := c.domain.Share(now)
	return cursor{
		circle:         c,
		excludedByRamp: share < 1 && unit(mix(h^rampSalt)) > share,
		score:          -math.Log(unit(mix(h^orderSalt))) / c.capacity,
		nextPoint:      start,
		remaining:      c.members,
	}
}

// golden is 2^64 divided by the golden ratio; its multiples are spread evenly before they are mixed.
const golden = 0x9e3779b97f4a7c15

// The salts make the order of domains and the choice of ramped keys independent of the position on the circle.
const (
	orderSalt = 0xd1b54a32d192ed03
	rampSalt  = 0x8cb92ba72f3d8dd7
)

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps x to the interval (0, 1].
func unit(x uint64) float64 { return (float64(x>>11) + 1) / (1 << 53) }
