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
	accepted   = wire.Accepted{CachedTokens: 8}
	errLost    = fmt.Errorf("%w: connection reset", agent.ErrMayHaveArrived)
	fullAnswer = script{messages: []wire.Message{accepted, tokens(0, "one "), tokens(4, "two"), wire.End{Finish: wire.FinishStop}}}
)

func refusal(r wire.Reason) script { return script{messages: []wire.Message{wire.Refused{Reason: r}}} }

// TestResponseFormat guards against answers that clients of the completions interface cannot parse.
func TestResponseFormat(t *testing.T) {
	for _, test := range []struct {
		name, path, body, object, idPrefix string
		prompt                             int
	}{
		{"completion", "/v1/completions", prompt, "text_completion", "cmpl-", 20},
		{"token identifiers", "/v1/completions", `{"model":"M","prompt":[1,2,3,4,5,6,7,8,9],"new_field":{}}`,
			"text_completion", "cmpl-", 9},
		{"chat", "/v1/chat/completions", `{"model":"M","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`,
			"chat.completion", "chatcmpl-", 26},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer(t, fullAnswer, fullAnswer)
			w := s.do("POST", test.path, test.body)
			s.is.Equal(w.Code, 200)
			a := s.decodeBody(w)
			s.is.Equal(a.Object, test.object)
			s.is.True(strings.HasPrefix(a.ID, test.idPrefix))
			s.is.Equal(a.Choices[0].Text+a.Choices[0].Message.Content, "one two")
			s.is.Equal(a.Choices[0].FinishReason, "stop")
			s.is.Equal([]int{a.Usage.PromptTokens, a.Usage.CompletionTokens, a.Usage.TotalTokens, a.Usage.Details.Cached},
				[]int{test.prompt, 7, test.prompt + 7, 8})
			w = s.do("POST", test.path, strings.Replace(test.body, "{", `{"stream":true,"stream_options":{"include_usage":true},`, 1))
			s.is.Equal(w.Header().Get("Content-Type"), "text/event-stream")
			data, failed := parseEvents(w.Body.String())
			s.is.True(!failed)
			s.is.Equal(joinText(data), "one two")
			s.is.Equal(data[len(data)-1], "[DONE]")
			s.is.True(strings.Contains(data[len(data)-2], `"choices":[],"usage":`))
			s.is.True(s.logged(`"RequestRouted"`) && s.logged("Model1 Source"))
		})
	}
}

// TestStreamDoesNotSplitCharacters guards against events that contain part of a UTF-8 character because an agent split it between
// two messages.
func TestStreamDoesNotSplitCharacters(t *testing.T) {
	s := newTestServer(t, script{messages: []wire.Message{accepted, tokens(0, "a\xe2\x82"), tokens(3, "\xac"), tokens(4, "\xc3"),
		wire.End{Finish: wire.FinishLength}}})
	data, _ := parseEvents(s.do("POST", "/v1/completions", streamedPrompt).Body.String())
	s.is.Equal(joinText(data), "a€\ufffd") // only the character that stays incomplete is replaced
}

