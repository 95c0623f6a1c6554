package caller_test

import (
	"testing"
	"time"

	"primrosecourse/pkg/wire"
)

// TestPatience guards against requests that fail while agents are replaced one after the other, and against suspects of a
// crash that fail because another one is running, and prompts that fail while all endpoints load a new weight version.
func TestPatience(t *testing.T) {
	for _, test := range []struct {
		name    string
		scripts []script
		path    string
		want    int
		targets int
	}{
		{"order, no owner reachable at first", []script{unsent, unsent, unsent, created}, "/services/Orders/new", 201, 4},
		{"order, all owners stop", []script{refused(wire.ReasonDraining), refused(wire.ReasonDraining),
			refused(wire.ReasonDraining), created}, "/services/Orders/new", 201, 4},
		{"order, may have left in the second round", []script{unsent, unsent, unsent, gone, created}, "/services/Orders/new",
			502, 4},
		{"prompt, nothing reachable at first", []script{unsent, unsent, unsent, whole}, "/v1/completions", 200, 4},
		{"prompt, suspects run everywhere", []script{refused(wire.ReasonSuspectRunning), refused(wire.ReasonSuspectRunning),
			refused(wire.ReasonSuspectRunning), whole}, "/v1/completions", 200, 4},
		{"prompt, weights load everywhere", []script{refused(wire.ReasonWrongVersion), refused(wire.ReasonWrongVersion),
			refused(wire.ReasonWrongVersion), whole}, "/v1/completions", 200, 4},
		{"prompt, all busy", []script{refused(wire.ReasonBusy), refused(wire.ReasonBusy), refused(wire.ReasonBusy), whole},
			"/v1/completions", 503, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, test.scripts...)
			s.ReachPatience, s.TurnPatience = time.Hour, time.Hour
			w := s.do("POST", test.path, streamed, "Idempotency-Key: key-1")
			s.is.Equal(w.Code, test.want)
			s.is.Equal(len(s.agents.targets), test.targets)
		})
	}
}
