package caller_test

import (
	"testing"
	"time"

	"primrosecourse/pkg/wire"
)

// TestWaitForEndpoints guards against requests that fail while agents are replaced one after the other, against suspects of a
// crash that fail because another suspect is running, and against prompts that fail while all endpoints load a new weight
// version.
func TestWaitForEndpoints(t *testing.T) {
	for _, test := range []struct {
		name    string
		scripts []script
		path    string
		want    int
		targets int
	}{
		{"order, no owner reachable at first", []script{notSent, notSent, notSent, created}, "/services/Orders/new", 201, 4},
		{"order, all owners drain at first", []script{refusal(wire.ReasonDraining), refusal(wire.ReasonDraining),
			refusal(wire.ReasonDraining), created}, "/services/Orders/new", 201, 4},
		{"order, connection lost in the second round", []script{notSent, notSent, notSent, connectionLost, created},
			"/services/Orders/new", 502, 4},
		{"prompt, no endpoint reachable at first", []script{notSent, notSent, notSent, fullAnswer}, "/v1/completions", 200, 4},
		{"prompt, every endpoint runs another suspect at first", []script{refusal(wire.ReasonSuspectRunning),
			refusal(wire.ReasonSuspectRunning), refusal(wire.ReasonSuspectRunning), fullAnswer}, "/v1/completions", 200, 4},
		{"prompt, every endpoint loads weights at first", []script{refusal(wire.ReasonWrongVersion),
			refusal(wire.ReasonWrongVersion), refusal(wire.ReasonWrongVersion), fullAnswer}, "/v1/completions", 200, 4},
		{"prompt, every endpoint busy", []script{refusal(wire.ReasonBusy), refusal(wire.ReasonBusy), refusal(wire.ReasonBusy), fullAnswer},
			"/v1/completions", 503, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer(t, test.scripts...)
			s.UnavailableWait, s.BlockedWait = time.Hour, time.Hour
			w := s.do("POST", test.path, streamedPrompt, "Idempotency-Key: key-1")
			s.is.Equal(w.Code, test.want)
			s.is.Equal(len(s.agents.targets), test.targets)
		})
	}
}