// TestPromptRetries guards against an answer with missing or repeated tokens after the loss of an agent, against a prompt that
// crashes every endpoint, and against unbounded retries.
func TestPromptRetries(t *testing.T) {
	lostAfter := func(text string) script {
		return script{messages: []wire.Message{accepted, tokens(0, text)}, err: errLost}
	}
	crashAfter := func(index int, text string) script {
		return script{messages: []wire.Message{accepted, tokens(index, text), wire.End{Finish: wire.FinishCrashed}}}
	}
	remainder := script{messages: []wire.Message{accepted, tokens(4, "two"), wire.End{Finish: wire.FinishStop}}}
	emptyBudget := &retry.Budget{Burst: 1e-9, Ratio: 1e-9, PerSecond: 1e-9}
	for _, test := range []struct {
		name     string
		budget   *retry.Budget
		scripts  []script
		attempts int
		want     string
		reason   string
		outcome  string
	}{
		{name: "refused, next candidate", scripts: []script{refusal(wire.ReasonBusy), fullAnswer}, attempts: 2, want: "one two"},
		{name: "endpoint unreachable", scripts: []script{{submitErr: agent.ErrNotSent}, fullAnswer}, attempts: 2, want: "one two"},
		{name: "connection lost in mid-stream", scripts: []script{lostAfter("one "), remainder}, attempts: 2, want: "one two"},
		{name: "agent reports a lost stream", scripts: []script{{messages: []wire.Message{accepted, tokens(0, "one "),
			wire.End{Finish: wire.FinishLost}}}, remainder}, attempts: 2, want: "one two"},
		{name: "cancelled by the agent", scripts: []script{{messages: []wire.Message{accepted, tokens(0, "one "),
			wire.End{Finish: wire.FinishCancelled}}}, remainder}, attempts: 2, want: "one two"},
		{name: "only the End message lost", scripts: []script{lostAfter("123456789")}, attempts: 1, want: "123456789"},
		{name: "one crash", scripts: []script{crashAfter(0, "one "), remainder}, attempts: 2, want: "one two"},
		{name: "two crashes", scripts: []script{crashAfter(0, "one "), crashAfter(4, "tw"), fullAnswer}, attempts: 2, want: "one tw",
			reason: "Quarantined", outcome: "ran"},
		{name: "crash, then connection lost", scripts: []script{crashAfter(0, "one "),
			{messages: []wire.Message{accepted}, err: errLost}, fullAnswer},
			attempts: 2, want: "one ", reason: "Quarantined", outcome: "ran"},
		{name: "crash, then refusal", scripts: []script{crashAfter(0, "one "), refusal(wire.ReasonBusy), remainder}, attempts: 3,
			want: "one two"},
		{name: "retry budget spent", budget: emptyBudget, scripts: []script{lostAfter("one "), remainder}, attempts: 1, want: "one ",
			reason: "RetryBudget", outcome: "ran"},
		{name: "planned shutdown is not charged", budget: emptyBudget, scripts: []script{refusal(wire.ReasonDraining), fullAnswer},
			attempts: 2, want: "one two"},
		{name: "no candidate left", scripts: []script{refusal(wire.ReasonBusy), refusal(wire.ReasonBusy),
			refusal(wire.ReasonBusy), fullAnswer}, attempts: 3, reason: "Busy", outcome: "not run"},
		{name: "no endpoint reachable", scripts: nil, attempts: 3, reason: "NoEndpoint", outcome: "not run"},
		{name: "connection lost before tokens, then refused", scripts: []script{{err: errLost}, refusal(wire.ReasonQuarantined)},
			attempts: 2, reason: "Quarantined", outcome: "outcome unknown"},
		{name: "refused after it may have run, then refused as not run", scripts: []script{
			{messages: []wire.Message{wire.Refused{Reason: wire.ReasonReplyLost, Outcome: wire.OutcomeUnknown}}},
			refusal(wire.ReasonBusy), refusal(wire.ReasonBusy)}, attempts: 3, reason: "Busy", outcome: "outcome unknown"},
		{name: "refused after it ran, then refused as not run", scripts: []script{
			{messages: []wire.Message{wire.Refused{Reason: wire.ReasonEngineDown, Outcome: wire.Ran}}},
			refusal(wire.ReasonBusy), refusal(wire.ReasonBusy)}, attempts: 3, reason: "Busy", outcome: "ran"},
		{name: "prompt exceeds the frame limit", scripts: []script{
			{submitErr: fmt.Errorf("%w: %w", agent.ErrNotSent, wire.ErrFrameTooLarge)}, fullAnswer},
			attempts: 1, reason: "BodyTooLarge", outcome: "not run"},
		{name: "slow reader", scripts: []script{{messages: []wire.Message{accepted, tokens(0, "one ")},
			err: fmt.Errorf("%w: %w", agent.ErrMayHaveArrived, agent.ErrSlowReader)}, remainder}, attempts: 1, want: "one ",
			reason: "SlowReader", outcome: "ran"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer(t, test.scripts...)
			if test.budget != nil {
				s.Budget = test.budget
			}
			w := s.do("POST", "/v1/completions", streamedPrompt)
			s.is.Equal(len(s.agents.targets), test.attempts)
			s.is.Equal(len(slices.Compact(slices.Sorted(slices.Values(s.agents.targets)))), test.attempts) // all targets differ
			data, failed := parseEvents(w.Body.String())
			s.is.Equal(joinText(data), test.want)
			s.is.Equal(failed, test.reason != "" && test.want != "")
			s.is.Equal(slices.Contains(data, "[DONE]"), test.reason == "") // an incomplete answer must not end with [DONE]
			if test.reason != "" && test.want == "" {
				a := s.decodeBody(w)
				s.is.Equal([]string{a.Reason, a.Outcome}, []string{test.reason, test.outcome})
			} else if test.reason != "" {
				s.is.True(strings.Contains(data[len(data)-1], fmt.Sprintf(`"outcome":%q,"reason":%q`, test.outcome, test.reason)))
			}
		})
	}
}

