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

func sha256Hex(s string) string {
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
			{Name: "Org1", CredentialHash: sha256Hex(credential), Models: []string{"M"}, Services: []string{"Orders"}},
			{Name: "Small", CredentialHash: sha256Hex("small"), Models: []string{"M"}, RequestsPerSecond: 0.5},
			{Name: "Large", CredentialHash: sha256Hex("large"), Models: []string{"M"}, RequestsPerSecond: 1000},
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

// script is the result of one attempt: the messages, followed by err or, if that is nil and no message ended the stream, by a
// wait until the context ends.
type script struct {
	submitErr error // returned by Submit or Call itself
	messages  []wire.Message
	err       error
	onAttempt func() // called when the attempt is made, if not nil
}

func tokens(index int, text string) wire.Tokens {
	m := wire.Tokens{Index: index, Text: text}
	for i := range len(text) {
		m.Tokens = append(m.Tokens, uint32(text[i]))
	}
	return m
}

// fakeAgents is an implementation of caller.Agents that uses one script for each attempt, in order, whichever endpoint is the
// target. It records the targets and the messages.
type fakeAgents struct {
	mu        sync.Mutex
	scripts   []script
	submits   []wire.Submit
	calls     []wire.Call
	targets   []string
	cancelled chan struct{}
}

func (a *fakeAgents) nextScript(to agent.Target) script {
	a.targets = append(a.targets, to.Name)
	if len(a.scripts) == 0 {
		return script{submitErr: agent.ErrNotSent}
	}
	s := a.scripts[0]
	a.scripts = a.scripts[1:]
	if s.onAttempt != nil {
		s.onAttempt()
	}
	return s
}

func (a *fakeAgents) Submit(_ context.Context, to agent.Target, s wire.Submit) (caller.Stream, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.submits = append(a.submits, s)
	p := a.nextScript(to)
	return &fakeStream{script: p, agents: a}, p.submitErr
}

func (a *fakeAgents) Call(ctx context.Context, to agent.Target, c wire.Call) (wire.Message, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls = append(a.calls, c)
	p := a.nextScript(to)
	if p.submitErr != nil {
		return nil, p.submitErr
	}
	return (&fakeStream{script: p, agents: a}).Next(ctx)
}

type fakeStream struct {
	script script
	agents *fakeAgents
	ended  bool
}

func (s *fakeStream) Next(ctx context.Context) (wire.Message, error) {
	if len(s.script.messages) > 0 {
		m := s.script.messages[0]
		s.script.messages = s.script.messages[1:]
		_, s.ended = m.(wire.End)
		return m, nil
	}
	if s.script.err != nil {
		return nil, s.script.err
	}
	<-ctx.Done()
	return nil, fmt.Errorf("%w: %w", agent.ErrMayHaveArrived, context.Cause(ctx))
}

func (s *fakeStream) Cancel() {
	if !s.ended && s.agents.cancelled != nil {
		s.agents.cancelled <- struct{}{}
	}
}

// testServer is a handler that uses fakeAgents and whose log lines are recorded.
type testServer struct {
	*caller.Handler
	agents *fakeAgents
	mu     sync.Mutex
	log    []string
	is     *is.I
}

func newTestServer(t *testing.T, scripts ...script) *testServer {
	s := &testServer{agents: &fakeAgents{scripts: scripts}, is: is.New(t)}
	s.Handler = &caller.Handler{UnavailableWait: -1, BlockedWait: -1, Name: "Entry1", FailureDomain: "A", Agents: s.agents,
		Loads: routing.NewLoads(), Metrics: metrics.NewRegistry(), Budget: &retry.Budget{}, Log: funcr.New(func(_, args string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.log = append(s.log, args)
		}, funcr.Options{Verbosity: 9})}
	s.Apply(1, deployment())
	return s
}

// do sends a request with the credential of Org1 and further headers given as "Name: value".
func (s *testServer) do(method, path, body string, headers ...string) *httptest.ResponseRecorder {
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

// answerBody has the fields of completions, chat completions and error answers that the tests check.
type answerBody struct {
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

func (s *testServer) decodeBody(w *httptest.ResponseRecorder) (a answerBody) {
	s.is.NoErr(json.Unmarshal(w.Body.Bytes(), &a))
	return a
}

// parseEvents returns the data lines of an event stream and reports whether it contains an error event.
func parseEvents(body string) (data []string, failed bool) {
	for line := range strings.Lines(body) {
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			data = append(data, text)
		}
		failed = failed || strings.HasPrefix(line, "event: error")
	}
	return data, failed
}

// joinText returns the concatenated text of the events of a stream.
func joinText(data []string) (joined string) {
	for _, d := range data {
		var a answerBody
		if json.Unmarshal([]byte(d), &a) == nil {
			for _, c := range a.Choices {
				joined += c.Text + c.Delta.Content
			}
		}
	}
	return joined
}

func (s *testServer) logged(want string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.log, func(line string) bool { return strings.Contains(line, want) })
}

const prompt = `{"model":"M","prompt":"a story that returns","max_tokens":9}`
const streamedPrompt = `{"model":"M","prompt":"a story that returns","max_tokens":9,"stream":true,"stream_options":{"include_usage":true}}`

func completePrompt(s *testServer) *httptest.ResponseRecorder {
	return s.do(http.MethodPost, "/v1/completions", prompt)
}
