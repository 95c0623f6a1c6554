package fault

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// AdminPath is the path of the admin interface. Rules do not apply to it.
const AdminPath = "/fault"

// maxBodyBytes bounds the body of a request, which is read before the rules apply.
const maxBodyBytes = 8 << 20

type ruleKey struct{}

// FromContext returns the rule that applies to the request with this context, or a rule of kind None.
func FromContext(ctx context.Context) Rule {
	r, _ := ctx.Value(ruleKey{}).(Rule)
	return r
}

// Wrap returns a handler that applies the rules to requests before it passes them to next, and that serves the admin
// interface. Rules do not apply to exemptPaths, in which a stand-in lists its own admin routes.
func (h *Hook) Wrap(next http.Handler, exemptPaths ...string) http.Handler {
	exempt := map[string]bool{}
	for _, path := range exemptPaths {
		exempt[path] = true
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == AdminPath:
			h.admin(w, r)
		case exempt[r.URL.Path]:
			next.ServeHTTP(w, r)
		default:
			h.serve(w, r, next)
		}
	})
}

func (h *Hook) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	// The body is read first, since the client may have disconnected when a paused or delayed request continues.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	rule, err := h.Before(context.WithoutCancel(r.Context()), r.Method, r.URL.Path)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if (rule.Kind == Pause || rule.Kind == Delay) && r.Method != http.MethodGet {
		// The write arrived completely, so it takes effect even if the client has disconnected.
		r = r.WithContext(context.WithoutCancel(r.Context()))
	}
	r = r.WithContext(context.WithValue(r.Context(), ruleKey{}, rule))
	switch rule.Kind {
	case Outage:
		respond(w, rule, http.StatusServiceUnavailable)
	case RateLimit:
		respond(w, rule, http.StatusTooManyRequests)
	case Refuse:
		if rule.Status == 0 {
			panic(http.ErrAbortHandler)
		}
		respond(w, rule, rule.Status)
	case ReplyLost:
		next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(w, r)
	}
}

func respond(w http.ResponseWriter, rule Rule, status int) {
	if rule.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(rule.RetryAfter/time.Second)))
	}
	http.Error(w, "fault: "+rule.Kind.String(), status)
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}

// Flush implements http.Flusher, for handlers that stream their response.
func (d *discardWriter) Flush() {}

func (h *Hook) admin(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		writeJSON(w, h.Rules())
	case http.MethodPost:
		var rule Rule
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&rule); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, struct{ ID int }{h.Set(rule)})
	case http.MethodDelete:
		if !r.URL.Query().Has("ID") {
			h.ClearAll()
			return
		}
		id, err := strconv.Atoi(r.URL.Query().Get("ID"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		h.Clear(id)
	default:
		http.Error(w, "GET, POST or DELETE", http.StatusMethodNotAllowed)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
