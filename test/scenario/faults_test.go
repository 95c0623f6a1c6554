package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	clientplatform "primrosecourse/internal/process/platform"
	"primrosecourse/internal/standin/engine"
	"primrosecourse/internal/standin/fault"
	"primrosecourse/internal/standin/platform"
	"primrosecourse/test/site"
)

// background is a request that a script sends without waiting and awaits later.
type background struct {
	call   call
	prompt bool
	answer answer
	err    error
	done   chan struct{}
}

// cmdBackground sends an order or a prompt, named by the first argument, without waiting for the answer.
func cmdBackground(s *system, _ *testscript.TestScript, args []string) error {
	c := s.parseCall(args[1:])
	b := &background{call: c, prompt: args[0] == "prompt", done: make(chan struct{})}
	s.pending = append(s.pending, b)
	go func() {
		defer close(b.done)
		if args[0] == "order" {
			b.answer, b.err = s.send(c, "/services/Orders/orders", c.rest[0], c.rest[1])
			return
		}
		b.answer, b.err = s.send(c, "/v1/completions", "", completion(c.rest[0], c.maxTokens))
	}()
	return nil
}

// cmdAwait waits for the oldest background request and prints its answer.
func cmdAwait(s *system, ts *testscript.TestScript, _ []string) error {
	b := s.pending[0]
	s.pending = s.pending[1:]
	select {
	case <-b.done:
	case <-time.After(site.ReadyTimeout):
		return fmt.Errorf("background request: no answer in time")
	}
	if b.err != nil {
		return b.err
	}
	if b.prompt {
		s.print(ts, s.describePrompt(b.call, b.answer))
		return nil
	}
	s.print(ts, b.answer.String())
	return nil
}

func cmdSleep(_ *system, _ *testscript.TestScript, args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// cmdList sets the list of live instances that the platform serves. It is empty by default.
func cmdList(s *system, _ *testscript.TestScript, args []string) error {
	var list []clientplatform.Instance
	for _, name := range args {
		list = append(list, clientplatform.Instance{Name: name, Address: s.Peers[name], FailureDomain: s.Domains[name]})
	}
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+s.Addresses["platform"].String()+"/instances", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := s.HTTP.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("list: %s", resp.Status)
	}
	return nil
}

// cmdWritten fails unless the platform has applied at least N writes of an object kind.
func cmdWritten(s *system, _ *testscript.TestScript, args []string) error {
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	var calls []platform.Call
	if err := s.getJSON("platform", "/ledger", &calls); err != nil {
		return err
	}
	got := 0
	for _, c := range calls {
		if c.Operation == "Put" && c.Kind == args[0] && c.Status == http.StatusOK {
			got++
		}
	}
	if got < want {
		return fmt.Errorf("platform applied %d writes of %s, want at least %d", got, args[0], want)
	}
	return nil
}

// cmdFaults fails unless N faults remain at the named stand-ins. A fault with a Count is removed once it has occurred that
// often, unless it is a pause.
func cmdFaults(s *system, _ *testscript.TestScript, args []string) error {
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	got := 0
	for _, name := range args[1:] {
		var rules []fault.Rule
		if err := s.getJSON(name, "/fault", &rules); err != nil {
			return err
		}
		got += len(rules)
	}
	if got != want {
		return fmt.Errorf("%d faults remain, want %d", got, want)
	}
	return nil
}

// ledger reads the ledger of an engine.
func (s *system) ledger(model string) (l engine.Ledger, err error) {
	err = s.getJSON(model+".engine", "/ledger", &l)
	return l, err
}

// cmdSettled fails if the engine of the endpoint has an unfinished run. After it succeeds, any run in progress is a new one.
func cmdSettled(s *system, _ *testscript.TestScript, args []string) error {
	l, err := s.ledger(args[0])
	if err != nil {
		return err
	}
	for _, run := range l.Runs {
		if run.Finished.IsZero() {
			return fmt.Errorf("run %s has not finished", run.RequestID)
		}
	}
	return nil
}

// cmdCount records the number of runs of an engine for cmdUnchanged.
func cmdCount(s *system, _ *testscript.TestScript, args []string) error {
	l, err := s.ledger(args[0])
	s.counted[args[0]] = len(l.Runs)
	return err
}

// cmdUnchanged fails if the engine has accepted a run since the last cmdCount for it.
func cmdUnchanged(s *system, _ *testscript.TestScript, args []string) error {
	l, err := s.ledger(args[0])
	if err != nil {
		return err
	}
	if len(l.Runs) != s.counted[args[0]] {
		return fmt.Errorf("%s got %d new runs", args[0], len(l.Runs)-s.counted[args[0]])
	}
	return nil
}

// cmdAdmin posts to an admin route of an endpoint's engine: "admin Model1 cold".
func cmdAdmin(s *system, _ *testscript.TestScript, args []string) error {
	resp, err := s.HTTP.Post("http://"+s.Addresses[args[0]+".engine"].String()+"/admin/"+args[1], "", nil)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("admin %s: %s", args[1], resp.Status)
	}
	return nil
}

// safeToRetry reports whether a load balancer may send the request to another entry: the connection was refused, or the
// entry answered that it is shutting down and that the request did not run.
func safeToRetry(a answer, err error) bool {
	if err != nil {
		return strings.Contains(err.Error(), "connection refused")
	}
	var p struct{ Outcome, Reason string }
	if a.status != http.StatusServiceUnavailable || json.Unmarshal([]byte(a.body), &p) != nil {
		return false
	}
	return p.Outcome == "not run" && p.Reason == "Draining"
}
