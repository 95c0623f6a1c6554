package orders

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"primrosecourse/internal/standin/fault"
)

// TestRepeatedOrderRunsAgain checks what other tests rely on: the stand-in runs a repeated order again and lists both
// runs, also if the response of one is lost.
func TestRepeatedOrderRunsAgain(t *testing.T) {
	is := is.New(t)
	var s Service
	handler := s.Handler()
	call := func(method, path, body string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		r.Header.Set("Idempotency-Key", "k")
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w
	}
	is.Equal(call("POST", "/orders", "x").Body.String(), "{\"Number\":1}\n")
	is.Equal(call("POST", "/orders", "x").Code, http.StatusCreated)
	is.Equal(call("GET", "/status", "").Code, http.StatusOK)
	var runs []Run
	is.NoErr(json.Unmarshal(call("GET", "/ledger", "").Body.Bytes(), &runs))
	is.Equal(len(runs), 2)
	is.Equal(runs[1].Key, "k")
	is.Equal(runs[1].Body, "x")

	s.Faults.Set(fault.Rule{Kind: fault.Outage, Route: "/orders", Count: 1})
	is.Equal(call("POST", "/orders", "x").Code, http.StatusServiceUnavailable)
	is.Equal(len(s.Ledger()), 2)
	s.Faults.Set(fault.Rule{Kind: fault.ReplyLost, Route: "/orders", Count: 1})
	func() {
		defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
		call("POST", "/orders", "x")
	}()
	is.Equal(len(s.Ledger()), 3) // the response is lost after the run
}
