package forward

import (
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"primrosecourse/pkg/site"
)

// histogramSize is the number of values that a histogram draws from the latest ones, about 10 KB each. There is one for each
// kind of request, service and outcome, not for each route, of which a configuration may have any number.
const histogramSize = 512

// histogramAlpha makes values of the last five minutes count, as the library's documentation has it.
const histogramAlpha = 0.015

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=ending -trimprefix=end -output=ending_string.go

// ending tells how a request ended for its caller.
type ending uint8

const (
	// endAnswered means that the caller has an endpoint's answer.
	endAnswered ending = iota
	// endRefused means that the request was refused and has not run.
	endRefused
	// endFailed means that the caller was told that it may have run.
	endFailed
	// endBrokenOff means that the caller has no whole answer: it left, or the answer was cut.
	endBrokenOff
)

// ending returns how the request ended for its caller.
func (q *request) ending() ending {
	switch {
	case q.status == 0 || (q.reason != "" && !q.own):
		return endBrokenOff
	case !q.own:
		return endAnswered
	case q.ran == 0:
		return endRefused
	}
	return endFailed
}

// kindOf names the kind of a route: what may be repeated, and whether it streams.
func kindOf(r *site.Route) string {
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

// series returns the name of a figure of the request: the name, its kind, its service and further words.
func (q *request) series(name string, more ...string) string {
	service := q.service
	if service == "" {
		service = "None"
	}
	return strings.Join(append([]string{name, kindOf(q.route), service}, more...), ".")
}

// figures counts the request once it has ended.
func (q *request) figures(took time.Duration) {
	q.h.count(q.series("Requests", strconv.Itoa(q.status)))
	q.h.took(q.series("Took", q.ending().String()), took)
	if q.reason != "" {
		q.h.count("Reasons." + q.reason)
	}
}

func (h *Handler) count(name string) {
	if h.Metrics != nil {
		metrics.GetOrRegisterCounter(name, h.Metrics).Inc(1)
	}
}

// took records a time in microseconds.
func (h *Handler) took(name string, d time.Duration) {
	if h.Metrics == nil {
		return
	}
	fresh := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSize, histogramAlpha))
	}
	if histogram, ok := h.Metrics.GetOrRegister(name, fresh).(metrics.Histogram); ok {
		histogram.Update(d.Microseconds())
	}
}
