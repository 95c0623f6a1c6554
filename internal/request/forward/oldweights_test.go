package forward_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/site"
	"primrosecourse/pkg/staleness"
)

// withVersions returns a copy of a snapshot in which a version of model M is named and its endpoints have the given versions.
func withVersions(s *site.Snapshot, named uint64, versions ...uint64) *site.Snapshot {
	next := *s
	next.Versions = map[string]uint64{"M": named}
	next.Endpoints = map[string][]*site.Endpoint{}
	for i, e := range s.Endpoints["S"] {
		updated := *e
		updated.Models = []site.ModelVersion{{Model: "M", Version: versions[i]}}
		next.Endpoints["S"] = append(next.Endpoints["S"], &updated)
	}
	return &next
}

// TestNoRequestsForOldWeights guards against requests that begin on replaced weights long after the new ones were named, however long the
// endpoints take to load these.
func TestNoRequestsForOldWeights(t *testing.T) {
	const limit = 10 * time.Second
	for _, test := range []struct {
		name     string
		age      time.Duration
		versions []uint64
		want     map[string]bool // the endpoints that may get requests
	}{
		{"just named", 0, []uint64{1, 1, 1}, map[string]bool{"e0": true, "e1": true, "e2": true}},
		{"one is up to date", 9 * time.Second, []uint64{1, 2, 1}, map[string]bool{"e1": true}},
		{"one has loaded a newer version", 9 * time.Second, []uint64{1, 3, 1}, map[string]bool{"e1": true}},
		{"none is up to date", time.Hour, []uint64{1, 1, 1}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool { return writeOK(c, id, "whole") })
			f.snapshot.Configuration.Services["S"].Engine = &site.Engine{}
			f.snapshot = withVersions(f.snapshot, 2, test.versions...)
			f.handler.Staleness, f.versionAge = staleness.Rule{Limit: limit}, test.age
			for range 20 {
				status, body, err := f.send(t, "POST", "/never/1", "Model: M")
				is.NoErr(err)
				is.Equal(status == 200, test.want != nil)
				is.True(test.want != nil || status == 503 && body == "{\"reason\":\"OldWeights\",\"outcome\":\"not run\"}\n")
			}
			for _, id := range f.arrivals {
				is.True(test.want[id])
			}
		})
	}
}

// TestWaitingRequestsLeaveOldWeights guards against a request that waits at an endpoint whose weights are replaced meanwhile, and begins there
// after the limit.
func TestWaitingRequestsLeaveOldWeights(t *testing.T) {
	for _, test := range []struct {
		name, path string
		begins     bool // before the limit
		wantStatus int
		wantRuns   int
	}{
		{"may be repeated", "/resume/1", false, 200, 2},
		{"must not be repeated", "/stream/1", false, 502, 1},
		{"has begun", "/stream/1", true, 200, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, func(n int, id string, _ *http.Request, c net.Conn) bool {
				if n == 0 && !test.begins {
					goDark(c)
					return false
				}
				streamHead(c, id)
				writeEvent(c, 1)
				if n == 0 {
					time.Sleep(time.Second)
				}
				writeEvent(c, 2)
				chunk(c, "")
				return true
			})
			f.snapshot.Configuration.Services["S"].Engine = &site.Engine{}
			f.snapshot = withVersions(f.snapshot, 1, 1, 1, 1)
			f.handler.Staleness = staleness.Rule{Limit: 500 * time.Millisecond}
			f.replaced, f.replacedAt = withVersions(f.snapshot, 2, 1, 1, 1), time.Now().Add(200*time.Millisecond)
			for _, e := range f.replaced.Endpoints["S"][1:] {
				e.Models[0].Version = 2
			}
			f.snapshot.Endpoints["S"] = f.snapshot.Endpoints["S"][:1]
			sentAt := time.Now()
			status, _, err := f.send(t, "POST", test.path, "Model: M")
			is.NoErr(err)
			is.Equal(status, test.wantStatus)
			is.Equal(f.arrivalCount(), test.wantRuns)
			is.True(test.begins || time.Since(sentAt) < 2*time.Second)
		})
	}
}
