package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// objectStore is a stand-in of the platform's metadata store.
type objectStore struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]*storedObject
	history  []storedEvent
	changed  chan struct{}
}

type storedObject struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storedEvent struct {
	kind     string
	revision uint64
	at       time.Time
	object   storedObject
	removed  bool
}

// historyTime is history_s of the sheet.
const historyTime = 20 * time.Second

func newObjectStore() *objectStore {
	return &objectStore{revision: 1, kinds: map[string]map[string]*storedObject{}, changed: make(chan struct{})}
}

// put writes an object as the operator or a server does.
func (s *objectStore) put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, encoded)
}

// set must be called with mu held.
func (s *objectStore) set(kind, name string, spec json.RawMessage) storedObject {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*storedObject{}
	}
	o := s.kinds[kind][name]
	if o != nil && string(o.Spec) == string(spec) {
		return *o
	}
	s.revision++
	if o == nil {
		o = &storedObject{}
		o.Metadata.Name, o.Metadata.Created, o.Metadata.Finalizers = name, s.revision, []string{}
		s.kinds[kind][name] = o
	}
	o.Spec, o.Metadata.Revision = spec, s.revision
	s.record(kind, *o, false)
	return *o
}

// record must be called with mu held.
func (s *objectStore) record(kind string, o storedObject, removed bool) {
	now := time.Now()
	s.history = append(s.history, storedEvent{kind, s.revision, now, o, removed})
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/primrosecourse/objects/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	time.Sleep(4 * time.Millisecond)
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.read(w, r, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *objectStore) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		if o := s.kinds[kind][name]; o != nil {
			answer(w, http.StatusOK, o)
			return
		}
		answer(w, http.StatusNotFound, nil)
		return
	}
	names := []string{}
	for n := range s.kinds[kind] {
		if n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	items := []*storedObject{}
	for _, n := range names {
		items = append(items, s.kinds[kind][n])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": s.revision})
}

func (s *objectStore) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(ms) * time.Millisecond)
	for waited := false; ; {
		s.mu.Lock()
		if len(s.history) > 0 && after < s.history[0].revision-1 {
			s.mu.Unlock()
			answer(w, http.StatusGone, nil)
			return
		}
		events := []map[string]any{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, map[string]any{"object": e.object, "removed": e.removed})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || waited {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-deadline:
			waited = true
		}
	}
}

func (s *objectStore) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in storedObject
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			answer(w, http.StatusBadRequest, nil)
			return
		}
	}
	expected := in.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	switch {
	case o == nil && r.Method != http.MethodPost:
		answer(w, http.StatusNotFound, nil)
	case o != nil && (r.Method == http.MethodPost || (expected != 0 && expected != o.Metadata.Revision)):
		answer(w, http.StatusConflict, o)
	case r.Method == http.MethodDelete:
		delete(s.kinds[kind], name)
		s.revision++
		removed := *o
		removed.Metadata.Revision = s.revision
		s.record(kind, removed, true)
		answer(w, http.StatusOK, nil)
	default:
		answer(w, http.StatusOK, s.set(kind, name, in.Spec))
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		fmt.Fprintln(w)
	}
}
