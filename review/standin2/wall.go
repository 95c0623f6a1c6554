//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// playWall makes a tenant dedicated whose requests have made parts that other tenants use, too.
func playWall(s *scene) (broken int, err error) {
	store := newKVStore(s.record, "a")
	address, err := s.serve(store, store.connContext)
	if err != nil {
		return 0, err
	}
	store.address = address.String()
	w := &wall{record: s.record}
	zones := []string{"a", "b", "c"}
	for i := range 3 {
		e := newEngine(s.record, fmt.Sprintf("i-%02d", i), zones[i], 56.6, map[string]*kvStore{store.address: store})
		e.used = w.used
		if e.address, err = s.serve(e, nil); err != nil {
			return 0, err
		}
		s.store.Put("servers", e.id, e.entry("scribe-pool", 1))
	}
	first, second := tenant{"jeye930", "key-1", false}, tenant{"bago260", "key-2", false}
	s.store.Put("versions", model, map[string]any{"model": model, "version": 1})
	s.store.Put("config", "main", promptConfiguration(store, 1, first, second))
	if _, err = s.startGateway("edge-a-1", "a"); err != nil {
		return 0, err
	}
	if err = s.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)
	const shared = "5c1e07a2"
	s.prompts(first.key, shared)
	if s.trouble {
		first.dedicated = true
		s.store.Put("config", "main", promptConfiguration(store, 3, first, second))
		w.dedicate(first.name)
		s.record.line("configuration 3 is acknowledged: %s is dedicated", first.name)
	}
	time.Sleep(5 * time.Second) // config_apply_ms is 2,000
	for range 3 {
		s.prompts(second.key, shared)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broken, nil
}

// prompts sends four prompts with the same shared part one after the other.
func (s *scene) prompts(key, shared string) {
	for range 4 {
		var open sync.WaitGroup
		open.Add(1)
		s.prompt(s.gateways[0], key, shared, open.Done)
		open.Wait()
	}
}

// wall counts the requests that use parts which a request of another tenant made, if one of the two is dedicated.
type wall struct {
	record    *record
	mu        sync.Mutex
	dedicated string
	broken    int
}

func (w *wall) dedicate(tenant string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dedicated = tenant
}

func (w *wall) used(request, tenant string, key partKey, maker string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if tenant != maker && w.dedicated != "" && (tenant == w.dedicated || maker == w.dedicated) {
		w.broken++
		w.record.line("BROKEN: %s of %s uses part %s under %q, which a request of %s made", request, tenant, key.id, key.salt, maker)
		return
	}
	w.record.line("%s of %s uses part %s under %q, which a request of %s made", request, tenant, key.id, key.salt, maker)
}
