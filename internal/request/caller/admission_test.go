package caller_test

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"primrosecourse/internal/request/caller"
	"primrosecourse/pkg/routing"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// slowBody is a request body whose reads fail because the read deadline passes.
type slowBody struct{}

func (slowBody) Read([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// TestAdmission guards against a missing check in the admission of requests. In each case the entry itself refuses the
// request, without an answer of an agent.
func TestAdmission(t *testing.T) {
	longKey := strings.Repeat("x", 2000)
	for _, test := range []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		reason                   string
	}{
		{"missing credential", "POST", "/v1/completions", prompt, []string{"Authorization: "}, 401, "Unauthenticated"},
		{"wrong credential", "POST", "/v1/completions", prompt, []string{"Authorization: Bearer secret-of-Org2"}, 401, "Unauthenticated"},
		{"empty credential", "POST", "/v1/completions", prompt, []string{"Authorization: Bearer "}, 401, "Unauthenticated"},
		{"wrong authentication scheme", "POST", "/v1/completions", prompt, []string{"Authorization: Basic " + credential}, 401,
			"Unauthenticated"},
		{"malformed JSON", "POST", "/v1/completions", `{"model":"M",`, nil, 400, "BadRequest"},
		{"field of wrong type", "POST", "/v1/completions", `{"model":7}`, nil, 400, "BadRequest"},
		{"missing prompt", "POST", "/v1/completions", `{"model":"M"}`, nil, 400, "BadRequest"},
		{"empty prompt", "POST", "/v1/completions", `{"model":"M","prompt":""}`, nil, 400, "BadRequest"},
		{"two prompts", "POST", "/v1/completions", `{"model":"M","prompt":["a","b"]}`, nil, 400, "BadRequest"},
		{"negative token", "POST", "/v1/completions", `{"model":"M","prompt":[-1]}`, nil, 400, "BadRequest"},
		{"too many tokens", "POST", "/v1/completions", `{"model":"M","prompt":"a","max_tokens":999999}`, nil, 400, "BadRequest"},
		{"two choices", "POST", "/v1/completions", `{"model":"M","prompt":"a","n":2}`, nil, 400, "BadRequest"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"M","messages":[]}`, nil, 400, "BadRequest"},
		{"image content", "POST", "/v1/chat/completions", `{"model":"M","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`,
			nil, 400, "BadRequest"},
		{"invalid timeout", "POST", "/v1/completions", prompt, []string{"X-Request-Timeout: NaN"}, 400, "BadRequest"},
		{"invalid priority", "POST", "/v1/completions", prompt, []string{"X-Priority: 99"}, 400, "BadRequest"},
		{"unknown model", "POST", "/v1/completions", `{"model":"Nil","prompt":"a"}`, nil, 404, "UnknownModel"},
		{"model not entitled", "POST", "/v1/completions", `{"model":"Other","prompt":"a"}`, nil, 403, "NotEntitled"},
		{"no reachable endpoint", "POST", "/v1/completions", prompt, nil, 503, "NoEndpoint"},
		{"wrong method", "GET", "/v1/completions", "", nil, 405, "MethodNotAllowed"},
		{"unknown path", "GET", "/v2/completions", "", nil, 404, "UnknownPath"},
		{"unknown service", "POST", "/services/Nil/x", "", []string{"Idempotency-Key: k"}, 404, "UnknownService"},
		{"service not entitled", "POST", "/services/Proofs/x", "", []string{"Idempotency-Key: k"}, 403, "NotEntitled"},
		{"missing idempotency key", "POST", "/services/Orders/x", "", nil, 400, "KeyMissing"},
		{"idempotency key too long", "POST", "/services/Orders/x", "", []string{"Idempotency-Key: " + longKey}, 400, "BadRequest"},
		{"body too large", "POST", "/v1/completions", strings.Repeat(" ", 1<<20+1), nil, 413, "BodyTooLarge"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer(t)
			w := s.do(test.method, test.path, test.body, test.headers...)
			a := s.decodeBody(w)
			s.is.Equal([]any{w.Code, a.Reason, a.Outcome}, []any{test.status, test.reason, "not run"})
			s.is.Equal(w.Header().Get("WWW-Authenticate") != "", test.status == 401)
			s.is.Equal(w.Header().Get("Allow") != "", test.status == 405)
			s.is.Equal(len(s.agents.calls), 0)
		})
	}
	s := newTestServer(t)
	r := httptest.NewRequest("POST", "/v1/completions", io.NopCloser(slowBody{}))
	r.Header.Set("Authorization", "Bearer "+credential)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	s.is.Equal([]any{w.Code, s.decodeBody(w).Reason}, []any{408, "BodyTimeout"})
	unready := &caller.Handler{Loads: routing.NewLoads()}
	w = httptest.NewRecorder()
	unready.ServeHTTP(w, httptest.NewRequest("POST", "/v1/completions", nil))
	s.is.Equal([]any{w.Code, s.decodeBody(w).Reason}, []any{503, "NotReady"})
	w = httptest.NewRecorder()
	unready.ServeHTTP(w, httptest.NewRequest("GET", "/readyz", nil))
	s.is.Equal(w.Code, 503)
	s.is.Equal(s.do("GET", "/readyz", "").Code, 200)
	s.is.True(strings.Contains(s.do("GET", "/metrics", "").Body.String(), "Refused.BodyTimeout"))
	s.is.True(strings.Contains(s.do("GET", "/v1/models", "").Body.String(), `"data":[{"id":"M","object":"model"`))
}

