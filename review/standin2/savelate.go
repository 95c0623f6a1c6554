//go:build review

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
	s.store.Put("config", "main", promptConfiguration(store, 1, tenant{"jeye930", "key-1", false}))
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
		s.prompt(s.gateways[g], "key-1", shared, open.Done)
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
