//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"primrosecourse/internal/standin/link"
)

const (
	// drainTime is drain_ms, and littleLonger how much longer a server serves that leaves.
	drainTime    = 2 * time.Second
	littleLonger = 200 * time.Millisecond
	// silentTime is how long the store is silent, and leavesAfter how long after that a server leaves.
	silentTime  = 4500 * time.Millisecond
	leavesAfter = 3100 * time.Millisecond
	gonePause   = 2500 * time.Millisecond
)

// shopServer is a server without a model. It does not report that it drains: its entry is removed, and it serves for a while.
type shopServer struct {
	record  *record
	id      string
	address netip.AddrPort
	server  *http.Server

	mu sync.Mutex
	// leftAt is when the store had accepted the removal of the entry, zero before that.
	leftAt time.Time
	late   int
}

// startShopServer starts a server and registers it.
func (s *scene) startShopServer(n int) (*shopServer, error) {
	zone := string(rune('a' + n%3))
	h := &shopServer{record: s.record, id: fmt.Sprintf("i-shop-%02d", n)}
	s.hosts++
	var err error
	if h.address, err = s.block.Draw(s.block.Host(s.hosts)); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", h.address.String())
	if err != nil {
		return nil, err
	}
	h.server = &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = h.server.Serve(listener) }() // it ends with Close
	s.closers = append(s.closers, func() { _ = h.server.Close() })
	s.store.Put("servers", h.id, map[string]any{"service": "jar-shop", "address": h.address.String(), "zone": zone, "version": "v1", "slots": 6,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
	s.record.line("%s is registered", h.id)
	return h, nil
}

// ServeHTTP implements http.Handler.
func (h *shopServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != h.id {
		w.Header().Set("X-Instance-Id", h.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		reply(w, map[string]any{})
		return
	}
	h.mu.Lock()
	since := time.Duration(0)
	if !h.leftAt.IsZero() {
		since = time.Since(h.leftAt)
	}
	if since > drainTime {
		h.late++
		h.record.line("BROKEN: %s %s reaches %s %d ms after the removal of its entry was acknowledged", r.Method, id, h.id, since.Milliseconds())
	}
	h.mu.Unlock()
	select {
	case <-r.Context().Done():
		h.record.line("%s is cut off in its run at %s, which has ended", id, h.id)
		return
	case <-time.After(10*time.Millisecond + rand.N(20*time.Millisecond)):
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Seal", "seal."+h.id)
	w.Header().Set("X-Server-Load", "1,0,6")
	_, _ = fmt.Fprintf(w, "%s ran at %s", id, h.id)
}

// leave removes the entry of the server, which serves for a while and ends.
func (h *shopServer) leave(s *scene) {
	s.store.Remove("servers", h.id)
	h.mu.Lock()
	h.leftAt = time.Now()
	h.mu.Unlock()
	s.record.line("%s leaves: the store has removed its entry", h.id)
	time.Sleep(drainTime + littleLonger)
	_ = h.server.Close()
	s.record.line("%s has ended", h.id)
}

// playGone lets servers be replaced one after the other, each a while after the store was silent.
func playGone(s *scene) (broken int, err error) {
	var servers []*shopServer
	for n := range 3 {
		h, err := s.startShopServer(n)
		if err != nil {
			return 0, err
		}
		servers = append(servers, h)
	}
	s.store.Put("config", "main", shopConfiguration())
	for i, zone := range []string{"a", "a", "b", "b", "c"} {
		if _, err = s.startGateway(fmt.Sprintf("edge-%s-%d", zone, i+1), zone); err != nil {
			return 0, err
		}
	}
	if err = s.awaitReady(); err != nil {
		return 0, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers sync.WaitGroup
	callers.Go(func() { s.orders(ctx) })
	time.Sleep(4 * time.Second)
	for round := range 8 {
		if s.trouble {
			s.record.line("the store is silent")
			s.silence(link.Condition{DropToServer: true, DropFromServer: true})
		}
		time.Sleep(silentTime)
		s.silence(link.Condition{})
		s.record.line("the store answers")
		time.Sleep(leavesAfter)
		next, err := s.startShopServer(3 + round)
		if err != nil {
			return 0, err
		}
		servers = append(servers, next)
		servers[round].leave(s)
		time.Sleep(gonePause)
	}
	stop()
	callers.Wait()
	for _, h := range servers {
		broken += h.late
	}
	return broken, nil
}

// silence sets the condition of the paths from the gateways to the store.
func (s *scene) silence(c link.Condition) {
	for _, g := range s.gateways {
		g.store.Set(c)
	}
}

// turns is the order in which requests go to the gateways: each zone gets a third of them, and the last zone has one gateway.
var turns = []int{0, 2, 4, 1, 3, 4}

// orders sends orders and questions for their status to all gateways, as many as a small deployment gets, until ctx is done.
func (s *scene) orders(ctx context.Context) {
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		g, method, path := s.gateways[turns[n%len(turns)]], http.MethodPost, "/order/2f"
		if rand.N(59) < 17 {
			method, path = http.MethodGet, "/status/2f"
		}
		id := fmt.Sprintf("o%05d", n)
		open.Go(func() {
			status, _, err := s.send(g, method, path, id, 1500*time.Millisecond, http.Header{"X-Key": {"key-1"}}, "")
			if err != nil || status != http.StatusOK {
				s.record.line("%s %s by %s: status %d, error %v", method, id, g.name, status, err)
			}
		})
		time.Sleep(17 * time.Millisecond)
	}
}

func shopConfiguration() map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "hostname": "jars.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "target_latency_ms": 100,
			"priority": 2, "service": "jar-shop", "attempts": attempts, "public": false, "session_affinity": false, "resumable": false}
	}
	return map[string]any{"version": 1,
		"routes":   []map[string]any{route("r-order", "/order/", "non_idempotent", 1), route("r-status", "/status/", "idempotent", 2)},
		"services": []map[string]any{{"name": "jar-shop", "health_check": "/health", "max_connections": 110, "cold_start_s": 0.0, "cold_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "jeye930", "api_keys": []string{"key-1"}, "priority": 1}}}
}
