package gateway

import (
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/rcrowley/go-metrics"

	"primrosecourse/internal/process/explain"
)

// MetricsPath is the path at which the metrics are served as text.
const MetricsPath = "/metrics"

// metricsHandler serves the explanations of a handler, and the metrics of a registry, one value per line: the name, a space and the value. A histogram has a line for
// each of several values, such as NAME.p95. Durations are in microseconds.
func metricsHandler(registry metrics.Registry, explanations http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+explain.Path, explanations)
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		writeMetrics(w, registry)
	})
	return mux
}

// writeMetrics writes the counters, gauges and histograms of a registry as sorted lines.
func writeMetrics(w io.Writer, registry metrics.Registry) {
	var lines []string
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Histogram:
			histogram := m.Snapshot()
			percentiles := histogram.Percentiles([]float64{0.5, 0.95, 0.99})
			lines = append(lines, fmt.Sprintf("%s.count %d", name, histogram.Count()), fmt.Sprintf("%s.p50 %.0f", name, percentiles[0]),
				fmt.Sprintf("%s.p95 %.0f", name, percentiles[1]), fmt.Sprintf("%s.p99 %.0f", name, percentiles[2]), fmt.Sprintf("%s.max %d", name, histogram.Max()))
		}
	})
	slices.Sort(lines)
	for _, line := range lines {
		// An error means that the client has disconnected and needs no more lines.
		fmt.Fprintln(w, line)
	}
}
