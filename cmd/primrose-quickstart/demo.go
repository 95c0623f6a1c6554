package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/process/operator"
)

// demo sends requests to a system, and prints and checks the results.
type demo struct {
	*system
	requests int
}

// styleGuide is the prefix that all prompts of the organisation share. It fills two cache blocks.
var styleGuide = strings.Repeat("Titles are short. Steps are numbered. Quantities are metric. ", 10)[:2*blockTokens]

// draft returns a long prompt with this number of lines. A draft with more lines begins with the text of one with fewer.
func draft(lines int) string {
	var b strings.Builder
	b.WriteString(styleGuide)
	for i := range lines {
		fmt.Fprintf(&b, "Line %d of the draft says what the earlier lines left out. ", i)
	}
	return b.String()
}

// newPrompt sends a prompt that no engine has prefilled.
func (d *demo) newPrompt(ctx context.Context) error {
	fmt.Println("A long prompt that no engine has computed before:")
	_, err := d.prompt(ctx, 0, draft(100))
	return err
}

// repeatedPrompt sends the same prompt with two more lines and checks that a part of it is cached.
func (d *demo) repeatedPrompt(ctx context.Context) error {
	fmt.Println("The same prompt with two more lines, through the other entry:")
	cached, err := d.prompt(ctx, 1, draft(102))
	if err == nil && cached == 0 {
		err = errors.New("no part of the repeated prompt was cached")
	}
	return err
}

// repeatedOrder sends an order twice with the same idempotency key and checks that it runs once.
func (d *demo) repeatedOrder(ctx context.Context) error {
	fmt.Println("An order, and the same order again through the other entry:")
	for i := range d.entries {
		if err := d.order(ctx, i, "order-1"); err != nil {
			return err
		}
	}
	runs := 0
	for _, s := range d.services {
		runs += len(s.Ledger())
	}
	fmt.Printf("  the order services ran it %d time(s)\n", runs)
	if runs != 1 {
		return errors.Newf("the order ran %d times", runs)
	}
	return nil
}

// leaveDomain sets a failure domain to Leaving, sends four prompts and checks that the engine of the domain receives none of them.
func (d *demo) leaveDomain(ctx context.Context) error {
	fmt.Println("Failure domain South leaves, and four similar prompts follow:")
	if _, err := d.operator.LeaveDomain(ctx, "South", operator.Options{Wait: true}); err != nil {
		return err
	}
	runsBefore := len(d.engines["Model2"].Ledger().Runs)
	for i := range 4 {
		if _, err := d.prompt(ctx, i%2, draft(102+i)); err != nil {
			return err
		}
	}
	if got := len(d.engines["Model2"].Ledger().Runs) - runsBefore; got != 0 {
		return errors.Newf("the engine in South got %d new runs", got)
	}
	fmt.Println("  the engine in South got no new run")
	return nil
}

// returnDomain sets the failure domain to Active again and sends a prompt.
func (d *demo) returnDomain(ctx context.Context) error {
	fmt.Println("Failure domain South returns:")
	if _, err := d.operator.ReturnDomain(ctx, "South", operator.Options{Wait: true}); err != nil {
		return err
	}
	_, err := d.prompt(ctx, 0, draft(106))
	return err
}

// checkExcess returns an error if an engine received runs beyond its capacity.
func (d *demo) checkExcess() error {
	for name, e := range d.engines {
		if excess := e.Ledger().Excess; excess > 0 {
			return errors.Newf("%s received %d runs beyond its capacity", name, excess)
		}
	}
	return nil
}

// prompt streams a completion through an entry. It prints the time to first token and the token counts, and returns the number of
// cached tokens.
func (d *demo) prompt(ctx context.Context, entry int, text string) (cached int, err error) {
	defer func() { err = errors.Wrap(err, "prompt") }()
	body, err := json.Marshal(map[string]any{
		"model": modelName, "prompt": text, "max_tokens": 32, "stream": true,
		"stream_options": map[string]any{"include_usage": true},
	})
	if err != nil {
		return 0, err
	}
	sent := time.Now()
	resp, err := d.post(ctx, entry, "/v1/completions", "", body)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	first, usage, err := readStream(resp.Body)
	if err != nil {
		return 0, err
	}
	cached = usage.PromptTokensDetails.CachedTokens
	fmt.Printf("  first token after %4d ms, %d of %d prompt tokens cached, %d tokens generated\n",
		first.Sub(sent).Milliseconds(), cached, usage.PromptTokens, usage.CompletionTokens)
	if usage.CompletionTokens != 32 {
		return cached, errors.Newf("got %d tokens instead of 32", usage.CompletionTokens)
	}
	return cached, nil
}

// usage is the token usage that a stream reports in an event near its end.
type usage struct {
	PromptTokens        int `json:"prompt_tokens"`
	CompletionTokens    int `json:"completion_tokens"`
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// readStream reads server-sent events to the end. It returns the time at which the first one arrived and the token usage.
func readStream(r io.Reader) (first time.Time, u usage, err error) {
	lines := bufio.NewScanner(r)
	done := false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if first.IsZero() {
			first = time.Now()
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk struct{ Usage *usage }
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return first, u, err
		}
		if chunk.Usage != nil {
			u = *chunk.Usage
		}
	}
	if err = lines.Err(); err == nil && !done {
		err = errors.New("the stream ended before [DONE]")
	}
	return first, u, err
}

// order sends an order with an idempotency key through an entry and prints the answer.
func (d *demo) order(ctx context.Context, entry int, key string) (err error) {
	defer func() { err = errors.Wrap(err, "order") }()
	resp, err := d.post(ctx, entry, "/services/Orders/orders", key, []byte(`{"Item":"50 cards"}`))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	fmt.Printf("  %s answered: %s %s\n", d.deployment.Entries[entry].Name, resp.Status, bytes.TrimSpace(body))
	return err
}

// post sends a request to an entry. It returns an error with the body of the answer if the status is 400 or above.
func (d *demo) post(ctx context.Context, entry int, path, key string, body []byte) (*http.Response, error) {
	url := fmt.Sprintf("http://%s%s", d.entries[entry].BoundAddress(), path)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+credential)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	d.requests++
	if resp.StatusCode >= http.StatusBadRequest {
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body) // for the error message only
		return nil, errors.Newf("%s: %s", resp.Status, text)
	}
	return resp, nil
}
