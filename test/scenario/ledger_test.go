package scenario

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"primrosecourse/internal/standin/engine"
	"primrosecourse/internal/standin/weights"
	"primrosecourse/pkg/token"
)

// cmdExcess fails unless all engines together received N runs beyond their capacity.
func cmdExcess(s *system, _ *testscript.TestScript, args []string) error {
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	got := 0
	for name := range s.Addresses {
		if !strings.HasSuffix(name, ".engine") {
			continue
		}
		var l engine.Ledger
		if err := s.getJSON(name, "/ledger", &l); err != nil {
			return err
		}
		got += l.Excess
	}
	if got != want {
		return fmt.Errorf("engines received %d runs beyond their capacity, want %d", got, want)
	}
	return nil
}

// cmdPosted fails unless the engine, or all engines together for "all", ran the prompt N times.
func cmdPosted(s *system, _ *testscript.TestScript, args []string) error {
	want, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	got := 0
	for name := range s.Addresses {
		if name != args[0]+".engine" && (args[0] != "all" || !strings.HasSuffix(name, ".engine")) {
			continue
		}
		var l engine.Ledger
		if err := s.getJSON(name, "/ledger", &l); err != nil {
			return err
		}
		for _, run := range l.Runs {
			if run.Fingerprint == engine.Fingerprint(token.Encode(args[1])) {
				got++
			}
		}
	}
	if got != want {
		return fmt.Errorf("%s ran the prompt %d times, want %d", args[0], got, want)
	}
	return nil
}

// cmdForeign fails unless all runs together used N cache blocks that another weight version computed.
func cmdForeign(s *system, _ *testscript.TestScript, args []string) error {
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	got := 0
	for name := range s.Addresses {
		model, ok := strings.CutSuffix(name, ".engine")
		if !ok {
			continue
		}
		l, err := s.ledger(model)
		if err != nil {
			return err
		}
		for _, run := range l.Runs {
			got += run.ForeignBlocks
		}
	}
	if got != want {
		return fmt.Errorf("runs used %d cache blocks of another weight version, want %d", got, want)
	}
	return nil
}

// cmdOrders fails unless the engine of the endpoint received N orders of the kind that it did not refuse.
func cmdOrders(s *system, _ *testscript.TestScript, args []string) error {
	want, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	l, err := s.ledger(args[0])
	if err != nil {
		return err
	}
	got := 0
	for _, o := range l.Orders {
		if o.Kind == args[1] && !o.Refused {
			got++
		}
	}
	if got != want {
		return fmt.Errorf("the engine of %s carried out %d orders %s, want %d", args[0], got, args[1], want)
	}
	return nil
}

// cmdLoads fails unless the weight store has served N loads, never more than M at a time.
func cmdLoads(s *system, _ *testscript.TestScript, args []string) error {
	var l weights.Ledger
	if err := s.getJSON("weights", "/ledger", &l); err != nil {
		return err
	}
	if got := strconv.Itoa(l.Loads - l.Running); got != args[0] {
		return fmt.Errorf("weight store served %s loads, want %s", got, args[0])
	}
	if limit, err := strconv.Atoi(args[1]); err != nil || l.MostAtOnce > limit {
		return fmt.Errorf("%d loads ran at a time, want at most %s", l.MostAtOnce, args[1])
	}
	return nil
}

// expectedAnswer returns the text that the engines generate for a prompt, which is the same for all engines.
func expectedAnswer(prompt string, tokens int) string {
	fingerprint := engine.Fingerprint(token.Encode(prompt))
	answer := make([]uint32, tokens)
	for i := range answer {
		answer[i] = engine.Answer(fingerprint, i)
	}
	return token.Decode(answer)
}
