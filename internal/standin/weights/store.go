package weights

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// steps is the number of parts in which a load passes; the rate is computed anew for each.
const steps = 20

// Ledger counts the loads.
type Ledger struct {
	Loads      int
	Running    int
	MostAtOnce int
}

// Store is the stand-in. Set the exported fields before the first call of Handler.
type Store struct {
	// LoadTime is the time of one load while at most Parallel run. Default 900 ms.
	LoadTime time.Duration
	// Parallel is the number of loads at full speed. Default 2.
	Parallel int

	mu     sync.Mutex
	ledger Ledger
}

// New returns a store with default settings.
func New() *Store { return &Store{LoadTime: 900 * time.Millisecond, Parallel: 2} }

// Handler returns the HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{Model}/{Version}", s.serveLoad)
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Ledger()) // a reader that went away needs no answer
	})
	return mux
}

// Ledger returns the counts so far.
func (s *Store) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger
}

func (s *Store) serveLoad(w http.ResponseWriter, r *http.Request) {
	s.begin()
	defer s.end()
	for range steps {
		select {
		case <-time.After(s.stepTime()):
		case <-r.Context().Done():
			return
		}
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Store) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Loads++
	s.ledger.Running++
	s.ledger.MostAtOnce = max(s.ledger.MostAtOnce, s.ledger.Running)
}

func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Running--
}

// stepTime returns the duration of the next part of a load at the present number of loads.
func (s *Store) stepTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := s.LoadTime / steps
	if s.ledger.Running <= s.Parallel {
		return step
	}
	return step * time.Duration(s.ledger.Running) / time.Duration(s.Parallel)
}
