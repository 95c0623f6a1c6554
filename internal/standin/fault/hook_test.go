package fault_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"primrosecourse/internal/standin/fault"
)

// TestAdminInterface guards against rules that cannot be set, counted or ended over HTTP, which is the only way to
// control a stand-in in another process.
func TestAdminInterface(t *testing.T) {
	is := is.New(t)
	var hook fault.Hook
	handler := hook.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), "/ledger")
	call := func(method, path, body string) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code
	}
	is.Equal(call("POST", "/fault", `{"Kind": "Outage", "Method": "PUT", "Route": "/objects/A", "Skip": 1, "Count": 2}`), 200)
	is.Equal(call("POST", "/fault", `{"Kind": "Outrage"}`), 400)
	is.Equal(call("POST", "/fault", `{"Kind": "Outage", "Rout": "/"}`), 400)
	is.Equal(len(hook.Rules()), 1)
	var codes []int
	for _, c := range [][2]string{
		{"PUT", "/objects/A"}, {"GET", "/objects/A"}, {"PUT", "/objects/B"}, {"PUT", "/objects/A/1"},
		{"PUT", "/objects/A"}, {"PUT", "/objects/A"},
	} {
		codes = append(codes, call(c[0], c[1], ""))
	}
	is.Equal(codes, []int{200, 200, 200, 503, 503, 200})
	is.Equal(call("POST", "/fault", `{"Kind": "Refuse", "Status": 418}`), 200)
	is.Equal(call("GET", "/x", ""), 418)
	is.Equal(call("GET", "/ledger", ""), 200)
	is.Equal(call("DELETE", "/fault?ID=2", ""), 200)
	is.Equal(call("GET", "/x", ""), 200)
}
