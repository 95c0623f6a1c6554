package main

import (
	"fmt"
	"net/http/httptest"
	"sync"
	"time"
)

const (
	storyTokens  = 12800
	ownTokens    = 4260
	fillerTokens = 20000
	stories      = 4
	engines      = 6
	// darkTime is how long the store is away.
	darkTime = time.Second
)

// polls knows which connections wait for events at the store.
type polls struct {
	mu      sync.Mutex
	waiting map[string]time.Time
}

func (p *polls) arrived(path, conn string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if path == "/primrosecourse/kv-events" {
		p.waiting[conn] = time.Now()
	}
}

// answered removes a connection and reports whether just one other connection waits, since a moment ago.
func (p *polls) answered(conn string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.waiting[conn]; !ok {
		return false
	}
	delete(p.waiting, conn)
	for _, since := range p.waiting {
		return len(p.waiting) == 1 && time.Since(since) < 600*time.Millisecond
	}
	return false
}

// storeRestart plays a KV store that loses power for a second and returns empty. One gateway learns of it sooner than the other. It has
// parts saved again while the other still has them fetched.
func storeRestart(w *world) (broken bool, err error) {
	waits := &polls{waiting: map[string]time.Time{}}
	store := &kvStore{log: eventLog{epoch: 77120}, parts: map[partKey]*storedPart{}, capacity: 634412, mbps: 42000, first: 6 * time.Millisecond,
		calls: waits.arrived}
	storeServer := httptest.NewServer(store)
	defer storeServer.CloseClientConnections()
	nic, err := newLink("127.0.0.1:0", storeServer.Listener.Addr().String())
	if err != nil {
		return false, err
	}
	w.objects.put("config", "main", engineConfig(7, nic.addr()))
	w.objects.put("versions", modelName, map[string]any{"model": modelName, "version": 1})
	var fleet []*engine
	for i := range engines {
		e := &engine{id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), zone: "gauteng-a", store: store, storeAddr: nic.addr(), notes: w.notes,
			pause: 4 * time.Millisecond, log: eventLog{epoch: uint64(1000 + i)}, capacity: 70494}
		server := httptest.NewServer(e)
		defer server.CloseClientConnections()
		fleet = append(fleet, e)
		w.objects.put("servers", e.id, map[string]any{"service": "huvo11a", "address": server.Listener.Addr().String(), "zone": e.zone,
			"version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0, "stage": "both", "models": e.models(), "sequence": 4, "born": bornMs})
	}
	for n := range 2 {
		g, err := w.newGateway(n+1, 284)
		if err != nil {
			return false, err
		}
		w.gateways = append(w.gateways, g)
		if err := g.start(); err != nil {
			return false, err
		}
	}
	// The gateways count each other after their next list of members.
	time.Sleep(6 * time.Second)
	story := func(i int) string { return fmt.Sprintf("5c1e07%02x", i) }
	w.notes.add("each story is read and saved to the store")
	for i := range stories {
		w.send(w.gateways[0], storyRequest(story(i), 10000+i))
	}
	w.notes.add("other prompts push the stories out of the servers' memory")
	var others sync.WaitGroup
	for i := range 5 * engines {
		r := newRequest(fmt.Sprintf("fa%04x", i), fillerTokens, 20000+i)
		others.Go(func() { w.send(w.gateways[i%2], r) })
		time.Sleep(100 * time.Millisecond)
	}
	others.Wait()
	time.Sleep(1500 * time.Millisecond)
	for i := range stories {
		if !wholeAnywhere(store, story(i)) {
			return false, fmt.Errorf("story %d is not in the store", i)
		}
	}
	if w.trouble {
		if err := silentRestart(w, store, nic, waits); err != nil {
			return false, err
		}
	}
	time.Sleep(60 * time.Millisecond)
	// Clients of both gateways ask for the stories. Which gateway has a story saved shows at the store; clients of the other one follow.
	var clients sync.WaitGroup
	for i := range stories {
		clients.Go(func() {
			for range 60 {
				if beingWritten(store, story(i)) {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			for n := range 3 {
				clients.Go(func() { w.send(w.gateways[(i+1)%2], storyRequest(story(i), 100*i+n+1)) })
			}
		})
		clients.Go(func() { w.send(w.gateways[i%2], storyRequest(story(i), 100*i)) })
	}
	clients.Wait()
	for _, e := range fleet {
		broken = broken || e.breaches() > 0
	}
	return broken, nil
}

// silentRestart makes the store dark just after it answered one gateway and before that asks again, while the other one waits.
func silentRestart(w *world, store *kvStore, nic *link, waits *polls) error {
	struck := make(chan struct{})
	var once sync.Once
	nic.answering = func(conn string) {
		if waits.answered(conn) {
			once.Do(func() {
				nic.goDark()
				store.stop()
				close(struck)
			})
		}
	}
	select {
	case <-struck:
	case <-time.After(20 * time.Second):
		return fmt.Errorf("the gateways never asked at different times")
	}
	w.notes.add("the store has lost power")
	time.Sleep(darkTime)
	store.start()
	nic.comeBack()
	w.notes.add("the store is back and empty")
	return nil
}

func wholeAnywhere(s *kvStore, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, p := range s.parts {
		if key.id == id && p.whole {
			return true
		}
	}
	return false
}

func beingWritten(s *kvStore, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, p := range s.parts {
		if key.id == id && !p.whole {
			return true
		}
	}
	return false
}

func storyRequest(part string, serial int) request { return newRequest(part, storyTokens, serial) }

// newRequest returns a request whose prompt begins with a shared part and ends with one of its own.
func newRequest(part string, tokens, serial int) request {
	return request{id: fmt.Sprintf("9c41d07b%08x", serial), path: "/puxa400/2f", prefix: fmt.Sprintf("%s:%d,%x:%d", part, tokens, 0xe0000000+serial, ownTokens),
		tokens: tokens + ownTokens, body: "story"}
}
