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

// slowBody is a body that does not arrive before the read deadline.
type slowBody struct{}

func (slowBody) Read([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// Guards against each check of a request being left out; the rows are the reasons that an entry gives itself.
func TestAdmission(t *testing.T) {
	long := strings.Repeat("x", 2000)
	for _, test := range []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		reason                   string
	}{
		{"no credential", "POST", "/v1/completions", prompt, []string{"Authorization: "}, 401, "Unauthenticated"},
		{"wrong credential", "POST", "/v1/completions", prompt, []string{"Authorization: Bearer secret-of-Org2"}, 401, "Unauthenticated"},
		{"empty credential", "POST", "/v1/completions", prompt, []string{"Authorization: Bearer "}, 401, "Unauthenticated"},
		{"other scheme", "POST", "/v1/completions", prompt, []string{"Authorization: Basic " + credential}, 401, "Unauthenticated"},
		{"malformed", "POST", "/v1/completions", `{"model":"M",`, nil, 400, "BadRequest"},
		{"wrong type", "POST", "/v1/completions", `{"model":7}`, nil, 400, "BadRequest"},
		{"no prompt", "POST", "/v1/completions", `{"model":"M"}`, nil, 400, "BadRequest"},
		{"empty prompt", "POST", "/v1/completions", `{"model":"M","prompt":""}`, nil, 400, "BadRequest"},
		{"prompts", "POST", "/v1/completions", `{"model":"M","prompt":["a","b"]}`, nil, 400, "BadRequest"},
		{"negative token", "POST", "/v1/completions", `{"model":"M","prompt":[-1]}`, nil, 400, "BadRequest"},
		{"too many tokens", "POST", "/v1/completions", `{"model":"M","prompt":"a","max_tokens":999999}`, nil, 400, "BadRequest"},
		{"two answers", "POST", "/v1/completions", `{"model":"M","prompt":"a","n":2}`, nil, 400, "BadRequest"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"M","messages":[]}`, nil, 400, "BadRequest"},
		{"image", "POST", "/v1/chat/completions", `{"model":"M","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil,
			400, "BadRequest"},
		{"timeout", "POST", "/v1/completions", prompt, []string{"X-Request-Timeout: NaN"}, 400, "BadRequest"},
		{"priority", "POST", "/v1/completions", prompt, []string{"X-Priority: 99"}, 400, "BadRequest"},
		{"unknown model", "POST", "/v1/completions", `{"model":"Nil","prompt":"a"}`, nil, 404, "UnknownModel"},
		{"not entitled", "POST", "/v1/completions", `{"model":"Other","prompt":"a"}`, nil, 403, "NotEntitled"},
		{"no endpoint", "POST", "/v1/completions", prompt, nil, 503, "NoEndpoint"},
		{"method", "GET", "/v1/completions", "", nil, 405, "MethodNotAllowed"},
		{"path", "GET", "/v2/completions", "", nil, 404, "UnknownPath"},
		{"unknown service", "POST", "/services/Nil/x", "", []string{"Idempotency-Key: k"}, 404, "UnknownService"},
		{"service not entitled", "POST", "/services/Proofs/x", "", []string{"Idempotency-Key: k"}, 403, "NotEntitled"},
		{"no key", "POST", "/services/Orders/x", "", nil, 400, "KeyMissing"},
		{"long key", "POST", "/services/Orders/x", "", []string{"Idempotency-Key: " + long}, 400, "BadRequest"},
		{"too large", "POST", "/v1/completions", strings.Repeat(" ", 1<<20+1), nil, 413, "BodyTooLarge"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t)
			w := s.do(test.method, test.path, test.body, test.headers...)
			a := s.body(w)
			s.is.Equal([]any{w.Code, a.Reason, a.Outcome}, []any{test.status, test.reason, "not run"})
			s.is.Equal(w.Header().Get("WWW-Authenticate") != "", test.status == 401)
			s.is.Equal(w.Header().Get("Allow") != "", test.status == 405)
			s.is.Equal(len(s.agents.calls), 0)
		})
	}
	s := newSite(t)
	r := httptest.NewRequest("POST", "/v1/completions", io.NopCloser(slowBody{}))
	r.Header.Set("Authorization", "Bearer "+credential)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	s.is.Equal([]any{w.Code, s.body(w).Reason}, []any{408, "BodyTimeout"})
	unready := &caller.Handler{Loads: routing.NewLoads()}
	w = httptest.NewRecorder()
	unready.ServeHTTP(w, httptest.NewRequest("POST", "/v1/completions", nil))
	s.is.Equal([]any{w.Code, s.body(w).Reason}, []any{503, "NotReady"})
	w = httptest.NewRecorder()
	unready.ServeHTTP(w, httptest.NewRequest("GET", "/readyz", nil))
	s.is.Equal(w.Code, 503)
	s.is.Equal(s.do("GET", "/readyz", "").Code, 200)
	s.is.True(strings.Contains(s.do("GET", "/metrics", "").Body.String(), "Refused.BodyTimeout"))
	s.is.True(strings.Contains(s.do("GET", "/v1/models", "").Body.String(), `"data":[{"id":"M","object":"model"`))
}