// TestResumeSendsGivenTokens guards against a resumed run that does not receive the tokens that the caller already has.
func TestResumeSendsGivenTokens(t *testing.T) {
	s := newTestServer(t, script{messages: []wire.Message{accepted, tokens(0, "one ")}, err: errLost},
		script{messages: []wire.Message{accepted, tokens(4, "two"), wire.End{}}})
	a := s.decodeBody(completePrompt(s))
	s.is.Equal(a.Choices[0].Text, "one two")
	s.is.Equal(len(s.agents.submits[0].Given), 0)
	s.is.Equal(s.agents.submits[1].Given, tokens(0, "one ").Tokens)
	s.is.Equal(s.agents.submits[1].Fingerprint, s.agents.submits[0].Fingerprint)
	s.is.True(s.logged(`"RequestResumed"`))
}

// TestCrashQuarantine guards against quarantine of a prompt that was completed after a crash, and against a prompt that crashes
// endpoints again and is not quarantined.
func TestCrashQuarantine(t *testing.T) {
	crashed := script{messages: []wire.Message{accepted, wire.End{Finish: wire.FinishCrashed}}}
	s := newTestServer(t, crashed, fullAnswer, crashed, crashed)
	marks := fakeMarks{}
	s.Marks = marks
	s.is.Equal(completePrompt(s).Code, 200)
	s.is.Equal(len(marks), 0) // the prompt was completed
	s.is.Equal(completePrompt(s).Code, 422)
	s.is.Equal(completePrompt(s).Code, 422)
	s.is.Equal(len(s.agents.targets), 4) // the last prompt was refused without being sent
}

// fakeMarks counts the crashes of each fingerprint and quarantines it after two.
type fakeMarks map[uint64]int

func (m fakeMarks) Quarantined(f uint64, _ time.Time) (time.Duration, bool) {
	return time.Minute, m[f] > 1
}
func (m fakeMarks) Crashed(f uint64, _ string, _ time.Time) { m[f]++ }
func (m fakeMarks) Finished(f uint64, _ time.Time)          { delete(m, f) }

// TestDisconnectCancelsRun guards against runs that continue after their caller disconnected.
func TestDisconnectCancelsRun(t *testing.T) {
	s := newTestServer(t, script{messages: []wire.Message{accepted, tokens(0, "one ")}})
	s.agents.cancelled = make(chan struct{}, 1)
	server := httptest.NewServer(s)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, "POST", server.URL+"/v1/completions", strings.NewReader(streamedPrompt))
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

// TestDeadlineAndDrain guards against requests that outlive their deadline, and against a shutdown that ends streams as if they
// were complete.
func TestDeadlineAndDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, script{}, script{messages: []wire.Message{accepted, tokens(0, "one ")}})
		start := time.Now()
		w := s.do("POST", "/v1/completions", prompt, "X-Request-Timeout: 1.5", "X-Priority: 3")
		s.is.Equal(time.Since(start), 1500*time.Millisecond)
		a := s.decodeBody(w)
		s.is.Equal(w.Code, 504)
		s.is.Equal(a.Outcome, "outcome unknown")
		s.is.Equal(s.agents.submits[0].Timeout, 1500*time.Millisecond)
		s.is.Equal(s.agents.submits[0].Priority, 3)
		done := make(chan *httptest.ResponseRecorder)
		go func() { done <- s.do("POST", "/v1/completions", streamedPrompt) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		remaining := make(chan map[string]int)
		go func() { remaining <- s.Drain(ctx) }()
		synctest.Wait()
		s.is.Equal(s.do("GET", "/readyz", "").Code, 503)
		refused := completePrompt(s)
		a = s.decodeBody(refused)
		s.is.Equal([]any{refused.Code, a.Reason, a.Outcome}, []any{503, "Draining", "not run"})
		s.is.Equal(refused.Header().Get("Retry-After"), "1")
		s.is.Equal(<-remaining, map[string]int{"prompt": 1})
		s.is.Equal(s.CancelAll(), map[string]int{"prompt": 1})
		data, failed := parseEvents((<-done).Body.String())
		s.is.True(failed && strings.Contains(data[len(data)-1], `"reason":"Draining"`))
		s.is.Equal(len(s.Drain(context.Background())), 0)
	})
}

// TestFailedWriteEndsRun guards against runs that never end because their caller does not read.
func TestFailedWriteEndsRun(t *testing.T) {
	s := newTestServer(t, fullAnswer)
	r := httptest.NewRequest("POST", "/v1/completions", strings.NewReader(streamedPrompt))
	r.Header.Set("Authorization", "Bearer "+credential)
	s.ServeHTTP(&brokenWriter{httptest.NewRecorder()}, r)
	s.is.True(s.logged(`"result"="SlowReader"`))
}

type brokenWriter struct{ *httptest.ResponseRecorder }

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("write deadline") }
