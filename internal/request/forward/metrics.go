package forward

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"primrosecourse/pkg/site"
)

// histogramSize is the number of values in the sample of a histogram, which takes about 10 KB of memory. A
// histogram covers one kind of route and one service, and the histograms named Took only one ending. There is none for each route,
// since the number of routes in a configuration is not bounded.
const histogramSize = 512

// histogramAlpha is the decay factor of the samples. According to the library's documentation it weights them towards the
// last five minutes.
const histogramAlpha = 0.015

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=ending -trimprefix=end -output=ending_string.go

// ending is how a request ended for its caller. Its names are part of the names of metrics.
type ending uint8

const (
	// endAnswered means that the caller got an endpoint's complete answer.
	endAnswered ending = iota
	// endRefused means that the gateway refused the request, which has not run.
	endRefused
	// endFailed means that the gateway answered with an error and the request may have run.
	endFailed
	// endBrokenOff means that the caller got no complete answer because it disconnected or the answer was broken off, or that
	// the gateway gave up retrying and sent the request's fallback.
	endBrokenOff
)

// ending returns how the request ended for its caller.
func (req *request) ending() ending {
	switch {
	case req.status == 0 || (req.reason != "" && !req.generated):
		return endBrokenOff
	case !req.generated:
		return endAnswered
	case req.possibleRuns == 0:
		return endRefused
	}
	return endFailed
}

// routeKind returns the kind of a route in the names of metrics, by whether its answers are streams, and whether these are
// resumable or else its requests are idempotent. It returns None for a request without a route.
func routeKind(r *site.Route) string {
	switch {
	case r == nil:
		return "None"
	case r.Streaming && r.Repeat == site.Resume:
		return "ResumableStream"
	case r.Streaming:
		return "Stream"
	case r.Repeat == site.Always:
		return "Repeatable"
	}
	return "Once"
}

// metricName returns the name of a metric of the request: name, the kind of its route, its service and further elements,
// separated by dots.
func (req *request) metricName(name string, more ...string) string {
	service := req.service
	if service == "" {
		service = "None"
	}
	return strings.Join(append([]string{name, routeKind(req.route), service}, more...), ".")
}

// recordMetrics counts the request by status and reason, and records its duration. It is called once the request has ended.
func (req *request) recordMetrics(duration time.Duration) {
	req.handler.count(req.metricName("Requests", strconv.Itoa(req.status)))
	req.handler.observe(req.metricName("Took", req.ending().String()), duration)
	if req.reason != "" {
		req.handler.count("Reasons." + req.reason)
	}
}

// recordSlowness updates the gauges of how slow the endpoints of the request's service are, in percent of the usual time.
func (req *request) recordSlowness(now time.Time) {
	h := req.handler
	if h.Metrics == nil {
		return
	}
	if highest, mean, ok := h.Table.Slowness(now, req.snapshot.Endpoints[req.service]); ok {
		metrics.GetOrRegisterGauge("Slowness.Max."+req.service, h.Metrics).Update(int64(math.Round(100 * highest)))
		metrics.GetOrRegisterGauge("Slowness.Mean."+req.service, h.Metrics).Update(int64(math.Round(100 * mean)))
	}
}

func (h *Handler) count(name string) {
	if h.Metrics != nil {
		metrics.GetOrRegisterCounter(name, h.Metrics).Inc(1)
	}
}

// observe records a duration in a histogram, in microseconds.
func (h *Handler) observe(name string, d time.Duration) {
	if h.Metrics == nil {
		return
	}
	newHistogram := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSize, histogramAlpha))
	}
	if histogram, ok := h.Metrics.GetOrRegister(name, newHistogram).(metrics.Histogram); ok {
		histogram.Update(d.Microseconds())
	}
}
