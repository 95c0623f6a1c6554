package hedge

import (
	"sync"
	"time"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Denial -linecomment -output=denial_string.go

// Denial is why no hedge is sent for a request that is overdue.
type Denial uint8

// The reasons against a hedge.
const (
	// Granted means that there is none: the hedge may be sent.
	Granted Denial = iota
	// ShareUsed means that the hedges have reached their share of the requests of the service.
	ShareUsed // Share
	// Shortage means that endpoints or the gateway refused requests to the service for lack of capacity a moment ago.
	Shortage
	// Rising means that the median latency of the route has risen.
	Rising
	// NoPlace means that the endpoint for the hedge has no free place.
	NoPlace
)

const (
	// minPercentile is the lowest percentile of the latencies after which a hedge is sent, so that at most one request in twenty is overdue.
	// With a smaller MaxShare the percentile is higher, so that the hedges go to the slowest requests, up to maxPercentile, beyond which
	// minSamples say little.
	minPercentile = 0.95
	maxPercentile = 0.99
	// minSamples is the number of recent latencies from which on hedges are sent: five of them are above the lowest percentile.
	minSamples = 100
	// minDelay is the shortest delay of a hedge. A gateway that acts some milliseconds late would otherwise take its own delay for that of the
	// endpoint.
	minDelay = 10 * time.Millisecond
	// minMedians is the shortest delay as a multiple of the median. A hedge takes about one median itself, so that an earlier one gains
	// little.
	minMedians = 2
	// usualHalfLife and recentHalfLife are the half-lives of the latencies that are usual and of those that show whether the median has risen.
	usualHalfLife  = 30 * time.Second
	recentHalfLife = time.Second
	// risingFactor is how much the recent median exceeds the usual one when it counts as risen. Queues at all endpoints multiply it.
	risingFactor = 1.5
	// minRecent is the number of recent latencies from which on their median counts.
	minRecent = 5
	// shareHalfLife is the half-life of the numbers of requests and hedges whose quotient is the share.
	shareHalfLife = 10 * time.Second
	// shortageHalfLife is the half-life of the numbers of requests and refusals, and maxRefused the share of the latter above which the
	// service is short of capacity. A single endpoint that loads weights refuses a few requests.
	shortageHalfLife = time.Second
	maxRefused       = 0.03
	// maxRoutes bounds the routes whose latencies are known; the number of routes in a configuration is not bounded. Each takes 1 KB.
	maxRoutes = 1024
)

// Controller decides on the hedges of a gateway. MaxShare must be set before the first call. A nil Controller sends none.
type Controller struct {
	// MaxShare is the number of hedges allowed for each request to a service.
	MaxShare float64

	mu       sync.Mutex
	services map[string]*service
	routes   map[routeKey]*route
}

// service counts the requests to a service.
type service struct {
	requests, hedges           counter
	recentRequests, recentFull counter
}

// counter is a number that decays with a half-life.
type counter struct {
	value float64
	at    time.Time
}

func (c *counter) now(now time.Time, halfLife time.Duration) float64 {
	if d := now.Sub(c.at); d > 0 {
		c.value *= halving(d, halfLife)
		c.at = now
	}
	return c.value
}

func (c *counter) add(now time.Time, n float64, halfLife time.Duration) {
	c.value = max(0, c.now(now, halfLife)+n)
}

type routeKey struct{ service, route string }

// route holds the latencies of a route at a service.
type route struct {
	usual, recent histogram
	// overdue is the number of requests whose first copy has been open for longer than the delay and has not ended yet.
	overdue int
}

// Request counts a request to a service, whether or not it may be hedged.
func (c *Controller) Request(now time.Time, service string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(service)
	s.requests.add(now, 1, shareHalfLife)
	s.recentRequests.add(now, 1, shortageHalfLife)
}

// Refused records that an endpoint of a service, or the gateway, had no capacity for a request.
func (c *Controller) Refused(now time.Time, service string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.service(service).recentFull.add(now, 1, shortageHalfLife)
}

// service returns the counts of a service. The caller must hold mu.
func (c *Controller) service(name string) *service {
	s := c.services[name]
	if s == nil {
		if c.services == nil {
			c.services = map[string]*service{}
		}
		s = &service{}
		c.services[name] = s
	}
	return s
}

// route returns the latencies of a route. The caller must hold mu.
func (c *Controller) route(k routeKey) *route {
	r := c.routes[k]
	if r == nil {
		if c.routes == nil || len(c.routes) >= maxRoutes {
			c.routes = map[routeKey]*route{}
		}
		r = &route{usual: histogram{halfLife: usualHalfLife}, recent: histogram{halfLife: recentHalfLife}}
		c.routes[k] = r
	}
	return r
}

// Percentile returns the percentile of the latencies after which hedges are sent, as a share.
func (c *Controller) Percentile() float64 {
	return min(maxPercentile, max(minPercentile, 1-c.MaxShare))
}

// Watch follows one request that may be hedged. It must be ended by Answered or Ended. It is not safe for concurrent use.
type Watch struct {
	// Delay is the time since the first copy was sent after which a hedge is due, 0 if none is.
	Delay time.Duration
	// Percentile is that of the latencies to which Delay corresponds.
	Percentile float64

	controller *Controller
	service    string
	route      *route
	overdue    bool
	ended      bool
}

// Watch begins to follow a request to a route at a service.
func (c *Controller) Watch(now time.Time, service, route string) *Watch {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.route(routeKey{service: service, route: route})
	w := &Watch{Percentile: c.Percentile(), controller: c, service: service, route: r}
	r.usual.decay(now)
	if r.usual.total < minSamples {
		return w
	}
	delay, median := r.usual.percentile(w.Percentile, 0), r.usual.percentile(0.5, 0)
	if delay < noLatency && median < noLatency/minMedians {
		w.Delay = max(delay, minMedians*median, minDelay)
	}
	return w
}

// Overdue records that the first copy has not been answered within Delay.
func (w *Watch) Overdue() {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	if !w.overdue && !w.ended {
		w.overdue = true
		w.route.overdue++
	}
}

// Hedge reports whether a hedge may be sent, and takes it from the share if so. hasPlace reports whether the endpoint for it has a free
// place. share is the share of the requests of the service that were hedged, with this one if it may be sent.
func (w *Watch) Hedge(now time.Time, hasPlace bool) (denial Denial, share float64) {
	c := w.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(w.service)
	requests, hedges := s.requests.now(now, shareHalfLife), s.hedges.now(now, shareHalfLife)
	share = hedges / max(1, requests)
	switch {
	case !hasPlace:
		return NoPlace, share
	case s.recentFull.now(now, shortageHalfLife) > maxRefused*s.recentRequests.now(now, shortageHalfLife):
		return Shortage, share
	case w.route.rising(now):
		return Rising, share
	case hedges+1 > c.MaxShare*requests:
		return ShareUsed, share
	}
	s.hedges.add(now, 1, shareHalfLife)
	return Granted, (hedges + 1) / requests
}

// rising reports whether the median of the recent latencies is well above the usual one. Requests that are overdue count as long ones, so
// that a shortage shows before they end.
func (r *route) rising(now time.Time) bool {
	r.usual.decay(now)
	r.recent.decay(now)
	overdue := float64(r.overdue)
	if r.recent.total+overdue < minRecent {
		return false
	}
	recent, usual := r.recent.percentile(0.5, overdue), r.usual.percentile(0.5, 0)
	return float64(recent) > max(risingFactor*float64(usual), float64(minDelay))
}

// GiveBack returns a hedge that was granted and not sent to the share.
func (w *Watch) GiveBack(now time.Time) {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	w.controller.service(w.service).hedges.add(now, -1, shareHalfLife)
}

// Answered records that the first copy was answered after latency, so that the request has a sample. It does nothing after the first call
// of Answered or Ended.
func (w *Watch) Answered(now time.Time, latency time.Duration) {
	w.end(func(r *route) {
		r.usual.add(now, latency)
		r.recent.add(now, latency)
	})
}

// Ended records that the first copy ended without an answer that says how long one takes. If it was overdue, it counts as longer than any
// other. It does nothing after the first call of Answered or Ended.
func (w *Watch) Ended(now time.Time) {
	w.end(func(r *route) {
		if w.overdue {
			r.usual.addLonger(now)
			r.recent.addLonger(now)
		}
	})
}

func (w *Watch) end(record func(r *route)) {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	if w.overdue {
		w.route.overdue--
	}
	record(w.route)
}
