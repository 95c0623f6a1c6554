package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/connection/front"
	"primrosecourse/internal/request/forward"
	"primrosecourse/pkg/quarantine"
)

// TestSuspectRequestIsNotRepeated guards against a request that crashes a third endpoint by its own retry, and against one that is not
// retried though nothing is known against it or its endpoint had begun to answer.
func TestSuspectRequestIsNotRepeated(t *testing.T) {
	once := quarantine.Evidence{Endpoints: []string{"other"}, Crashes: 1}
	for name, test := range map[string]struct {
		known    quarantine.Evidence
		served   bool
		arrivals int
	}{
		"nothing known":              {arrivals: 2},
		"at a crash before":          {known: once, arrivals: 1},
		"at a crash, but served too": {known: once, served: true, arrivals: 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, func(int, string, *http.Request, net.Conn) bool { return false })
			f.handler.Crashes = &suspicions{}
			f.handler.Requests = &forward.RequestWatch{Log: logr.Discard()}
			fingerprint := forward.Fingerprint(&front.Request{Method: http.MethodGet, Target: "/always/x"}, nil)
			if test.served {
				f.handler.Requests.EndedWell(time.Now(), f.snapshot, fingerprint, "r0")
			}
			f.snapshot.Marks = map[uint64]quarantine.Evidence{fingerprint: test.known}
			status, _, err := f.send(t, http.MethodGet, "/always/x")
			is.NoErr(err)
			is.Equal(status, http.StatusBadGateway)
			is.Equal(f.arrivalCount(), test.arrivals)
		})
	}
}

// TestQuarantinedBeforeRetry guards against a retry of a request that other gateways have found to crash endpoints since it arrived, and
// against a refusal that says that it did not run.
func TestQuarantinedBeforeRetry(t *testing.T) {
	is := is.New(t)
	fingerprint := forward.Fingerprint(&front.Request{Method: http.MethodGet, Target: "/always/x"}, nil)
	f := newFixture(t, func(int, string, *http.Request, net.Conn) bool {
		time.Sleep(200 * time.Millisecond)
		return false
	})
	replaced := *f.snapshot
	replaced.Marks = map[uint64]quarantine.Evidence{fingerprint: {Endpoints: []string{"a", "b"}, Crashes: 2}}
	f.replaced, f.replacedAt = &replaced, time.Now().Add(100*time.Millisecond)
	status, body, err := f.send(t, http.MethodGet, "/always/x")
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
	is.Equal(body, fmt.Sprintf("{\"reason\":%q,\"outcome\":%q}\n", "Quarantined", "outcome unknown"))
	is.Equal(f.arrivalCount(), 1)
}
