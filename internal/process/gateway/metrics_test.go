package gateway

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// TestMetricsAsText guards against metrics that are not written one value per line.
func TestMetricsAsText(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("Requests.r1.200", r).Inc(3)
	h := metrics.GetOrRegisterHistogram("Took.r1", r, metrics.NewUniformSample(10))
	h.Update(100)
	h.Update(300)
	var b strings.Builder
	writeMetrics(&b, r)
	is.Equal(b.String(), "Requests.r1.200 3\nTook.r1.count 2\nTook.r1.max 300\nTook.r1.p50 200\nTook.r1.p95 300\nTook.r1.p99 300\n")
}