// TestCredentialsAreNotExposed guards against credentials, or hashes from which they could be guessed, in logs, metrics and
// answers.
func TestCredentialsAreNotExposed(t *testing.T) {
	s := newTestServer(t, fullAnswer, refusal(wire.ReasonBadRequest), connectionLost)
	exposed := completePrompt(s).Body.String()
	for _, h := range []string{"X: y", "Authorization: Bearer " + credential + "x", "Authorization: " + credential} {
		exposed += s.do("POST", "/v1/completions", prompt, h).Body.String()
		exposed += s.do("POST", "/services/Orders/x", "", h, "Idempotency-Key: k").Body.String()
	}
	exposed += s.do("GET", "/metrics", "").Body.String() + strings.Join(s.log, "\n")
	s.is.True(len(s.log) > 9)
	for _, secret := range []string{credential, sha256Hex(credential), hex.EncodeToString([]byte(credential))} {
		s.is.True(!strings.Contains(exposed, secret))
	}
}

// TestTokenBuckets guards against small organisations that are starved by a large one or by the division of their limit among
// entries, and against token buckets that are refilled by each change of the configuration.
func TestTokenBuckets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t)
		d := deployment()
		d.Entries = make([]settings.Entry, 100)
		s.Apply(2, d)
		admitted := func(credential string, n int) (ok int, last *httptest.ResponseRecorder) {
			for range n {
				if last = s.do("POST", "/v1/completions", "", "Authorization: Bearer "+credential); last.Code == 400 {
					ok++
				}
			}
			return ok, last
		}
		large, w := admitted("large", 100)
		s.is.Equal(large, 10) // one hundredth of its limit of 1000
		s.is.Equal([]any{w.Code, s.decodeBody(w).Reason, w.Header().Get("Retry-After")}, []any{429, "OverLimit", "1"})
		small, w := admitted("small", 100)
		s.is.Equal(small, 5) // ten seconds at its undivided limit of 0.5, although there are 100 entries
		s.is.Equal(w.Header().Get("Retry-After"), "200")
		s.Apply(3, d)
		small, _ = admitted("small", 1)
		s.is.Equal(small, 0)
		time.Sleep(time.Second)
		large, _ = admitted("large", 100)
		s.is.Equal(large, 10)
		unlimited, _ := admitted(credential, 500)
		s.is.Equal(unlimited, 500)
		hundredEntries := *d
		d.Entries = d.Entries[:1]
		s.Apply(4, d)
		s.Apply(3, &hundredEntries) // a lower version is ignored
		time.Sleep(2 * time.Second)
		small, _ = admitted("small", 100)
		s.is.Equal(small, 1)
	})
}

// FuzzDecode guards against a decoder that panics, accepts an empty prompt or accepts values above the limits.
func FuzzDecode(f *testing.F) {
	for _, body := range []string{prompt, streamedPrompt, `{"model":"M","messages":[{"role":"user","content":null}]}`, "null", "[]",
		`{"model":"M","prompt":[1,2],"n":1,"max_completion_tokens":3}`, `{"prompt":{"a":[]}}`, "\xff"} {
		f.Add([]byte(body), true)
		f.Add([]byte(body), false)
	}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		is := is.New(t)
		tokens, maxTokens, err := caller.DecodeForTest(body, chat, 100)
		if err != nil {
			is.True(err.Error() != "" && !errors.Is(err, io.EOF))
			return
		}
		is.True(len(tokens) > 0 && maxTokens > 0 && maxTokens <= 100)
	})
}

func BenchmarkPrompt(b *testing.B) {
	s := &testServer{agents: &fakeAgents{}, is: is.New(b)}
	s.Handler = &caller.Handler{Agents: s.agents, Loads: routing.NewLoads(), Metrics: metrics.NewRegistry()}
	d := deployment()
	d.Models[0].BlockTokens = 1024
	s.Apply(1, d)
	for _, size := range []int{100, 10000, 1000000} {
		b.Run(fmt.Sprint("bytes=", size), func(b *testing.B) {
			body := `{"model":"M","prompt":"` + strings.Repeat("a", size) + `"}`
			for b.Loop() {
				s.agents.scripts = []script{fullAnswer}
				s.agents.submits = nil
				s.do("POST", "/v1/completions", body)
			}
		})
	}
}
