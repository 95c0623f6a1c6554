package caller_test

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"primrosecourse/internal/connection/agent"
	"primrosecourse/internal/request/caller"
	"primrosecourse/pkg/claim"
	"primrosecourse/pkg/retry"
	"primrosecourse/pkg/wire"
)

var (
	created        = script{messages: []wire.Message{wire.Reply{Status: 201, ContentType: "text/plain", Body: []byte("order 7")}}}
	notSent        = script{submitErr: agent.ErrNotSent}
	connectionLost = script{err: errLost}
)

// TestNonRepeatableCalls guards against an order that runs twice: once an agent may have received it, it must not be sent to
// another endpoint.
func TestNonRepeatableCalls(t *testing.T) {
	owners := claim.Owners(claim.Shard("Org1", "key-1", 16), []string{"Orders0", "Orders1", "Orders2"})
	redirect := func(to string) script {
		return script{messages: []wire.Message{wire.Refused{Reason: wire.ReasonNotOwner, Redirect: to}}}
	}
	refusedWith := func(r wire.Reason, o wire.Outcome) script {
		return script{messages: []wire.Message{wire.Refused{Reason: r, Outcome: o}}}
	}
	for _, test := range []struct {
		name    string
		scripts []script
		targets []string
		status  int
		outcome string
		reason  string
	}{
		{"owner replies", []script{created}, owners[:1], 201, "", ""},
		{"not sent, next owner", []script{notSent, created}, owners[:2], 201, "", ""},
		{"redirect", []script{redirect(owners[2]), created}, []string{owners[0], owners[2]}, 201, "", ""},
		{"redirect to an endpoint of another kind", []script{redirect("Model1"), created}, owners[:2], 201, "", ""},
		{"refused as not run, next owner", []script{refusal(wire.ReasonDraining), created}, owners[:2], 201, "", ""},
		{"no owner reachable", []script{notSent, notSent, notSent}, owners, 503, "not run", "NoEndpoint"},
		{"connection lost", []script{connectionLost, created}, owners[:1], 502, "outcome unknown", "ReplyLost"},
		{"connection to second owner lost", []script{notSent, connectionLost, created}, owners[:2], 502,
			"outcome unknown", "ReplyLost"},
		{"unexpected message type", []script{fullAnswer, created}, owners[:1], 502, "outcome unknown", "ReplyLost"},
		{"claimed earlier", []script{refusedWith(wire.ReasonClaimedEarlier, wire.OutcomeUnknown), created}, owners[:1], 409,
			"outcome unknown", "ClaimedEarlier"},
		{"busy, outcome unknown", []script{refusedWith(wire.ReasonBusy, wire.OutcomeUnknown), created}, owners[:1], 503,
			"outcome unknown", "Busy"},
		{"draining, ran", []script{refusedWith(wire.ReasonDraining, wire.Ran), created}, owners[:1], 503, "ran", "Draining"},
		{"platform down", []script{refusal(wire.ReasonPlatformDown), created}, owners[:1], 503, "not run", "PlatformDown"},
		{"key reused", []script{refusal(wire.ReasonKeyReused), created}, owners[:1], 422, "not run", "KeyReused"},
		{"circular redirects", []script{redirect(owners[1]), redirect(owners[0]), redirect(owners[1]), redirect(owners[0]),
			redirect(owners[1]), created}, []string{owners[0], owners[1], owners[0], owners[1], owners[2]}, 503, "not run", "NotOwner"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer(t, test.scripts...)
			w := s.do("POST", "/services/Orders/new%2Fone?x=1", "body", "Idempotency-Key: key-1", "Content-Type: text/plain")
			s.is.Equal(w.Code, test.status)
			s.is.Equal(s.agents.targets, test.targets)
			c := s.agents.calls[0]
			s.is.Equal([]string{c.Path, c.Method, string(c.Body), c.IdempotencyKey, c.ContentType, c.Organisation, c.Service},
				[]string{"/new%2Fone?x=1", "POST", "body", "key-1", "text/plain", "Org1", "Orders"})
			s.is.True(s.logged(`"CallRouted"`))
			if test.status == 201 {
				s.is.Equal(w.Body.String(), "order 7")
				return
			}
			a := s.decodeBody(w)
			s.is.Equal([]string{a.Outcome, a.Reason}, []string{test.outcome, test.reason})
			s.is.Equal(w.Header().Get("Retry-After") != "", test.outcome == "not run" && test.status == 503)
		})
	}
}

// TestRepeatableCalls guards against repeatable calls that fail because one endpoint fails, and against unbounded retries.
func TestRepeatableCalls(t *testing.T) {
	for _, test := range []struct {
		name     string
		budget   float64
		scripts  []script
		attempts int
		status   int
	}{
		{"first endpoint replies", 9, []script{created}, 1, 201},
		{"connection lost", 9, []script{connectionLost, created}, 2, 201},
		{"refused, then connection lost", 9, []script{refusal(wire.ReasonServiceDown), connectionLost, created}, 3, 201},
		{"all connections lost", 9, []script{connectionLost, connectionLost, connectionLost, created}, 3, 502},
		{"retry budget spent", 1e-9, []script{connectionLost, created}, 1, 502},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer(t, test.scripts...)
			s.Budget = &retry.Budget{Burst: test.budget, Ratio: 1e-9, PerSecond: 1e-9}
			s.is.Equal(s.do("GET", "/services/Orders/status", "").Code, test.status)
			s.is.Equal(len(slices.Compact(slices.Sorted(slices.Values(s.agents.targets)))), test.attempts)
			s.is.Equal(s.agents.calls[0].IdempotencyKey, "")
		})
	}
}

