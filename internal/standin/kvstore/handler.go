package kvstore

import (
	"encoding/json"
	"io"
	"net/http"

	store "primrosecourse/internal/process/kvstore"
)

// maxLookupIDs bounds the identities in one lookup.
const maxLookupIDs = 4096

// Handler returns the HTTP interface that package internal/process/kvstore documents.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /blocks/{ID}", s.servePut)
	mux.HandleFunc("GET /blocks/{ID}", s.serveGet)
	mux.HandleFunc("DELETE /blocks/{ID}", s.serveDelete)
	mux.HandleFunc("POST /blocks/lookup", s.serveLookup)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.status()) })
	return mux
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.MemoryBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInsufficientStorage)
		return
	}
	if err := s.transfer(r.Context(), len(data)); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	checksum := r.Header.Get(store.HeaderChecksum)
	if checksum != store.Checksum(data) {
		http.Error(w, "checksum does not match the bytes", http.StatusBadRequest)
		return
	}
	b := store.Block{
		ID:           r.PathValue("ID"),
		Organisation: r.Header.Get(store.HeaderOrganisation),
		Version:      r.Header.Get(store.HeaderVersion),
		Bytes:        data,
	}
	if !s.put(b, checksum) {
		http.Error(w, "store is full", http.StatusInsufficientStorage)
	}
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	b, ok := s.get(r.PathValue("ID"))
	if !ok {
		http.Error(w, "no such block", http.StatusNotFound)
		return
	}
	if err := s.transfer(r.Context(), len(b.block.Bytes)); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	h := w.Header()
	h.Set(store.HeaderOrganisation, b.block.Organisation)
	h.Set(store.HeaderVersion, b.block.Version)
	h.Set(store.HeaderChecksum, b.checksum)
	h.Set(store.HeaderTier, b.tierName())
	h.Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(b.block.Bytes) // an error means that the client has disconnected
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	if !s.remove(r.PathValue("ID")) {
		http.Error(w, "no such block", http.StatusNotFound)
	}
}

func (s *Store) serveLookup(w http.ResponseWriter, r *http.Request) {
	var ids []string
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&ids); err != nil || len(ids) > maxLookupIDs {
		http.Error(w, "body must be a JSON list of at most 4096 identities", http.StatusBadRequest)
		return
	}
	writeJSON(w, s.lookup(ids))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the client has disconnected
}
