package caller_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"primrosecourse/internal/connection/agent"
	"primrosecourse/internal/request/caller"
	"primrosecourse/pkg/retry"
	"primrosecourse/pkg/routing"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const credential = "secret-of-Org1"

func hash(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

func deployment() *settings.Deployment {
	d := &settings.Deployment{
		Site:           "Test",
		FailureDomains: []settings.FailureDomain{{Name: "A", Region: "R"}, {Name: "B", Region: "R"}, {Name: "C", Region: "R"}},
		Models:         []settings.Model{{Name: "M", Version: "v1", BlockTokens: 4}, {Name: "Other", Version: "v1"}},
		Services:       []settings.Service{{Name: "Orders"}, {Name: "Proofs"}},
		Organisations: []settings.Organisation{
			{Name: "Org1", CredentialHash: hash(credential), Models: []string{"M"}, Services: []string{"Orders"}},
			{Name: "Small", CredentialHash: hash("small"), Models: []string{"M"}, RequestsPerSecond: 0.5},
			{Name: "Large", CredentialHash: hash("large"), Models: []string{"M"}, RequestsPerSecond: 1000},
			{Name: "NoHash"},
		},
	}
	for i, domain := range []string{"A", "B", "C"} {
		d.Endpoints = append(d.Endpoints,
			settings.Endpoint{Name: fmt.Sprint("Model", i), FailureDomain: domain, Model: "M"},
			settings.Endpoint{Name: fmt.Sprint("Orders", i), FailureDomain: domain, Service: "Orders", Kind: settings.ServiceEndpoint})
	}
	return d
}

// script is what one attempt gives: messages, then the error, or an endless wait if there is none after the last message.
type script struct {
	refuse error // of Submit itself
	list   []wire.Message
	err    error
	then   func() // called when the attempt is made
}

func tokens(index int, text string) wire.Tokens {
	m := wire.Tokens{Index: index, Text: text}
	for i := range len(text) {
		m.Tokens = append(m.Tokens, uint32(text[i]))
	}
	return m
}

// agents plays one script for each attempt, in order, whichever endpoint it goes to.
type agents struct {
	mu        sync.Mutex
	scripts   []script
	submits   []wire.Submit
	calls     []wire.Call
	targets   []string
	cancelled chan struct{}
}

func (a *agents) play(to agent.Target) script {
	a.targets = append(a.targets, to.Name)
	if len(a.scripts) == 0 {
		return script{refuse: agent.ErrNotSent}
	}
	s := a.scripts[0]
	a.scripts = a.scripts[1:]
	if s.then != nil {
		s.then()
	}
	return s
}

func (a *agents) Submit(_ context.Context, to agent.Target, s wire.Submit) (caller.Stream, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.submits = append(a.submits, s)
	p := a.play(to)
	return &stream{script: p, agents: a}, p.refuse
}

func (a *agents) Call(ctx context.Context, to agent.Target, c wire.Call) (wire.Message, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls = append(a.calls, c)
	p := a.play(to)
	if p.refuse != nil {
		return nil, p.refuse
	}
	return (&stream{script: p, agents: a}).Next(ctx)
}

type stream struct {
	script script
	agents *agents
	ended  bool
}

func (s *stream) Next(ctx context.Context) (wire.Message, error) {
	if len(s.script.list) > 0 {
		m := s.script.list[0]
		s.script.list = s.script.list[1:]
		_, s.ended = m.(wire.End)
		return m, nil
	}
	if s.script.err != nil {
		return nil, s.script.err
	}
	<-ctx.Done()
	return nil, fmt.Errorf("%w: %w", agent.ErrMayHaveArrived, context.Cause(ctx))
}

func (s *stream) Cancel() {
	if !s.ended && s.agents.cancelled != nil {
		s.agents.cancelled <- struct{}{}
	}
}

// site is a handler on fake agents that collects its log.
type site struct {
	*caller.Handler
	agents *agents
	mu     sync.Mutex
	log    []string
	is     *is.I
}

func newSite(t *testing.T, scripts ...script) *site {
	s := &site{agents: &agents{scripts: scripts}, is: is.New(t)}
	s.Handler = &caller.Handler{ReachPatience: -1, TurnPatience: -1, Name: "Entry1", FailureDomain: "A", Agents: s.agents, Loads: routing.NewLoads(),
		Metrics: metrics.NewRegistry(), Budget: &retry.Budget{}, Log: funcr.New(func(_, args string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.log = append(s.log, args)
		}, funcr.Options{Verbosity: 9})}
	s.Apply(1, deployment())
	return s
}

// do sends a request with the credential of Org1 and further headers given as "Name: value".
func (s *site) do(method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+credential)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

type answered struct {
	Status          int
	Outcome, Reason string
	ID, Object      string
	Choices         []struct {
		Text           string
		Message, Delta struct{ Role, Content string }
		FinishReason   string `json:"finish_reason"`
	}
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
		Details          struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	}
}

func (s *site) body(w *httptest.ResponseRecorder) (a answered) {
	s.is.NoErr(json.Unmarshal(w.Body.Bytes(), &a))
	return a
}

// events splits a stream into its data lines and tells whether an error event came.
func events(body string) (data []string, failed bool) {
	for line := range strings.Lines(body) {
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			data = append(data, text)
		}
		failed = failed || strings.HasPrefix(line, "event: error")
	}
	return data, failed
}

// text joins the text of a stream.
func text(data []string) (all string) {
	for _, d := range data {
		var a answered
		if json.Unmarshal([]byte(d), &a) == nil {
			for _, c := range a.Choices {
				all += c.Text + c.Delta.Content
			}
		}
	}
	return all
}

func (s *site) logged(want string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.log, func(line string) bool { return strings.Contains(line, want) })
}

const prompt = `{"model":"M","prompt":"a story that returns","max_tokens":9}`
const streamed = `{"model":"M","prompt":"a story that returns","max_tokens":9,"stream":true,"stream_options":{"include_usage":true}}`

func completePrompt(s *site) *httptest.ResponseRecorder {
	return s.do(http.MethodPost, "/v1/completions", prompt)
}
