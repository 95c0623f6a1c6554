package caller_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"primrosecourse/internal/connection/agent"
	"primrosecourse/pkg/retry"
	"primrosecourse/pkg/wire"
)

var (
	accepted = wire.Accepted{CachedTokens: 8}
	errLost  = fmt.Errorf("%w: connection reset", agent.ErrMayHaveArrived)
	whole    = script{list: []wire.Message{accepted, tokens(0, "one "), tokens(4, "two"), wire.End{Finish: wire.FinishStop}}}
)

func refused(r wire.Reason) script { return script{list: []wire.Message{wire.Refused{Reason: r}}} }

// Guards against answers that clients of this interface cannot read.
func TestShapes(t *testing.T) {
	for _, test := range []struct {
		name, path, body, object, head string
		prompt                         int
	}{
		{"completion", "/v1/completions", prompt, "text_completion", "cmpl-", 20},
		{"tokens", "/v1/completions", `{"model":"M","prompt":[1,2,3,4,5,6,7,8,9],"new_field":{}}`, "text_completion", "cmpl-", 9},
		{"chat", "/v1/chat/completions", `{"model":"M","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`,
			"chat.completion", "chatcmpl-", 26},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, whole, whole)
			w := s.do("POST", test.path, test.body)
			s.is.Equal(w.Code, 200)
			a := s.body(w)
			s.is.Equal(a.Object, test.object)
			s.is.True(strings.HasPrefix(a.ID, test.head))
			s.is.Equal(a.Choices[0].Text+a.Choices[0].Message.Content, "one two")
			s.is.Equal(a.Choices[0].FinishReason, "stop")
			s.is.Equal([]int{a.Usage.PromptTokens, a.Usage.CompletionTokens, a.Usage.TotalTokens, a.Usage.Details.Cached},
				[]int{test.prompt, 7, test.prompt + 7, 8})
			w = s.do("POST", test.path, strings.Replace(test.body, "{", `{"stream":true,"stream_options":{"include_usage":true},`, 1))
			s.is.Equal(w.Header().Get("Content-Type"), "text/event-stream")
			data, failed := events(w.Body.String())
			s.is.True(!failed)
			s.is.Equal(text(data), "one two")
			s.is.Equal(data[len(data)-1], "[DONE]")
			s.is.True(strings.Contains(data[len(data)-2], `"choices":[],"usage":`))
			s.is.True(s.logged(`"RequestRouted"`) && s.logged("Model1 Source"))
		})
	}
}

// Guards against characters broken in two by the boundaries of messages.
func TestCharactersStayWhole(t *testing.T) {
	s := newSite(t, script{list: []wire.Message{accepted, tokens(0, "a\xe2\x82"), tokens(3, "\xac"), tokens(4, "\xc3"),
		wire.End{Finish: wire.FinishLength}}})
	data, _ := events(s.do("POST", "/v1/completions", streamed).Body.String())
	s.is.Equal(text(data), "a€\ufffd") // only what never became whole is replaced
}

