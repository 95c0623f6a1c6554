package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the site sheet lakeshore-cards.
const (
	edgeMemoryMB   = 134
	orderWork      = 60 * time.Millisecond
	stormTime      = 4 * time.Second
	stormGap       = 330 * time.Millisecond
	stormPause     = time.Second
	stormsFor      = 95 * time.Second
	routesOfOne    = 350
	growths        = 8
	orderClients   = 18
	cutsAllowed    = 3
	ownRoutePrefix = "/defi252/"
)

// orderServer is a stand-in of a server of idempotent requests.
type orderServer struct {
	id string
	// ran has the IDs of the requests that ran at any of the servers.
	ran *sync.Map
}

// ServeHTTP implements http.Handler.
func (s *orderServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", s.id)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	s.ran.Store(r.Header.Get("X-Request-Id"), true)
	pause(r.Context(), orderWork)
	w.Header().Set("X-Server-Seal", "seal."+s.id)
	w.Header().Set("X-Server-Load", "2,0,6")
	_, _ = w.Write([]byte(strings.Repeat("r", 800)))
}

// orderConfig returns a version of the configuration with a number of routes beside the one that the clients use.
func orderConfig(version, routes int) map[string]any {
	list := []map[string]any{orderRoute("r-own", ownRoutePrefix, 3000)}
	for i := range routes {
		list = append(list, orderRoute(fmt.Sprintf("r-%07x", 0x2eeb220+i), fmt.Sprintf("/cufi%05d/fi50/", i), 3000+version%7))
	}
	return map[string]any{"version": version, "routes": list, "services": []map[string]any{{"name": "kafi81c", "health_check": "/health",
		"max_connections": 110, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{}}
}

func orderRoute(name, prefix string, timeout int) map[string]any {
	return map[string]any{"name": name, "hostname": "pule25.example", "path_prefix": prefix, "kind": "idempotent", "timeout_ms": timeout,
		"target_latency_ms": 300, "priority": 2, "service": "kafi81c", "attempts": 2, "public": true, "session_affinity": false, "resumable": false,
		"gap_aim_ms": 0}
}

func configBytes(version, routes int) int {
	encoded, _ := json.Marshal(orderConfig(version, routes))
	return len(encoded)
}

// memory returns the resident memory of a process in MB, 0 once it has ended.
func memory(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / 1024
		}
	}
	return 0
}

// configStorms plays configurations in quick succession, of a system that has grown by many routes. A process that takes more memory than its
// machine has is killed, as the platform does it, and requests that it had passed on end without an answer.
func configStorms(w *world) (broken bool, err error) {
	ran := &sync.Map{}
	for i := range 3 {
		s := &orderServer{id: fmt.Sprintf("i-%08x", 0x7f3a9200+i), ran: ran}
		server := httptest.NewServer(s)
		defer server.CloseClientConnections()
		w.objects.put("servers", s.id, map[string]any{"service": "kafi81c", "address": server.Listener.Addr().String(), "zone": "gauteng-a",
			"version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 4, "born": bornMs})
	}
	version := 1
	w.objects.put("config", "main", orderConfig(version, 8))
	g, err := w.newGateway(1, edgeMemoryMB)
	if err != nil {
		return false, err
	}
	w.gateways = append(w.gateways, g)
	if err := g.start(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var cut, served atomic.Int64
	var clients sync.WaitGroup
	for n := range orderClients {
		clients.Go(func() { orderClient(w, g, n, stop, ran, &served, &cut) })
	}
	killed, peak := false, 0.0
	watched := func(d time.Duration) {
		for end := time.Now().Add(d); !killed && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			now := memory(g.command.Process.Pid)
			peak = max(peak, now)
			if killed = now > edgeMemoryMB; killed {
				w.notes.add("the process has %.0f MB, its machine %d: it is killed", now, edgeMemoryMB)
				g.kill()
			}
		}
	}
	routes := 8
	began := time.Now()
	for grown := 0; w.trouble && grown < growths; grown++ {
		routes += routesOfOne
		version += 2
		w.objects.put("config", "main", orderConfig(version, routes))
		watched(stormPause)
	}
	for time.Since(began) < stormsFor && !killed {
		if !w.trouble {
			watched(stormTime + stormPause)
			continue
		}
		for start := time.Now(); time.Since(start) < stormTime && !killed; watched(stormGap) {
			version += 2
			w.objects.put("config", "main", orderConfig(version, routes))
		}
		w.notes.add("version %d with %d routes is in the store; the process has %.0f MB", version, routes, memory(g.command.Process.Pid))
		watched(stormPause)
	}
	close(stop)
	clients.Wait()
	w.notes.add("the configuration has %d routes in %d bytes", routes, configBytes(version, routes))
	w.notes.add("%d requests were answered, %d ended without an answer after they had been passed on; at most %.0f MB", served.Load(), cut.Load(), peak)
	return killed && cut.Load() > cutsAllowed, nil
}

// orderClient sends one request after the other on a connection that it keeps.
func orderClient(w *world, g *gatewayProcess, n int, stop chan struct{}, ran *sync.Map, served, cut *atomic.Int64) {
	c, err := dial(g.front)
	if err != nil {
		w.notes.add("client %d: %v", n, err)
		return
	}
	defer c.conn.Close()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		sent, id := time.Now(), fmt.Sprintf("%08x%08x", n, i)
		status, _, err := c.do(request{id: id, path: ownRoutePrefix + "2f"})
		switch {
		case err != nil:
			_, atServer := ran.Load(id)
			if atServer {
				cut.Add(1)
			}
			w.notes.add("client %d: request %s got no answer after %d ms (a server ran it: %t): %v", n, id, time.Since(sent).Milliseconds(), atServer, err)
			return
		case status == http.StatusOK:
			served.Add(1)
		default:
			w.notes.add("client %d: request %s was answered %d", n, id, status)
		}
		pause(context.Background(), 2*time.Millisecond)
	}
}
