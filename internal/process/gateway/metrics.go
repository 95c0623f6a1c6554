package gateway

import (
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/rcrowley/go-metrics"
)

// MetricsPath is where the metrics are served as text.
const MetricsPath = "/metrics"

// metricsHandler serves the metrics of a registry, one value in a line: the name, a space and the value. Times are in
// microseconds.
func metricsHandler(registry metrics.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		writeMetrics(w, registry)
	})
	return mux
}

func writeMetrics(w io.Writer, registry metrics.Registry) {
	var lines []string
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Histogram:
			h := m.Snapshot()
			q := h.Percentiles([]float64{0.5, 0.95, 0.99})
			lines = append(lines, fmt.Sprintf("%s.count %d", name, h.Count()), fmt.Sprintf("%s.p50 %.0f", name, q[0]),
				fmt.Sprintf("%s.p95 %.0f", name, q[1]), fmt.Sprintf("%s.p99 %.0f", name, q[2]), fmt.Sprintf("%s.max %d", name, h.Max()))
		}
	})
	slices.Sort(lines)
	for _, line := range lines {
		// A reader that left needs no more lines.
		fmt.Fprintln(w, line)
	}
}
