package main

import (
	"fmt"
	"net/http/httptest"
	"sync"
	"syscall"
	"time"
)

const (
	// eventPause is within the pause between events that the sheet calls on time, 300 ms.
	eventPause = 290 * time.Millisecond
	graceTime  = 8 * time.Second
	// sentSoon is how long after a SIGTERM a request may be sent whose server may still be at work at the end.
	sentSoon = 3 * time.Second
)

// streamConfig returns a configuration with a route of streams that may be resumed and one of streams that may not.
func streamConfig() map[string]any {
	route := func(name, prefix string, timeout, attempts int, resumable bool) map[string]any {
		return map[string]any{"name": name, "hostname": "pule25.example", "path_prefix": prefix, "kind": "streaming", "timeout_ms": timeout,
			"target_latency_ms": 600, "priority": 1, "service": "huvo11a", "attempts": attempts, "public": true, "session_affinity": true,
			"resumable": resumable, "gap_aim_ms": 300}
	}
	c := engineConfig(7, "127.0.0.1:1")
	c["routes"] = []map[string]any{route("r-z5k6pjs", "/puxa400/", 8000, 2, true), route("r-2eek22x", "/cufi501/", 4000, 1, false)}
	c["services"] = c["services"].([]any)[1:]
	return c
}

// lateStream stops a gateway as planned. A stream that began before ends after some seconds, and its client sends the next request, for a short
// stream of another route, on the connection that it has kept.
func lateStream(w *world) (broken bool, err error) {
	w.objects.put("config", "main", streamConfig())
	w.objects.put("versions", modelName, map[string]any{"model": modelName, "version": 1})
	nowhere := &kvStore{parts: map[partKey]*storedPart{}, dark: true}
	for i := range 3 {
		e := &engine{id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), zone: "gauteng-a", store: nowhere, notes: w.notes, log: eventLog{epoch: uint64(1000 + i)},
			capacity: 70494, pause: eventPause}
		server := httptest.NewServer(e)
		defer server.CloseClientConnections()
		w.objects.put("servers", e.id, map[string]any{"service": "huvo11a", "address": server.Listener.Addr().String(), "zone": e.zone,
			"version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0, "stage": "both", "models": e.models(), "sequence": 4, "born": bornMs})
	}
	g, err := w.newGateway(1, 284)
	if err != nil {
		return false, err
	}
	w.gateways = append(w.gateways, g)
	if err := g.start(); err != nil {
		return false, err
	}
	card := func(serial, out int) request {
		return request{id: fmt.Sprintf("9c41d07b%08x", serial), path: "/cufi501/fi50/2f", prefix: fmt.Sprintf("5c1e07a2:55,91bd3f06:246,%x:82", 0xe0000000+serial),
			tokens: 383, out: out, deadline: 4000}
	}
	var earlier sync.WaitGroup
	for i := range 40 {
		earlier.Go(func() { w.send(g, card(i, 3+i%5)) })
		time.Sleep(100 * time.Millisecond)
	}
	earlier.Wait()
	c, err := dial(g.front)
	if err != nil {
		return false, err
	}
	defer c.conn.Close()
	story := request{id: "9c41d07b00001000", path: "/puxa400/2f", prefix: "5c1e07ff:12800,e0001000:4260", tokens: 17060, out: 18, deadline: 8000}
	stopped := time.Now().Add(time.Second)
	if w.trouble {
		time.AfterFunc(time.Until(stopped), func() {
			w.notes.add("SIGTERM")
			_ = g.command.Process.Signal(syscall.SIGTERM)
		})
	}
	w.notes.add("%s sent", story.id)
	status, body, err := c.do(story)
	w.notes.add("%s answered: %d, %d bytes, %v", story.id, status, len(body), err)
	if err != nil {
		return false, err
	}
	late := card(0x2000, 12)
	sent := time.Since(stopped)
	w.notes.add("%s sent on the same connection, %d ms after the SIGTERM", late.id, sent.Milliseconds())
	status, body, err = c.do(late)
	ended := time.Since(stopped)
	w.notes.add("%s: status %d, %d bytes, %v; %d ms after the SIGTERM", late.id, status, len(body), err, ended.Milliseconds())
	passedOn := status == 200
	return w.trouble && err != nil && passedOn && sent > sentSoon && ended < graceTime+time.Second, nil
}
