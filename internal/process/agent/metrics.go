package agent

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

func listenMetrics(addr netip.AddrPort) (net.Listener, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "agent: metrics")
	}
	return l, nil
}

// serveMetrics serves on the listener until ctx is done. If l is nil, it first waits until the address is released by a
// predecessor, which may be paused or draining.
func serveMetrics(ctx context.Context, l net.Listener, addr netip.AddrPort, a *Agent) (err error) {
	defer func() { err = errors.Wrap(err, "agent: metrics") }()
	for l == nil {
		sleep(ctx, listenRetryInterval)
		if ctx.Err() != nil {
			return nil
		}
		if l, err = listenMetrics(addr); err != nil && !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
	server := &http.Server{Handler: a.Handler(), ReadHeaderTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	select {
	case <-ctx.Done():
		err = server.Close()
		<-served
		return err
	case err = <-served:
		return err
	}
}

// Handler serves GET /metrics (JSON), /healthz (200 while the process runs) and /readyz (200 if Ready, else 503).
func (a *Agent) Handler() http.Handler {
	a.init()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		load := a.Load()
		for name, n := range map[string]int{
			"running": load.Running, "queued": load.Queued, "queuedTokens": load.QueuedTokens, "allowance": load.Allowance,
		} {
			metrics.GetOrRegisterGauge(name, a.Metrics).Update(int64(n))
		}
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(a.Metrics, w)
	})
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !a.Ready() {
			http.Error(w, a.Load().State.String(), http.StatusServiceUnavailable)
		}
	})
	return mux
}