// Guards against credentials, or what they could be guessed from, in logs, metrics and responses.
func TestCredentialsAreNotShown(t *testing.T) {
	s := newSite(t, whole, refused(wire.ReasonBadRequest), gone)
	shown := completePrompt(s).Body.String()
	for _, h := range []string{"X: y", "Authorization: Bearer " + credential + "x", "Authorization: " + credential} {
		shown += s.do("POST", "/v1/completions", prompt, h).Body.String()
		shown += s.do("POST", "/services/Orders/x", "", h, "Idempotency-Key: k").Body.String()
	}
	shown += s.do("GET", "/metrics", "").Body.String() + strings.Join(s.log, "\n")
	s.is.True(len(s.log) > 9)
	for _, secret := range []string{credential, hash(credential), hex.EncodeToString([]byte(credential))} {
		s.is.True(!strings.Contains(shown, secret))
	}
}

// Guards against small organisations starved by a large one or by the division of their limit, and against buckets that fill
// up at each change of the configuration.
func TestTokenBuckets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
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
		s.is.Equal(large, 10) // a hundredth of 1000
		s.is.Equal([]any{w.Code, s.body(w).Reason, w.Header().Get("Retry-After")}, []any{429, "OverLimit", "1"})
		small, w := admitted("small", 100)
		s.is.Equal(small, 5) // ten seconds of its whole limit, at one of 100 entries
		s.is.Equal(w.Header().Get("Retry-After"), "200")
		s.Apply(3, d)
		small, _ = admitted("small", 1)
		s.is.Equal(small, 0)
		time.Sleep(time.Second)
		large, _ = admitted("large", 100)
		s.is.Equal(large, 10)
		unlimited, _ := admitted(credential, 500)
		s.is.Equal(unlimited, 500)
		many := *d
		d.Entries = d.Entries[:1]
		s.Apply(4, d)
		s.Apply(3, &many) // a lower version changes nothing
		time.Sleep(2 * time.Second)
		small, _ = admitted("small", 100)
		s.is.Equal(small, 1)
	})
}

// Guards against a decoder that panics, takes an empty prompt or lets limits be passed.
func FuzzDecode(f *testing.F) {
	for _, body := range []string{prompt, streamed, `{"model":"M","messages":[{"role":"user","content":null}]}`, "null", "[]",
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
	s := &site{agents: &agents{}, is: is.New(b)}
	s.Handler = &caller.Handler{Agents: s.agents, Loads: routing.NewLoads(), Metrics: metrics.NewRegistry()}
	d := deployment()
	d.Models[0].BlockTokens = 1024
	s.Apply(1, d)
	for _, size := range []int{100, 10000, 1000000} {
		b.Run(fmt.Sprint("bytes=", size), func(b *testing.B) {
			body := `{"model":"M","prompt":"` + strings.Repeat("a", size) + `"}`
			for b.Loop() {
				s.agents.scripts = []script{whole}
				s.agents.submits = nil
				s.do("POST", "/v1/completions", body)
			}
		})
	}
}
