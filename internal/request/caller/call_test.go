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
	created = script{list: []wire.Message{wire.Reply{Status: 201, ContentType: "text/plain", Body: []byte("order 7")}}}
	unsent  = script{refuse: agent.ErrNotSent}
	gone    = script{err: errLost}
)

// Guards against an order that runs twice: once its bytes may have left, no other endpoint may get it.
func TestOrders(t *testing.T) {
	owners := claim.Owners(claim.Shard("Org1", "key-1", 16), []string{"Orders0", "Orders1", "Orders2"})
	redirect := func(to string) script {
		return script{list: []wire.Message{wire.Refused{Reason: wire.ReasonNotOwner, Redirect: to}}}
	}
	ran := func(r wire.Reason, o wire.Outcome) script {
		return script{list: []wire.Message{wire.Refused{Reason: r, Outcome: o}}}
	}
	for _, test := range []struct {
		name    string
		scripts []script
		targets []string
		status  int
		outcome string
		reason  string
	}{
		{"owner", []script{created}, owners[:1], 201, "", ""},
		{"not sent, next owner", []script{unsent, created}, owners[:2], 201, "", ""},
		{"redirect", []script{redirect(owners[2]), created}, []string{owners[0], owners[2]}, 201, "", ""},
		{"redirect to a stranger", []script{redirect("Model1"), created}, owners[:2], 201, "", ""},
		{"not run is followed", []script{refused(wire.ReasonDraining), created}, owners[:2], 201, "", ""},
		{"nobody", []script{unsent, unsent, unsent}, owners, 503, "not run", "NoEndpoint"},
		{"may have left", []script{gone, created}, owners[:1], 502, "outcome unknown", "ReplyLost"},
		{"may have left, second owner", []script{unsent, gone, created}, owners[:2], 502, "outcome unknown", "ReplyLost"},
		{"wrong reply", []script{whole, created}, owners[:1], 502, "outcome unknown", "ReplyLost"},
		{"claimed earlier", []script{ran(wire.ReasonClaimedEarlier, wire.OutcomeUnknown), created}, owners[:1], 409,
			"outcome unknown", "ClaimedEarlier"},
		{"busy but unknown", []script{ran(wire.ReasonBusy, wire.OutcomeUnknown), created}, owners[:1], 503, "outcome unknown", "Busy"},
		{"draining but ran", []script{ran(wire.ReasonDraining, wire.Ran), created}, owners[:1], 503, "ran", "Draining"},
		{"platform down", []script{refused(wire.ReasonPlatformDown), created}, owners[:1], 503, "not run", "PlatformDown"},
		{"key reused", []script{refused(wire.ReasonKeyReused), created}, owners[:1], 422, "not run", "KeyReused"},
		{"redirects in a circle", []script{redirect(owners[1]), redirect(owners[0]), redirect(owners[1]), redirect(owners[0]),
			redirect(owners[1]), created}, []string{owners[0], owners[1], owners[0], owners[1], owners[2]}, 503, "not run", "NotOwner"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, test.scripts...)
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
			a := s.body(w)
			s.is.Equal([]string{a.Outcome, a.Reason}, []string{test.outcome, test.reason})
			s.is.Equal(w.Header().Get("Retry-After") != "", test.outcome == "not run" && test.status == 503)
		})
	}
}

// Guards against status calls that fail with one endpoint, and against their retries without bound.
func TestRepeatableCalls(t *testing.T) {
	for _, test := range []struct {
		name     string
		budget   float64
		scripts  []script
		attempts int
		status   int
	}{
		{"first", 9, []script{created}, 1, 201},
		{"lost", 9, []script{gone, created}, 2, 201},
		{"refused", 9, []script{refused(wire.ReasonServiceDown), gone, created}, 3, 201},
		{"all lost", 9, []script{gone, gone, gone, created}, 3, 502},
		{"no budget", 1e-9, []script{gone, created}, 1, 502},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, test.scripts...)
			s.Budget = &retry.Budget{Burst: test.budget, Ratio: 1e-9, Floor: 1e-9}
			s.is.Equal(s.do("GET", "/services/Orders/status", "").Code, test.status)
			s.is.Equal(len(slices.Compact(slices.Sorted(slices.Values(s.agents.targets)))), test.attempts)
			s.is.Equal(s.agents.calls[0].IdempotencyKey, "")
		})
	}
}

// Guards against a reason without a row, or with another status than docs/http.md gives.
func TestEveryRefusal(t *testing.T) {
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
				synctest.Test(t, func(t *testing.T) { // after OldConfig the entry waits for the new version
					s := newSite(t)
					for range 5 { // the same answer from every endpoint
						s.agents.scripts = append(s.agents.scripts, script{list: []wire.Message{wire.Refused{Reason: r,
							Outcome: wire.Outcome(outcome), Detail: "why"}}})
					}
					w := s.do("POST", "/services/Orders/new", "", "Idempotency-Key: k")
					a := s.body(w)
					s.is.Equal([]any{w.Code, a.Status, "Reason" + a.Reason, a.Outcome}, []any{statuses[r], statuses[r], r.String(), text})
					s.is.Equal(w.Header().Get("Content-Type"), "application/problem+json")
					temporary := statuses[r] == 503 || statuses[r] == 429
					s.is.Equal(w.Header().Get("Retry-After") != "", temporary && text == "not run")
				})
			})
		}
	}
}

// Guards against requests refused because a new configuration reached an agent before the entry.
func TestRequestsWaitForNewConfiguration(t *testing.T) {
	s := newSite(t)
	apply := func(version uint64) script {
		old := refused(wire.ReasonOldConfig)
		old.then = func() { s.Apply(version, deployment()) }
		return old
	}
	s.agents.scripts = []script{apply(2), whole, apply(3), created}
	s.is.Equal(completePrompt(s).Code, 200)
	s.is.Equal(s.do("POST", "/services/Orders/new", "", "Idempotency-Key: k").Code, 201)
	s.is.Equal(s.agents.targets[0], s.agents.targets[1]) // the version was refused, not the request
	s.is.Equal(s.agents.targets[2], s.agents.targets[3])
	s.is.Equal([]uint64{s.agents.submits[1].ConfigVersion, s.agents.calls[1].ConfigVersion}, []uint64{2, 3})
}

// Guards against a page that tells callers another status than they get, and a reason that it leaves out.
func TestPageListsEveryReason(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/http.md")
	is.NoErr(err)
	listed := map[string]string{}
	for _, line := range regexp.MustCompile("(?m)^\\| (`[^|]+) \\| (\\d{3}) \\| (yes|no) \\|").FindAllStringSubmatch(string(page), -1) {
		for _, name := range regexp.MustCompile("`(\\w+)`").FindAllStringSubmatch(line[1], -1) {
			listed[name[1]] = line[2] + " " + line[3]
		}
	}
	is.Equal(listed, caller.RowsForTest())
}
