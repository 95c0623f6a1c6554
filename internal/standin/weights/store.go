package weights

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// loadSteps is the number of steps of a load. The duration of each step depends on the number of loads at its start.
const loadSteps = 20

// Ledger counts the loads: all that started, those in progress, and the maximum in progress at the same time.
type Ledger struct {
	Loads      int
	Running    int
	MostAtOnce int
}

// Store is a weight store without data, created by New. Set the exported fields before it serves requests.
type Store struct {
	// LoadTime is the duration of a load while at most Parallel loads are in progress. Default 900 ms.
	LoadTime time.Duration
	// Parallel is the number of concurrent loads that run at full speed. Default 2.
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
		_ = json.NewEncoder(w).Encode(s.Ledger()) // an error means that the client has disconnected
	})
	return mux
}

// Ledger returns the current counts.
func (s *Store) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger
}

func (s *Store) serveLoad(w http.ResponseWriter, r *http.Request) {
	s.begin()
	defer s.end()
	for range loadSteps {
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

// stepTime returns the duration of the next step of a load with the current number of loads.
func (s *Store) stepTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := s.LoadTime / loadSteps
	if s.ledger.Running <= s.Parallel {
		return step
	}
	return step * time.Duration(s.ledger.Running) / time.Duration(s.Parallel)
}