// Guards against an answer that is short, repeated or given twice after the loss of an agent, against a prompt that crashes
// every endpoint, and against retries without bound.
func TestAttempts(t *testing.T) {
	cut := func(text string) script { return script{list: []wire.Message{accepted, tokens(0, text)}, err: errLost} }
	crash := func(index int, text string) script {
		return script{list: []wire.Message{accepted, tokens(index, text), wire.End{Finish: wire.FinishCrashed}}}
	}
	rest := script{list: []wire.Message{accepted, tokens(4, "two"), wire.End{Finish: wire.FinishStop}}}
	never := &retry.Budget{Burst: 1e-9, Ratio: 1e-9, Floor: 1e-9}
	for _, test := range []struct {
		name     string
		budget   *retry.Budget
		scripts  []script
		attempts int
		want     string
		reason   string
		outcome  string
	}{
		{name: "refused, next candidate", scripts: []script{refused(wire.ReasonBusy), whole}, attempts: 2, want: "one two"},
		{name: "cannot be reached", scripts: []script{{refuse: agent.ErrNotSent}, whole}, attempts: 2, want: "one two"},
		{name: "lost in mid-stream", scripts: []script{cut("one "), rest}, attempts: 2, want: "one two"},
		{name: "agent stops", scripts: []script{{list: []wire.Message{accepted, tokens(0, "one "),
			wire.End{Finish: wire.FinishLost}}}, rest}, attempts: 2, want: "one two"},
		{name: "cancelled by the agent", scripts: []script{{list: []wire.Message{accepted, tokens(0, "one "),
			wire.End{Finish: wire.FinishCancelled}}}, rest}, attempts: 2, want: "one two"},
		{name: "only the end was lost", scripts: []script{cut("123456789")}, attempts: 1, want: "123456789"},
		{name: "one crash", scripts: []script{crash(0, "one "), rest}, attempts: 2, want: "one two"},
		{name: "two crashes", scripts: []script{crash(0, "one "), crash(4, "tw"), whole}, attempts: 2, want: "one tw",
			reason: "Quarantined", outcome: "ran"},
		{name: "crash and loss", scripts: []script{crash(0, "one "), {list: []wire.Message{accepted}, err: errLost}, whole},
			attempts: 2, want: "one ", reason: "Quarantined", outcome: "ran"},
		{name: "crash and refusal", scripts: []script{crash(0, "one "), refused(wire.ReasonBusy), rest}, attempts: 3,
			want: "one two"},
		{name: "no budget", budget: never, scripts: []script{cut("one "), rest}, attempts: 1, want: "one ",
			reason: "RetryBudget", outcome: "ran"},
		{name: "planned stop needs no budget", budget: never, scripts: []script{refused(wire.ReasonDraining), whole}, attempts: 2,
			want: "one two"},
		{name: "no candidate left", scripts: []script{refused(wire.ReasonBusy), refused(wire.ReasonBusy),
			refused(wire.ReasonBusy), whole}, attempts: 3, reason: "Busy", outcome: "not run"},
		{name: "nothing reachable", scripts: nil, attempts: 3, reason: "NoEndpoint", outcome: "not run"},
		{name: "lost before tokens, then refused", scripts: []script{{err: errLost}, refused(wire.ReasonQuarantined)}, attempts: 2,
			reason: "Quarantined", outcome: "outcome unknown"},
		{name: "larger than a frame", scripts: []script{{refuse: fmt.Errorf("%w: %w", agent.ErrNotSent, wire.ErrFrameTooLarge)}, whole},
			attempts: 1, reason: "BodyTooLarge", outcome: "not run"},
		{name: "slow reader", scripts: []script{{list: []wire.Message{accepted, tokens(0, "one ")},
			err: fmt.Errorf("%w: %w", agent.ErrMayHaveArrived, agent.ErrSlowReader)}, rest}, attempts: 1, want: "one ",
			reason: "SlowReader", outcome: "ran"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, test.scripts...)
			if test.budget != nil {
				s.Budget = test.budget
			}
			w := s.do("POST", "/v1/completions", streamed)
			s.is.Equal(len(s.agents.targets), test.attempts)
			s.is.Equal(len(slices.Compact(slices.Sorted(slices.Values(s.agents.targets)))), test.attempts) // no endpoint twice
			data, failed := events(w.Body.String())
			s.is.Equal(text(data), test.want)
			s.is.Equal(failed, test.reason != "" && test.want != "")
			s.is.Equal(slices.Contains(data, "[DONE]"), test.reason == "") // a short answer never looks whole
			if test.reason != "" && test.want == "" {
				a := s.body(w)
				s.is.Equal([]string{a.Reason, a.Outcome}, []string{test.reason, test.outcome})
			} else if test.reason != "" {
				s.is.True(strings.Contains(data[len(data)-1], fmt.Sprintf(`"outcome":%q,"reason":%q`, test.outcome, test.reason)))
			}
		})
	}
}

// Guards against a resumed run that does not know what the caller has.
func TestResumeCarriesGivenTokens(t *testing.T) {
	s := newSite(t, script{list: []wire.Message{accepted, tokens(0, "one ")}, err: errLost},
		script{list: []wire.Message{accepted, tokens(4, "two"), wire.End{}}})
	a := s.body(completePrompt(s))
	s.is.Equal(a.Choices[0].Text, "one two")
	s.is.Equal(len(s.agents.submits[0].Given), 0)
	s.is.Equal(s.agents.submits[1].Given, tokens(0, "one ").Tokens)
	s.is.Equal(s.agents.submits[1].Fingerprint, s.agents.submits[0].Fingerprint)
	s.is.True(s.logged(`"RequestResumed"`))
}

