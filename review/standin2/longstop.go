//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// firstEvents is the number of events of the stream that begins before the stop, with firstPause before each, and firstBefore how long before the
	// stop it is asked for.
	firstEvents = 20
	firstPause  = 275 * time.Millisecond
	firstBefore = 500 * time.Millisecond
	// longAnswer is how long the answer takes that is asked for next on the same connection, and longBytes its size.
	longAnswer = 2700 * time.Millisecond
	longBytes  = 300_000
	longWait   = 3 * time.Second
)

// longServer is a server without a model. Its answers have 800 bytes, but for those to two paths: a stream, and a long list.
type longServer struct {
	record *record
	id     string
}

// ServeHTTP implements http.Handler.
func (h *longServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != h.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		reply(w, map[string]any{})
		return
	}
	h.record.line("%s runs at %s", id, h.id)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Seal", "seal."+h.id)
	w.Header().Set("X-Server-Load", "1,0,6")
	if strings.HasPrefix(r.URL.Path, "/layout/") {
		h.stream(w, id)
		return
	}
	size, took := 800, 60*time.Millisecond
	if strings.Contains(r.URL.Path, "/list/") {
		size, took = longBytes, longAnswer
	}
	w.Header().Set("Content-Length", fmt.Sprint(size))
	const steps = 50
	for i := range steps {
		select {
		case <-r.Context().Done():
			h.record.line("%s is cut off at %s after %d of %d steps", id, h.id, i, steps)
			return
		case <-time.After(took / steps):
		}
		if _, err := io.WriteString(w, strings.Repeat("x", size/steps)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
	h.record.line("%s ends at %s", id, h.id)
}

// stream writes the events of a stream.
func (h *longServer) stream(w http.ResponseWriter, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range firstEvents {
		time.Sleep(firstPause)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n+1, n+1); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
	h.record.line("%s ends at %s", id, h.id)
}

// playLongStop stops a gateway while a client has an answer that began before, and then asks for a long one on the same connection.
func playLongStop(s *scene) (broken int, err error) {
	for i := range 2 {
		h := &longServer{record: s.record, id: fmt.Sprintf("i-shop-%02d", i)}
		address, err := s.serve(h, nil)
		if err != nil {
			return 0, err
		}
		s.store.Put("servers", h.id, map[string]any{"service": "jar-shop", "address": address.String(), "zone": "a", "version": "v1", "slots": 6, "state": "ready",
			"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
	}
	s.store.Put("config", "main", map[string]any{"version": 1,
		"routes": []map[string]any{{"name": "r-layout", "hostname": "jars.example", "path_prefix": "/layout/", "kind": "streaming", "timeout_ms": 8000,
			"target_latency_ms": 600, "gap_aim_ms": 300, "priority": 1, "service": "jar-shop", "attempts": 1, "resumable": false}, {"name": "r-status", "hostname": "jars.example", "path_prefix": "/status/", "kind": "idempotent", "timeout_ms": 3000,
			"target_latency_ms": 300, "priority": 2, "service": "jar-shop", "attempts": 2}},
		"services": []map[string]any{{"name": "jar-shop", "health_check": "/health", "max_connections": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "jeye930", "api_keys": []string{"key-1"}, "priority": 1}}})
	g, err := s.startGateway("edge-a-1", "a")
	if err != nil {
		return 0, err
	}
	if err = s.awaitReady(); err != nil {
		return 0, err
	}
	for n := range 100 {
		if status, _, err := s.send(g, http.MethodGet, "/status/2f", fmt.Sprintf("s%04d", n), 3*time.Second, http.Header{"X-Key": {"key-1"}}, ""); err != nil || status != http.StatusOK {
			return 0, fmt.Errorf("status %d: %w", status, err)
		}
	}
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", g.callers.String())
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	br := bufio.NewReader(conn)
	if s.trouble {
		time.AfterFunc(firstBefore, func() {
			s.record.line("SIGTERM")
			_ = g.command.Process.Signal(syscall.SIGTERM)
		})
	}
	if err = s.ask(conn, br, "a0001", "/layout/2f", 8*time.Second); err != nil {
		return 0, err
	}
	if err = s.ask(conn, br, "a0002", "/status/list/", longWait); err != nil {
		s.record.line("BROKEN: the connection ended without a complete answer: %v", err)
		return 1, nil
	}
	return 0, nil
}

// ask sends a request on a kept connection and reads its answer.
func (s *scene) ask(conn net.Conn, br *bufio.Reader, id, path string, deadline time.Duration) error {
	s.record.line("%s is sent", id)
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: jars.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\nX-Key: key-1\r\n\r\n", path, id, deadline.Milliseconds())
	if err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(deadline))
	response, err := http.ReadResponse(br, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	s.record.line("%s: status %d, %d bytes, close %v, error %v", id, response.StatusCode, n, response.Close, err)
	return err
}
