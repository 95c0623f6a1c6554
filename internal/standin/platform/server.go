package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/standin/fault"
)

// The rates that the platform bears in all.
const (
	DefaultWritesPerSecond = 500
	DefaultReadsPerSecond  = 2000
)

// maxWait bounds the wait of a watch.
const maxWait = time.Minute

// Server serves a Store over HTTP.
type Server struct {
	Store  Store
	Faults fault.Hook
	// Writes and Reads bound the rates. A waiting watch counts as one read. Set before Run.
	Writes *rate.Limiter
	Reads  *rate.Limiter

	ledger ledger
}

// NewServer returns a server with the default rates.
func NewServer() *Server {
	return &Server{
		Writes: rate.NewLimiter(DefaultWritesPerSecond, DefaultWritesPerSecond),
		Reads:  rate.NewLimiter(DefaultReadsPerSecond, DefaultReadsPerSecond),
	}
}

// Ledger returns the latest calls, oldest first.
func (s *Server) Ledger() []Call { return s.ledger.list() }

// Run serves until ctx is done and closes the listener.
func (s *Server) Run(ctx context.Context, listener net.Listener) (err error) {
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: 5 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err = <-served:
		return errors.Wrap(err, "platform stand-in")
	case <-ctx.Done():
	}
	s.Faults.ClearAll()
	// Held requests were released above and waiting watches end with ctx, so the grace is not used up.
	grace, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if server.Shutdown(grace) != nil {
		err = server.Close()
	}
	<-served
	return errors.Wrap(err, "platform stand-in")
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	return s.Faults.Wrap(http.HandlerFunc(s.route), "/ledger")
}

func (s *Server) route(w http.ResponseWriter, r *http.Request) {
	path := strings.Split(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	for i := range path {
		part, err := url.PathUnescape(path[i])
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		path[i] = part
	}
	op := path[0] + " " + r.Method
	switch {
	case len(path) == 3 && op == "objects GET":
		s.serve(w, s.Reads, Call{Operation: "Get", Kind: path[1], Name: path[2]}, s.get)
	case len(path) == 3 && op == "objects PUT":
		s.serve(w, s.Writes, Call{Operation: "Put", Kind: path[1], Name: path[2]}, s.put(r))
	case len(path) == 3 && op == "objects DELETE":
		s.serve(w, s.Writes, Call{Operation: "Delete", Kind: path[1], Name: path[2]}, s.delete(r))
	case len(path) == 2 && op == "objects GET":
		s.serve(w, s.Reads, Call{Operation: "List", Kind: path[1]}, func(c *Call) (reply, error) {
			return reply{json: s.Store.List(c.Kind, r.URL.Query().Get("Prefix"))}, nil
		})
	case len(path) == 2 && op == "watch GET":
		s.serve(w, s.Reads, Call{Operation: "Watch", Kind: path[1]}, s.watch(r))
	case len(path) == 1 && op == "instances GET":
		s.serve(w, s.Reads, Call{Operation: "Instances"}, func(*Call) (reply, error) {
			return reply{json: s.Store.Instances()}, nil
		})
	case len(path) == 1 && op == "instances PUT":
		s.setInstances(w, r)
	case len(path) == 1 && op == "ledger GET":
		writeReply(w, http.StatusOK, reply{json: s.Ledger()})
	default:
		http.Error(w, "no such route", http.StatusBadRequest)
	}
}

// reply is the content of a response: a version, and raw bytes or JSON.
type reply struct {
	version uint64
	raw     []byte
	json    any
}

func (s *Server) serve(w http.ResponseWriter, limit *rate.Limiter, c Call, run func(*Call) (reply, error)) {
	c.At = time.Now()
	var content reply
	var err error
	if limit.Allow() {
		content, err = run(&c)
	} else {
		err = platform.ErrRateLimited
	}
	c.Status, c.Version = status(err), content.version
	s.ledger.add(c)
	if c.Status == http.StatusServiceUnavailable || c.Status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", "1")
	}
	writeReply(w, c.Status, content)
}

func writeReply(w http.ResponseWriter, status int, content reply) {
	if content.version > 0 {
		w.Header().Set("Version", strconv.FormatUint(content.version, 10))
	}
	if content.json != nil {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(content.json)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(status)
	_, _ = w.Write(content.raw)
}

func status(err error) int {
	for _, c := range []struct {
		err    error
		status int
	}{
		{nil, http.StatusOK},
		{platform.ErrNotFound, http.StatusNotFound},
		{platform.ErrConflict, http.StatusConflict},
		{platform.ErrTooLarge, http.StatusRequestEntityTooLarge},
		{platform.ErrWatchGap, http.StatusGone},
		{platform.ErrRateLimited, http.StatusTooManyRequests},
		{platform.ErrUnavailable, http.StatusServiceUnavailable},
	} {
		if errors.Is(err, c.err) {
			return c.status
		}
	}
	return http.StatusBadRequest
}

func (s *Server) get(c *Call) (reply, error) {
	obj, err := s.Store.Get(c.Kind, c.Name)
	return reply{version: obj.Version, raw: obj.Value}, err
}

func (s *Server) put(r *http.Request) func(*Call) (reply, error) {
	return func(c *Call) (content reply, err error) {
		if c.Expected, err = strconv.ParseUint(r.Header.Get("If-Version"), 10, 64); err != nil {
			return reply{}, errors.Wrap(err, "If-Version")
		}
		value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
		if err != nil {
			return reply{}, err
		}
		content.version, err = s.Store.Put(platform.Object{Kind: c.Kind, Name: c.Name, Version: c.Expected, Value: value})
		return content, err
	}
}

func (s *Server) delete(r *http.Request) func(*Call) (reply, error) {
	return func(c *Call) (content reply, err error) {
		if c.Expected, err = strconv.ParseUint(r.Header.Get("If-Version"), 10, 64); err != nil {
			return reply{}, errors.Wrap(err, "If-Version")
		}
		return reply{}, s.Store.Delete(c.Kind, c.Name, c.Expected)
	}
}

func (s *Server) watch(r *http.Request) func(*Call) (reply, error) {
	return func(c *Call) (reply, error) {
		after, err := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
		if err != nil {
			return reply{}, errors.Wrap(err, "After")
		}
		wait, err := time.ParseDuration(r.URL.Query().Get("Wait"))
		if err != nil {
			return reply{}, errors.Wrap(err, "Wait")
		}
		if fault.FromContext(r.Context()).Kind == fault.WatchGap {
			return reply{json: platform.WatchReply{Revision: s.Store.Revision()}}, platform.ErrWatchGap
		}
		events, revision, err := s.Store.Watch(r.Context(), c.Kind, after, min(wait, maxWait))
		if err == nil && s.Faults.Active(fault.Outage, r.Method, r.URL.Path) {
			// An outage that began while the watch waited ends it without events.
			return reply{}, platform.ErrUnavailable
		}
		return reply{json: platform.WatchReply{Events: events, Revision: revision}}, err
	}
}

func (s *Server) setInstances(w http.ResponseWriter, r *http.Request) {
	var instances []platform.Instance
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 16<<20)).Decode(&instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Store.SetInstances(instances)
}
