package rollout

import (
	"encoding/json"
	"math/bits"
	"time"

	"github.com/cockroachdb/errors"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Stage -output=stage_string.go

// Stage is the stage of an order. Its numbers are stored.
type Stage uint8

// The stages of an order.
const (
	// Canary means that a small share of the requests goes to the target.
	Canary Stage = iota
	// Shift means that all new requests go to the target, as far as the allowances suffice.
	Shift
	// Committed means that the order is to be completed: nothing new is sent to the old builds. It is final.
	Committed
	// RolledBack means that nothing is sent to the target. It is final.
	RolledBack
)

// IsFinal reports whether no other stage follows.
func (s Stage) IsFinal() bool { return s == Committed || s == RolledBack }

// Order is what an operator ordered. Target and Created identify it among the orders of a service.
type Order struct {
	Service string
	Target  string
	// Created identifies the object of the order; it differs if the object was deleted and created again.
	Created  uint64
	Duration time.Duration
}

// State is the shared state of an order. It must not be modified once it is in use.
type State struct {
	Target  string
	Created uint64
	Stage   Stage
	// Number is the number of shifts that were begun.
	Number uint64 `json:",omitempty"`
	// AgeMs is the age of the order when the state was written, ShiftedMs that at the beginning of the last shift, in milliseconds.
	AgeMs     int64
	ShiftedMs int64 `json:",omitempty"`
	// Share is the share of the requests that go to the target in the stage Canary, and Endpoints the endpoints of the target that get them.
	Share     float64
	Endpoints []string `json:",omitempty"`
	// Scarce has the shares of the routes with too few answers of the target. Mean is the mean share of all requests in the stage Canary.
	Scarce map[string]float64 `json:",omitempty"`
	Mean   float64            `json:",omitempty"`
	// Loaded is set once an endpoint has got the load that it will have after the shift, and LoadedMs the age at which that began.
	Loaded   bool  `json:",omitempty"`
	LoadedMs int64 `json:",omitempty"`
	// Allowed is how many requests each gateway may have sent to the target since the order began.
	Allowed map[string]uint64 `json:",omitempty"`
	// Reason is why the order was rolled back or a shift was broken off.
	Reason string `json:",omitempty"`
}

// IsOf reports whether a state is that of an order.
func (s *State) IsOf(o Order) bool { return s != nil && s.Target == o.Target && s.Created == o.Created }

// allowed returns the sum of the allowances.
func (s *State) allowed() (sum uint64) {
	for _, n := range s.Allowed {
		sum += n
	}
	return sum
}

// Report is what a gateway reports of its orders, by service. Its counts include those of earlier incarnations of the gateway.
type Report struct {
	Services map[string]*ServiceReport
}

// ServiceReport is what a gateway reports of an order.
type ServiceReport struct {
	Target  string
	Created uint64
	// Requests is the number of requests that were sent to the service, Sent the number of times that one was sent to the target.
	Requests, Sent uint64
	// Stage and Number are those of the state that the gateway acts on. OldInFlight is the number of requests at the old builds, also of
	// those that were sent before the order was known.
	Stage       Stage
	Number      uint64 `json:",omitempty"`
	OldInFlight int    `json:",omitempty"`
	Routes      map[string]*RouteCounts
}

// IsOf reports whether a report is on an order.
func (r *ServiceReport) IsOf(o Order) bool {
	return r != nil && r.Target == o.Target && r.Created == o.Created
}

// RouteCounts compares the target with the old builds on one route.
type RouteCounts struct {
	Target, Old Counts
}

// histogramSize is the number of buckets of a Histogram. The last begins at 2 min.
const histogramSize = 36

// Histogram counts times. Bucket 2k is from 2^k to 1.5*2^k half-milliseconds, bucket 2k+1 from there on.
type Histogram [histogramSize]uint64

// MarshalJSON encodes the index of the first bucket that is not empty and the buckets from there to the last one: the links between gateways are
// narrow, and most buckets are empty.
func (h Histogram) MarshalJSON() ([]byte, error) {
	first, end := 0, histogramSize
	for end > 0 && h[end-1] == 0 {
		end--
	}
	for first < end && h[first] == 0 {
		first++
	}
	return json.Marshal(append([]uint64{uint64(first)}, h[first:end]...))
}

// UnmarshalJSON decodes what MarshalJSON encodes.
func (h *Histogram) UnmarshalJSON(b []byte) error {
	var values []uint64
	if err := json.Unmarshal(b, &values); err != nil {
		return err
	}
	*h = Histogram{}
	if len(values) == 0 {
		return nil
	}
	if values[0] > histogramSize || len(values)-1 > histogramSize-int(values[0]) {
		return errors.Newf("%d buckets from %d on, want %d at most in all", len(values)-1, values[0], histogramSize)
	}
	copy(h[values[0]:], values[1:])
	return nil
}

// Counts are the answers of a build on a route.
type Counts struct {
	Requests, Failures uint64
	// First has the times to the first piece of an answer, or to a whole short answer. Pace has the mean times between the events of streams.
	First, Pace Histogram
}

func bucketOf(d time.Duration) int {
	units := uint64(max(0, d) / (500 * time.Microsecond))
	if units == 0 {
		return 0
	}
	k := bits.Len64(units) - 1
	bucket := 2 * k
	if 2*units >= 3<<k {
		bucket++
	}
	return min(bucket, histogramSize-1)
}

func (h *Histogram) add(other *Histogram) {
	for i, n := range other {
		h[i] += n
	}
}

func (h *Histogram) count() (n uint64) {
	for _, m := range h {
		n += m
	}
	return n
}

// quantile returns the bucket in which the given share of the values ends.
func (h *Histogram) quantile(share float64) int {
	want, sum := share*float64(h.count()), uint64(0)
	for i, n := range h {
		if sum += n; float64(sum) >= want && sum > 0 {
			return i
		}
	}
	return histogramSize - 1
}

// above returns the number of values in later buckets than the given one.
func (h *Histogram) above(bucket int) (n uint64) {
	for i := bucket + 1; i < histogramSize; i++ {
		n += h[i]
	}
	return n
}

func (c *Counts) add(other *Counts) {
	c.Requests += other.Requests
	c.Failures += other.Failures
	c.First.add(&other.First)
	c.Pace.add(&other.Pace)
}