// Guards against a bystander of two crashes that is refused, and a culprit that is not.
func TestMarks(t *testing.T) {
	crashed := script{list: []wire.Message{accepted, wire.End{Finish: wire.FinishCrashed}}}
	s := newSite(t, crashed, whole, crashed, crashed)
	marks := marks{}
	s.Marks = marks
	s.is.Equal(completePrompt(s).Code, 200)
	s.is.Equal(len(marks), 0) // it ran to its end
	s.is.Equal(completePrompt(s).Code, 422)
	s.is.Equal(completePrompt(s).Code, 422)
	s.is.Equal(len(s.agents.targets), 4) // the last was refused before it was sent
}

// marks counts the crashes of each fingerprint.
type marks map[uint64]int

func (m marks) Quarantined(f uint64, _ time.Time) (time.Duration, bool) { return time.Minute, m[f] > 1 }
func (m marks) Crashed(f uint64, _ string, _ time.Time)                 { m[f]++ }
func (m marks) Finished(f uint64, _ time.Time)                          { delete(m, f) }

// Guards against runs that go on for a caller that left.
func TestDisconnectCancelsRun(t *testing.T) {
	s := newSite(t, script{list: []wire.Message{accepted, tokens(0, "one ")}})
	s.agents.cancelled = make(chan struct{}, 1)
	server := httptest.NewServer(s)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, "POST", server.URL+"/v1/completions", strings.NewReader(streamed))
	s.is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+credential)
	response, err := server.Client().Do(r)
	s.is.NoErr(err)
	cancel()
	<-s.agents.cancelled
	_ = response.Body.Close()
	server.Close()
	s.is.Equal(len(s.agents.targets), 1)
}

// Guards against requests that outlive their deadline, and a stop that ends streams as if they were whole.
func TestDeadlineAndCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, script{}, script{list: []wire.Message{accepted, tokens(0, "one ")}})
		begun := time.Now()
		w := s.do("POST", "/v1/completions", prompt, "X-Request-Timeout: 1.5", "X-Priority: 3")
		s.is.Equal(time.Since(begun), 1500*time.Millisecond)
		a := s.body(w)
		s.is.Equal(w.Code, 504)
		s.is.Equal(a.Outcome, "outcome unknown")
		s.is.Equal(s.agents.submits[0].Timeout, 1500*time.Millisecond)
		s.is.Equal(s.agents.submits[0].Priority, 3)
		done := make(chan *httptest.ResponseRecorder)
		go func() { done <- s.do("POST", "/v1/completions", streamed) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		left := make(chan map[string]int)
		go func() { left <- s.Drain(ctx) }()
		synctest.Wait()
		s.is.Equal(s.do("GET", "/readyz", "").Code, 503)
		refused := completePrompt(s)
		a = s.body(refused)
		s.is.Equal([]any{refused.Code, a.Reason, a.Outcome}, []any{503, "Draining", "not run"})
		s.is.Equal(refused.Header().Get("Retry-After"), "1")
		s.is.Equal(<-left, map[string]int{"prompt": 1})
		s.is.Equal(s.Cut(), map[string]int{"prompt": 1})
		data, failed := events((<-done).Body.String())
		s.is.True(failed && strings.Contains(data[len(data)-1], `"reason":"Draining"`))
		s.is.Equal(len(s.Drain(context.Background())), 0)
	})
}

// Guards against a caller that does not read and holds its run for ever.
func TestFailedWriteEndsRun(t *testing.T) {
	s := newSite(t, whole)
	r := httptest.NewRequest("POST", "/v1/completions", strings.NewReader(streamed))
	r.Header.Set("Authorization", "Bearer "+credential)
	s.ServeHTTP(&brokenWriter{httptest.NewRecorder()}, r)
	s.is.True(s.logged(`"result"="SlowReader"`))
}

type brokenWriter struct{ *httptest.ResponseRecorder }

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("write deadline") }
