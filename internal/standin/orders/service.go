package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"primrosecourse/internal/standin/fault"
)

// maxBodyBytes bounds the body of an order.
const maxBodyBytes = 1 << 20

// Run is the ledger entry of one run of an order. Key is its idempotency key.
type Run struct {
	Key  string
	Body string
	At   time.Time
}

// Service runs orders and records them in a ledger. Its zero value is ready to use. Set Latency before the
// service receives orders.
type Service struct {
	// Latency is the delay between the arrival of an order and its run.
	Latency time.Duration
	// Faults injects faults into the calls that Handler serves. With fault.ReplyLost the order runs before its response is
	// lost; with fault.Refuse, fault.Outage and fault.RateLimit it does not run.
	Faults fault.Hook

	mu     sync.Mutex
	ledger []Run
}

// Handler returns the HTTP interface, which applies the faults to all paths except /ledger and /fault.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", s.serveOrder)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, struct{ Runs int }{len(s.Ledger())})
	})
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Ledger())
	})
	return s.Faults.Wrap(mux, "/ledger")
}

// Ledger returns the runs so far, oldest first.
func (s *Service) Ledger() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.ledger...)
}

// Order runs an order and returns the number of the run, from 1. If ctx is done within Latency, the order does not run.
func (s *Service) Order(ctx context.Context, key, body string) (number int, err error) {
	if s.Latency > 0 {
		select {
		case <-time.After(s.Latency):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger = append(s.ledger, Run{Key: key, Body: body, At: time.Now().UTC()})
	return len(s.ledger), nil
}

func (s *Service) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	number, err := s.Order(r.Context(), r.Header.Get("Idempotency-Key"), string(body))
	if err != nil {
		return // the client has disconnected
	}
	w.Header().Set("Location", fmt.Sprintf("/orders/%d", number))
	writeJSON(w, http.StatusCreated, struct{ Number int }{number})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the client has disconnected
}