// TestRepeatableCallThatMayHaveRun guards against a repeatable call that is reported as not run since the last endpoint says so, although
// an earlier one may have run it.
func TestRepeatableCallThatMayHaveRun(t *testing.T) {
	for name, scripts := range map[string][]script{
		"connection lost, then refused": {connectionLost, refusal(wire.ReasonServiceDown), refusal(wire.ReasonServiceDown)},
		"unknown, then refused": {{messages: []wire.Message{wire.Refused{Reason: wire.ReasonReplyLost, Outcome: wire.OutcomeUnknown}}},
			refusal(wire.ReasonServiceDown), refusal(wire.ReasonServiceDown)},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, scripts...)
			s.Budget = &retry.Budget{Burst: 9, Ratio: 1e-9, PerSecond: 1e-9}
			w := s.do("GET", "/services/Orders/status", "")
			s.is.Equal(s.decodeBody(w).Outcome, "outcome unknown")
			s.is.Equal(w.Header().Get("Retry-After"), "")
		})
	}
}

// TestEveryReason guards against a reason without an HTTP status, or with a status other than the one in statuses.
func TestEveryReason(t *testing.T) {
	statuses := map[wire.Reason]int{
		wire.ReasonNone: 500, wire.ReasonBusy: 503, wire.ReasonCold: 503, wire.ReasonDraining: 503, wire.ReasonLeaving: 503,
		wire.ReasonOldConfig: 503, wire.ReasonWrongVersion: 503, wire.ReasonUnknownModel: 404, wire.ReasonNotEntitled: 403,
		wire.ReasonOverLimit: 429, wire.ReasonDeadline: 504, wire.ReasonQuarantined: 422, wire.ReasonSuspectRunning: 503,
		wire.ReasonNotOwner: 503, wire.ReasonKeyReused: 422, wire.ReasonKeyMissing: 400, wire.ReasonPlatformDown: 503,
		wire.ReasonServiceDown: 503, wire.ReasonEngineDown: 503, wire.ReasonClaimedEarlier: 409, wire.ReasonReplyLost: 502,
		wire.ReasonNoEndpoint: 503, wire.ReasonBadRequest: 400, wire.ReasonCancelled: 503, wire.ReasonInternal: 500,
	}
	for r := wire.ReasonNone; r <= wire.ReasonInternal; r++ {
		for outcome, text := range []string{"not run", "ran", "outcome unknown"} {
			t.Run(fmt.Sprint(r, " ", text), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { // fake time, because the entry waits for the new version after OldConfig
					s := newTestServer(t)
					for range 5 { // the same refusal for every attempt
						s.agents.scripts = append(s.agents.scripts, script{messages: []wire.Message{wire.Refused{Reason: r,
							Outcome: wire.Outcome(outcome), Detail: "why"}}})
					}
					w := s.do("POST", "/services/Orders/new", "", "Idempotency-Key: k")
					a := s.decodeBody(w)
					s.is.Equal([]any{w.Code, a.Status, "Reason" + a.Reason, a.Outcome}, []any{statuses[r], statuses[r], r.String(), text})
					s.is.Equal(w.Header().Get("Content-Type"), "application/problem+json")
					temporary := statuses[r] == 503 || statuses[r] == 429
					s.is.Equal(w.Header().Get("Retry-After") != "", temporary && text == "not run")
				})
			})
		}
	}
}

// TestRequestsWaitForNewConfiguration guards against requests that fail because a new configuration reached an agent before it
// reached the entry.
func TestRequestsWaitForNewConfiguration(t *testing.T) {
	s := newTestServer(t)
	applyAfterOldConfig := func(version uint64) script {
		oldConfig := refusal(wire.ReasonOldConfig)
		oldConfig.onAttempt = func() { s.Apply(version, deployment()) }
		return oldConfig
	}
	s.agents.scripts = []script{applyAfterOldConfig(2), fullAnswer, applyAfterOldConfig(3), created}
	s.is.Equal(completePrompt(s).Code, 200)
	s.is.Equal(s.do("POST", "/services/Orders/new", "", "Idempotency-Key: k").Code, 201)
	s.is.Equal(s.agents.targets[0], s.agents.targets[1]) // retried at the same endpoint, since only the version was refused
	s.is.Equal(s.agents.targets[2], s.agents.targets[3])
	s.is.Equal([]uint64{s.agents.submits[1].ConfigVersion, s.agents.calls[1].ConfigVersion}, []uint64{2, 3})
}

// TestDocumentationListsEveryReason guards against a reason that is missing in docs/http.md, or has another status there than in
// answers.
func TestDocumentationListsEveryReason(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/http.md")
	is.NoErr(err)
	listed := map[string]string{}
	for _, line := range regexp.MustCompile("(?m)^\\| (`[^|]+) \\| (\\d{3}) \\| (yes|no) \\|").FindAllStringSubmatch(string(page), -1) {
		for _, name := range regexp.MustCompile("`(\\w+)`").FindAllStringSubmatch(line[1], -1) {
			listed[name[1]] = line[2] + " " + line[3]
		}
	}
	is.Equal(listed, caller.ReasonsForTest())
}
