package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"

	"primrosecourse/test/site"
)

// registry maps running scripts to their systems. It is safe for concurrent use.
type registry struct {
	mu       sync.Mutex
	byScript map[*testscript.TestScript]*system
}

func newRegistry() *registry { return &registry{byScript: map[*testscript.TestScript]*system{}} }

func (r *registry) put(ts *testscript.TestScript, s *system) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byScript[ts] = s
}

func (r *registry) get(ts *testscript.TestScript) *system {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byScript[ts]
}

func (r *registry) remove(ts *testscript.TestScript) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byScript, ts)
}

// call contains the arguments of a script command that sends a request.
type call struct {
	organisation string
	entry        string
	maxTokens    string
	rest         []string // arguments after those of the form KEY=VALUE
}

// parseCall parses the arguments of a command that sends a request.
func (s *system) parseCall(args []string) call {
	c := call{organisation: "Org1", entry: s.Entries[0], maxTokens: "24"}
	for len(args) > 0 {
		key, value, ok := strings.Cut(args[0], "=")
		if !ok {
			break
		}
		switch key {
		case "as":
			c.organisation = value
		case "via":
			c.entry = value
		case "max":
			c.maxTokens = value
		}
		args = args[1:]
	}
	c.rest = args
	return c
}

// answer is what an entry sent back. Outcome and reason are set if the body is a problem document (application/problem+json).
type answer struct {
	status  int
	outcome string
	reason  string
	body    string
}

func (a answer) String() string {
	return fmt.Sprintf("status=%d outcome=%q reason=%q body=%s", a.status, a.outcome, a.reason, a.body)
}

// send sends a request as the organisation of c through the entry of c. Key is the idempotency key, if not empty.
func (s *system) send(c call, path, key, body string) (a answer, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Addresses[c.entry].String()+path, strings.NewReader(body))
	if err != nil {
		return a, err
	}
	req.Header.Set("Authorization", "Bearer "+site.Credential(c.organisation))
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := s.HTTP.Do(req)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return a, err
	}
	a = answer{status: resp.StatusCode, body: string(text)}
	var problem struct{ Outcome, Reason string }
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		if err := json.Unmarshal(text, &problem); err != nil {
			return a, err
		}
		a.outcome, a.reason = problem.Outcome, problem.Reason
	}
	return a, nil
}

// cmdPrompt sends a completion request and prints the answer. A status other than 200 is not a failure of the command.
func cmdPrompt(s *system, ts *testscript.TestScript, args []string) error {
	c := s.parseCall(args)
	a, err := s.send(c, "/v1/completions", "", completion(c.rest[0], c.maxTokens))
	if err != nil {
		return err
	}
	s.print(ts, s.describePrompt(c, a))
	return nil
}

// describePrompt formats the answer to a prompt. The value of whole reports whether the status is 200 and the text is the one that
// every engine generates.
func (s *system) describePrompt(c call, a answer) string {
	tokens, _ := strconv.Atoi(c.maxTokens) // the entry refuses a text that is not a number as a bad request
	complete := a.status == http.StatusOK && completionText(a.body) == expectedAnswer(c.rest[0], tokens)
	return fmt.Sprintf("whole=%t %s", complete, a)
}

// completion returns the body of a completion request.
func completion(prompt, maxTokens string) string {
	text, _ := json.Marshal(prompt) // encoding a string cannot fail
	return fmt.Sprintf(`{"model":"Notes","prompt":%s,"max_tokens":%s}`, text, maxTokens)
}

// cmdStream sends a completion request, reads the answer as server-sent events and prints whether it is complete and correct
// and whether the stream ended with [DONE].
func cmdStream(s *system, ts *testscript.TestScript, args []string) error {
	c := s.parseCall(args)
	body := strings.Replace(completion(c.rest[0], c.maxTokens), "{", `{"stream":true,`, 1)
	a, err := s.send(c, "/v1/completions", "", body)
	if err != nil {
		return err
	}
	text, done := "", false
	for line := range strings.Lines(a.body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		switch {
		case ok && data == "[DONE]":
			done = true
		case ok:
			text += completionText(data)
		}
	}
	tokens, _ := strconv.Atoi(c.maxTokens) // the entry refuses a text that is not a number as a bad request
	s.print(ts, fmt.Sprintf("whole=%t done=%t status=%d", text == expectedAnswer(c.rest[0], tokens), done, a.status))
	return nil
}

// cmdOrder sends an order with an idempotency key and prints the answer.
func cmdOrder(s *system, ts *testscript.TestScript, args []string) error {
	c := s.parseCall(args)
	a, err := s.send(c, "/services/Orders/orders", c.rest[0], c.rest[1])
	if err != nil {
		return err
	}
	s.print(ts, a.String())
	return nil
}
