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

// The default request rates, in total over all clients.
const (
	DefaultWritesPerSecond = 500
	DefaultReadsPerSecond  = 2000
)

// maxWait bounds the time that a watch waits for a change.
const maxWait = time.Minute

// Server serves a Store over HTTP, with the faults that tests inject through Faults.
type Server struct {
	Store  Store
	Faults fault.Hook
	// Writes and Reads limit the request rates. A watch counts as one read, however long it waits. Set both before the server
	// serves requests.
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

// Ledger returns the latest calls, at most MaxLedger, oldest first.
func (s *Server) Ledger() []Call { return s.ledger.list() }

// Run serves on the listener until ctx is done or the listener fails, and closes the listener.
func (s *Server) Run(ctx context.Context, listener net.Listener) (err error) {
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: 5 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err = <-serveErr:
		return errors.Wrap(err, "platform stand-in")
	case <-ctx.Done():
	}
	s.Faults.ClearAll()
	// ClearAll has released paused requests and watches end with ctx, so only a delay whose rule has used up its Count can
	// exceed the grace period.
	graceCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if server.Shutdown(graceCtx) != nil {
		err = server.Close()
	}
	<-serveErr
	return errors.Wrap(err, "platform stand-in")
}

// Handler returns the HTTP interface, which applies the faults to all paths except /ledger and /fault.
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
		s.serve(w, s.Reads, Call{Operation: "List", Kind: path[1]}, func(c *Call) (response, error) {
			return response{json: s.Store.List(c.Kind, r.URL.Query().Get("Prefix"))}, nil
		})
	case len(path) == 2 && op == "watch GET":
		s.serve(w, s.Reads, Call{Operation: "Watch", Kind: path[1]}, s.watch(r))
	case len(path) == 1 && op == "instances GET":
		s.serve(w, s.Reads, Call{Operation: "Instances"}, func(*Call) (response, error) {
			return response{json: s.Store.Instances()}, nil
		})
	case len(path) == 1 && op == "instances PUT":
		s.setInstances(w, r)
	case len(path) == 1 && op == "ledger GET":
		writeResponse(w, http.StatusOK, response{json: s.Ledger()})
	default:
		http.Error(w, "no such route", http.StatusBadRequest)
	}
}

// response is the version and the body of an HTTP response. The body is json if that is set, and raw otherwise.
type response struct {
	version uint64
	raw     []byte
	json    any
}

// serve responds to a call with the result of handle, or with 429 if the rate limit refuses it, and adds the call to the
// ledger.
func (s *Server) serve(w http.ResponseWriter, limit *rate.Limiter, c Call, handle func(*Call) (response, error)) {
	c.At = time.Now()
	var resp response
	var err error
	if limit.Allow() {
		resp, err = handle(&c)
	} else {
		err = platform.ErrRateLimited
	}
	c.Status, c.Version = status(err), resp.version
	s.ledger.add(c)
	if c.Status == http.StatusServiceUnavailable || c.Status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", "1")
	}
	writeResponse(w, c.Status, resp)
}

func writeResponse(w http.ResponseWriter, status int, resp response) {
	if resp.version > 0 {
		w.Header().Set("Version", strconv.FormatUint(resp.version, 10))
	}
	if resp.json != nil {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(resp.json)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(status)
	_, _ = w.Write(resp.raw)
}

// status returns the HTTP status of an error, which is 400 if the error is none of those listed.
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

func (s *Server) get(c *Call) (response, error) {
	obj, err := s.Store.Get(c.Kind, c.Name)
	return response{version: obj.Version, raw: obj.Value}, err
}

func (s *Server) put(r *http.Request) func(*Call) (response, error) {
	return func(c *Call) (resp response, err error) {
		if c.Expected, err = strconv.ParseUint(r.Header.Get("If-Version"), 10, 64); err != nil {
			return response{}, errors.Wrap(err, "If-Version")
		}
		value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
		if err != nil {
			return response{}, err
		}
		resp.version, err = s.Store.Put(platform.Object{Kind: c.Kind, Name: c.Name, Version: c.Expected, Value: value})
		return resp, err
	}
}

func (s *Server) delete(r *http.Request) func(*Call) (response, error) {
	return func(c *Call) (resp response, err error) {
		if c.Expected, err = strconv.ParseUint(r.Header.Get("If-Version"), 10, 64); err != nil {
			return response{}, errors.Wrap(err, "If-Version")
		}
		return response{}, s.Store.Delete(c.Kind, c.Name, c.Expected)
	}
}

func (s *Server) watch(r *http.Request) func(*Call) (response, error) {
	return func(c *Call) (response, error) {
		after, err := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
		if err != nil {
			return response{}, errors.Wrap(err, "After")
		}
		wait, err := time.ParseDuration(r.URL.Query().Get("Wait"))
		if err != nil {
			return response{}, errors.Wrap(err, "Wait")
		}
		if fault.FromContext(r.Context()).Kind == fault.WatchGap {
			return response{json: platform.WatchReply{Revision: s.Store.Revision()}}, platform.ErrWatchGap
		}
		events, revision, err := s.Store.Watch(r.Context(), c.Kind, after, min(wait, maxWait))
		if err == nil && s.Faults.Active(fault.Outage, r.Method, r.URL.Path) {
			// If an outage is active when the wait ends, the watch fails like a new request.
			return response{}, platform.ErrUnavailable
		}
		return response{json: platform.WatchReply{Events: events, Revision: revision}}, err
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
