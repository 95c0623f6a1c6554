package forward_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"primrosecourse/internal/connection/endpoint"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/staleness"
)

// TestWaitingRequestLeavesWhenAgeIsLearnedLate guards against a request that waits at an endpoint beyond the limit, because the gateway learned
// only after it had sent the request for how long the endpoint's weights had been replaced.
func TestWaitingRequestLeavesWhenAgeIsLearnedLate(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ int, _ string, _ *http.Request, c net.Conn) bool {
		goDark(c)
		return false
	})
	f.snapshot.Configuration.Services["S"].Engine = &site.Engine{}
	f.snapshot = withVersions(f.snapshot, 1, 1, 1, 1)
	f.handler.Staleness = staleness.Rule{Limit: 2 * time.Second}
	f.replaced, f.replacedAt = withVersions(f.snapshot, 2, 1, 1, 1), time.Now().Add(200*time.Millisecond)
	f.versionAge = 1800 * time.Millisecond // so that the limit is reached 400 ms after the start
	sentAt := time.Now()
	_, _, err := f.send(t, "POST", "/stream/1", "Model: M")
	is.NoErr(err)
	is.True(time.Since(sentAt) < time.Second)
}

// unsentSender never gets a connection.
type unsentSender struct{}

func (unsentSender) Send(ctx context.Context, _ endpoint.Target, _ *endpoint.Call) (*endpoint.Answer, error) {
	<-ctx.Done()
	return nil, errors.Mark(ctx.Err(), endpoint.ErrNotSent)
}

// TestUnsentRequestAtLimitDidNotRun guards against a caller that is told that the outcome is unknown, although no byte of the request was sent.
func TestUnsentRequestAtLimitDidNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(int, string, *http.Request, net.Conn) bool { return false })
	f.snapshot.Configuration.Services["S"].Engine = &site.Engine{}
	f.snapshot = withVersions(f.snapshot, 1, 1, 1, 1)
	f.handler.Staleness = staleness.Rule{Limit: 500 * time.Millisecond}
	f.replaced, f.replacedAt = withVersions(f.snapshot, 2, 1, 1, 1), time.Now().Add(100*time.Millisecond)
	f.handler.Endpoints = unsentSender{}
	status, body, err := f.send(t, "POST", "/never/1", "Model: M")
	is.NoErr(err)
	is.Equal(status, 503)
	is.Equal(body, "{\"reason\":\"OldWeights\",\"outcome\":\"not run\"}\n")
}
