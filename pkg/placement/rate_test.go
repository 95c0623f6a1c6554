package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/intake"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// TestChoiceAmongStatedRates guards against endpoints with a stated rate that get more than it, or far less, while others take the rest; and
// against a refusal while one of them takes requests.
func TestChoiceAmongStatedRates(t *testing.T) {
	is := is.New(t)
	table := placement.New()
	now := time.Unix(1_800_000_000, 0)
	var endpoints []*site.Endpoint
	for i := range 12 {
		e := &site.Endpoint{ID: fmt.Sprint("e", i), Service: "S", State: site.Ready}
		endpoints = append(endpoints, e)
		if i < 8 {
			table.Intake.Observe(now, now.Add(-time.Millisecond), e.ID, intake.Statement{HasRate: true, Rate: 7})
		}
	}
	const seconds, perSecond = 10, 160
	counts := map[string]int{}
	for range seconds * perSecond {
		now = now.Add(time.Second / perSecond)
		r := &placement.Request{Service: "S", Gateways: 1, Tokens: 400, Shared: 300, Homes: []string{endpoints[counts["all"]%8].ID}}
		choice, refusal := table.Choose(now, r, endpoints)
		is.Equal(refusal, nil)
		table.Sent(now, choice.Endpoint, r, choice.PrefillTokens)
		table.Ended(now, choice.Endpoint, r, choice.PrefillTokens, placement.Answered)
		counts[choice.Endpoint.ID]++
		counts["all"]++
	}
	for i := range 8 {
		got := float64(counts[endpoints[i].ID]) / seconds
		is.True(got > 0.85*7 && got < 1.3*7) // the start of the count adds the requests of one second
	}
}

// TestRefusalAmongStatedRates guards against a refusal that gives no time to come back, or the same to all.
func TestRefusalAmongStatedRates(t *testing.T) {
	is := is.New(t)
	table := placement.New()
	now := time.Unix(1_800_000_000, 0)
	e := &site.Endpoint{ID: "e", Service: "S", State: site.Ready}
	table.Intake.Observe(now, now.Add(-time.Millisecond), e.ID, intake.Statement{HasRate: true, Rate: 2})
	times := map[time.Duration]bool{}
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		r := &placement.Request{Service: "S", Gateways: 1}
		choice, refusal := table.Choose(now, r, []*site.Endpoint{e})
		if refusal == nil {
			table.Sent(now, choice.Endpoint, r, 0)
			table.Ended(now, e, r, 0, placement.Answered)
			continue
		}
		is.Equal(refusal.Reason, placement.RateLimited)
		is.True(refusal.RetryAfter >= 250*time.Millisecond && refusal.RetryAfter <= 10*time.Second)
		times[refusal.RetryAfter] = true
	}
	is.True(len(times) > 200)
}
