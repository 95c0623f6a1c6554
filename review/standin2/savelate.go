package main

import (
	"fmt"
	"sync"
	"time"
)

// playSaveLate lets a KV store crash and return empty while a request whose engine is to save a part there still waits for its prompt to be read.
func playSaveLate(s *scene) (broken int, err error) {
	store := newKVStore(s.record, "a")
	address, err := s.serve(store, store.connContext)
	if err != nil {
		return 0, err
	}
	store.address = address.String()
	zones := []string{"a", "b", "c"}
	for i := range 12 {
		e := newEngine(s.record, fmt.Sprintf("i-%02d", i), zones[i%3], 30, map[string]*kvStore{store.address: store})
		if e.address, err = s.serve(e, nil); err != nil {
			return 0, err
		}
		s.store.Put("servers", e.id, e.entry("scribe-pool", 1))
	}
	s.store.Put("versions", model, map[string]any{"model": model, "version": 1})
	s.store.Put("config", "main", s.promptConfiguration(store))
	for i, zone := range zones[:2] {
		if _, err = s.startGateway(fmt.Sprintf("edge-%s-%d", zone, i+1), zone); err != nil {
			return 0, err
		}
	}
	if err = s.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second) // gateways save nothing in a store that they have just found
	var open sync.WaitGroup
	for round := range 6 {
		shared := fmt.Sprintf("%08x", 0x5c1e0000+round)
		s.playRound(store, shared, &open)
		open.Wait()
		time.Sleep(5 * time.Second)
	}
	return len(store.unfinishedFetches), nil
}

// playRound plays a story that becomes known: its first two prompts come by two gateways half a second apart, many more half a second later.
func (s *scene) playRound(store *kvStore, shared string, open *sync.WaitGroup) {
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	send := func(g int) {
		open.Add(1)
		s.prompt(s.gateways[g], shared, open.Done)
	}
	send(0)
	at(460 * time.Millisecond)
	send(1)
	at(620 * time.Millisecond)
	if s.trouble {
		open.Add(1)
		go func() {
			defer open.Done()
			store.crash(200 * time.Millisecond)
		}()
	}
	for n := range 10 {
		at(860*time.Millisecond + time.Duration(n)*20*time.Millisecond)
		send(0)
	}
}

func (s *scene) promptConfiguration(store *kvStore) map[string]any {
	return map[string]any{"version": 1,
		"routes": []map[string]any{{"name": "r-sort", "hostname": "jars.example", "path_prefix": "/sort/", "kind": "streaming", "timeout_ms": 8000,
			"target_latency_ms": 600, "priority": 1, "service": "scribe-pool", "attempts": 2, "public": false, "session_affinity": true, "resumable": true,
			"gap_aim_ms": 300}},
		"services": []map[string]any{
			{"name": "card-cache", "kv_store_addr": store.address, "zone": store.zone, "kv_capacity": store.capacity, "link_mbps": store.linkMbps,
				"max_concurrent": 12, "managed": true, "first_ms": 6.0},
			{"name": "scribe-pool", "health_check": "/health", "max_connections": 370, "cold_start_s": 3.0, "cold_per_s": 33.0,
				"engine": map[string]any{"slots": engineSlots, "kv_capacity": 70494, "kv_token_bytes": store.tokenBytes, "link_mbps": 180000.0, "managed": true,
					"max_concurrent": 12, "models": []map[string]any{{"name": model}}}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "jeye930", "api_keys": []string{"key-1"}, "priority": 1}}}
}
