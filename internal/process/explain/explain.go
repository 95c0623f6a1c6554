package explain

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/connection/http1"
)

// Path is the path at which a gateway explains.
const Path = "/explain"

const (
	// maxQuestionBytes bounds a question, maxExplanationBytes an explanation, which has some hundred bytes for each endpoint of a service.
	maxQuestionBytes    = 64 << 10
	maxExplanationBytes = 64 << 20
)

// Question describes a request.
type Question struct {
	Host       string
	Path       string
	Credential string `json:",omitempty"`
	Model      string `json:",omitempty"`
	// Parts are the parts of the prompt in order. The last one is specific to the request.
	Parts        []Part `json:",omitempty"`
	PromptTokens int    `json:",omitempty"`
	MaxTokens    int    `json:",omitempty"`
}

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Explanation is what a gateway would do with a request now.
type Explanation struct {
	// Gateway is the name of the gateway and Configuration the version of its configuration.
	Gateway       string
	Configuration uint64 `json:",omitempty"`
	// Route, Kind, Organisation and Service are empty if the request is refused before they are known. Shares are the services among which
	// one is drawn for each request, if there are several.
	Route        string   `json:",omitempty"`
	Kind         string   `json:",omitempty"`
	Organisation string   `json:",omitempty"`
	Service      string   `json:",omitempty"`
	Shares       []string `json:",omitempty"`
	// Version is the weight version of the model that is to be served, 0 if none is named. Build is the build to which the stream is bound,
	// empty if it is not bound to any.
	Version uint64 `json:",omitempty"`
	Build   string `json:",omitempty"`
	// Candidates are the eligible endpoints of the service. Endpoint is the one to which the request would go and Reason why; they are empty
	// if it is refused.
	Candidates []Candidate `json:",omitempty"`
	Endpoint   string      `json:",omitempty"`
	Reason     string      `json:",omitempty"`
	Refusal    *Refusal    `json:",omitempty"`
}

// Candidate is an endpoint that may get the request, and its cost.
type Candidate struct {
	Endpoint string
	// Version is the weight version that the endpoint serves, 0 if none is listed.
	Version uint64 `json:",omitempty"`
	Build   string `json:",omitempty"`
	// Excluded is why the endpoint cannot get the request now, empty if it can. The other fields are then valid only as far as they are set.
	Excluded string `json:",omitempty"`
	// Cost is the sum of the wait for other prompts, the prefill of this one, the fetch of its stored parts, and Other: requests in flight,
	// distance, errors, recent refusals and a random millisecond. All are in milliseconds.
	Cost, Wait, Prefill, Fetch, Other float64
	PrefillTokens                     int
	// CachedTokens is the number of tokens of the prompt that the endpoint probably need not prefill.
	CachedTokens int
}

// Refusal is the answer of a gateway that refuses a request.
type Refusal struct {
	Status int
	Reason string
	Detail string `json:",omitempty"`
	// RetryAfter is the time after which the caller would be told to come back, in milliseconds. Waits is set if the gateway would first
	// wait for a part of the request's time.
	RetryAfter int64
	Waits      bool `json:",omitempty"`
}

var client = &http.Client{Transport: http1.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true})}

// Ask asks the gateway with the given address for metrics.
func Ask(ctx context.Context, gateway netip.AddrPort, q *Question) (x *Explanation, err error) {
	defer func() { err = errors.Wrapf(err, "gateway %s", gateway) }()
	body, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway.String()+Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d", response.StatusCode)
	}
	x = &Explanation{}
	return x, json.NewDecoder(io.LimitReader(response.Body, maxExplanationBytes)).Decode(x)
}

// Handler answers questions by explain.
func Handler(explain func(*Question) *Explanation) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := &Question{}
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQuestionBytes)).Decode(q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(explain(q))
	})
}

// WriteText writes the explanation as text.
func (x *Explanation) WriteText(out io.Writer) {
	fmt.Fprintf(out, "gateway %s, configuration %d\n", x.Gateway, x.Configuration)
	for _, line := range []struct{ name, value string }{{"route", x.Route}, {"kind", x.Kind}, {"organisation", x.Organisation},
		{"service", x.Service}, {"drawn from", strings.Join(x.Shares, ", ")}, {"build", x.Build}} {
		if line.value != "" {
			fmt.Fprintf(out, "%s %s\n", line.name, line.value)
		}
	}
	if x.Version > 0 {
		fmt.Fprintf(out, "weight version %d\n", x.Version)
	}
	if len(x.Candidates) > 0 {
		x.writeCandidates(out)
	}
	if r := x.Refusal; r != nil {
		waits := ""
		if r.Waits {
			waits = " after waiting for a part of its time"
		}
		fmt.Fprintf(out, "refused%s: status %d, %s", waits, r.Status, r.Reason)
		if r.Detail != "" {
			fmt.Fprintf(out, " (%s)", r.Detail)
		}
		if r.RetryAfter > 0 {
			fmt.Fprintf(out, ", retry after %s", time.Duration(r.RetryAfter)*time.Millisecond)
		}
		fmt.Fprintln(out)
		return
	}
	fmt.Fprintf(out, "goes to %s: %s\n", x.Endpoint, x.Reason)
}

// writeCandidates writes a table of the candidates. The costs are in milliseconds.
func (x *Explanation) writeCandidates(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "endpoint\tversion\tbuild\tcost ms\twait\tprefill\tfetch\tother\tunread tokens\tcached\texcluded")
	for _, c := range x.Candidates {
		fmt.Fprintf(table, "%s\t%d\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%s\n", c.Endpoint, c.Version, c.Build, c.Cost, c.Wait, c.Prefill, c.Fetch,
			c.Other, c.PrefillTokens, c.CachedTokens, c.Excluded)
	}
	_ = table.Flush()
}
