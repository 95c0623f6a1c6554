package order

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"primrosecourse/internal/process/service"
	"primrosecourse/internal/standin/fault"
	"primrosecourse/pkg/claim"
	"primrosecourse/pkg/wire"
)

// attempt is a call whose answer is awaited later.
func attempt(o *Owner, call wire.Call) <-chan wire.Message {
	answer := make(chan wire.Message, 1)
	go func() { answer <- o.Execute(context.Background(), call) }()
	synctest.Wait()
	return answer
}

// TestOutcomes has a case for each row of the outcome table in docs/orders.md. Each returns what the callers were told,
// in order; runs is how often order "k" ran.
func TestOutcomes(t *testing.T) {
	ctx := context.Background()
	k := order("k", "one")
	within := func(d time.Duration) wire.Call { c := k; c.Timeout = d; return c }
	lostPut := fault.Rule{Kind: fault.ReplyLost, Method: "PUT", Count: 1}
	for _, c := range []struct {
		name string
		do   func(s *site, o *Owner) []wire.Message
		want []string
		runs int
	}{
		{"ran, then completed record found", func(_ *site, o *Owner) []wire.Message {
			return []wire.Message{o.Execute(ctx, k), o.Execute(ctx, k)}
		}, []string{"201 k run 1", "replayed 201 k run 1"}, 1},
		{"completed record found after a restart", func(s *site, o *Owner) []wire.Message {
			first := o.Execute(ctx, k)
			s.close()
			next, _ := s.owner("A")
			synctest.Wait()
			return []wire.Message{first, next.Execute(ctx, k), o.Execute(ctx, k)}
		}, []string{"201 k run 1", "replayed 201 k run 1", "NotRun ReasonDraining"}, 1},
		{"concurrent attempts share one run", func(s *site, o *Owner) []wire.Message {
			s.service.gate = make(chan struct{})
			first, second := attempt(o, k), attempt(o, k)
			close(s.service.gate)
			return []wire.Message{<-first, <-second}
		}, []string{"201 k run 1", "replayed 201 k run 1"}, 1},
		{"claimed by another incarnation that still runs it", func(s *site, o *Owner) []wire.Message {
			s.service.gate = make(chan struct{})
			first := attempt(o, k)
			s.prefer("B")
			b, _ := s.owner("B")
			synctest.Wait()
			second := b.Execute(ctx, k)
			close(s.service.gate)
			return []wire.Message{second, <-first, b.Execute(ctx, k), o.Execute(ctx, k)}
		}, []string{"OutcomeUnknown ReasonClaimedEarlier", "201 k run 1", "OutcomeUnknown ReasonClaimedEarlier",
			"NotRun ReasonNotOwner to B"}, 1},
		{"shard comes back while the order still runs", func(s *site, o *Owner) []wire.Message {
			s.service.gate = make(chan struct{})
			first := attempt(o, k)
			s.prefer("B")
			b, _ := s.owner("B")
			synctest.Wait()
			elsewhere := attempt(b, order("other", ""))
			s.prefer("A")
			second := attempt(o, k)
			close(s.service.gate)
			return []wire.Message{<-first, <-elsewhere, <-second}
		}, []string{"201 k run 1", "201 other run 1", "replayed 201 k run 1"}, 1},
		{"order ended while another agent owned the shard", func(s *site, o *Owner) []wire.Message {
			s.service.gate = make(chan struct{})
			first := attempt(o, k)
			s.prefer("B")
			b, _ := s.owner("B")
			synctest.Wait()
			elsewhere := attempt(b, order("other", ""))
			s.service.gate <- struct{}{} // to the first order, which waits longest
			synctest.Wait()
			s.service.gate <- struct{}{}
			time.Sleep(time.Second) // the write of the result fails
			s.prefer("A")
			second := attempt(o, k)
			return []wire.Message{<-first, <-elsewhere, <-second}
		}, []string{"201 k run 1", "201 other run 1", "OutcomeUnknown ReasonClaimedEarlier"}, 1},
		{"reply of the claim lost after effect", func(s *site, o *Owner) []wire.Message {
			o.Execute(ctx, order("first", ""))
			s.platform.Faults.Set(lostPut)
			return []wire.Message{o.Execute(ctx, k)}
		}, []string{"201 k run 1"}, 1},
		{"reply of the takeover lost after effect", func(s *site, o *Owner) []wire.Message {
			s.platform.Faults.Set(lostPut)
			return []wire.Message{o.Execute(ctx, k)}
		}, []string{"201 k run 1"}, 1},
		{"claim lost without effect", func(s *site, o *Owner) []wire.Message {
			o.Execute(ctx, order("first", ""))
			s.platform.set(1, false)
			first := o.Execute(ctx, k)
			time.Sleep(time.Second)
			return []wire.Message{first, o.Execute(ctx, k)}
		}, []string{"NotRun ReasonPlatformDown retry", "201 k run 1"}, 1},
		{"claim appears after it was refused", func(s *site, o *Owner) []wire.Message {
			o.Execute(ctx, order("first", ""))
			time.Sleep(time.Second) // nothing is pending
			s.platform.set(1, false)
			first := o.Execute(ctx, k)
			s.platform.release(0)
			time.Sleep(time.Second)
			second := o.Execute(ctx, k)
			time.Sleep(time.Second)
			s.close()
			next, _ := s.owner("A")
			synctest.Wait()
			return []wire.Message{first, second, next.Execute(ctx, k)}
		}, []string{"NotRun ReasonPlatformDown retry", "201 k run 1", "replayed 201 k run 1"}, 1},
		{"platform down before the claim", func(s *site, o *Owner) []wire.Message {
			s.platform.set(0, true)
			first, second := o.Execute(ctx, k), o.Execute(ctx, k)
			s.platform.set(0, false)
			time.Sleep(time.Second)
			return []wire.Message{first, second, o.Execute(ctx, k)}
		}, []string{"NotRun ReasonPlatformDown retry", "NotRun ReasonPlatformDown retry", "201 k run 1"}, 1},
		{"platform down while the order runs", func(s *site, o *Owner) []wire.Message {
			s.service.gate = make(chan struct{})
			first := attempt(o, k)
			s.platform.set(0, true)
			close(s.service.gate)
			answers := []wire.Message{<-first, o.Execute(ctx, k)}
			s.platform.set(0, false)
			time.Sleep(time.Minute)
			s.close()
			next, _ := s.owner("A")
			synctest.Wait()
			return append(answers, next.Execute(ctx, k))
		}, []string{"201 k run 1", "replayed 201 k run 1", "replayed 201 k run 1"}, 1},
		{"deadline between claim and send", func(s *site, o *Owner) []wire.Message {
			o.Execute(ctx, order("first", ""))
			time.Sleep(time.Second) // nothing is pending
			s.platform.Faults.Set(fault.Rule{Kind: fault.Delay, Method: "PUT", Count: 1, Delay: time.Second})
			first := o.Execute(ctx, within(time.Second/2))
			time.Sleep(time.Second)
			return []wire.Message{first, o.Execute(ctx, k)}
		}, []string{"NotRun ReasonDeadline", "201 k run 1"}, 1},
		{"deadline while the order runs", func(s *site, o *Owner) []wire.Message {
			s.service.gate = make(chan struct{})
			first := o.Execute(ctx, within(time.Second))
			close(s.service.gate)
			synctest.Wait()
			return []wire.Message{first, o.Execute(ctx, k)}
		}, []string{"OutcomeUnknown ReasonDeadline", "replayed 201 k run 1"}, 1},
		{"service not connected", func(s *site, o *Owner) []wire.Message {
			s.service.next = []error{service.ErrNotSent}
			return []wire.Message{o.Execute(ctx, k), o.Execute(ctx, k)}
		}, []string{"NotRun ReasonServiceDown retry", "201 k run 1"}, 1},
		{"reply of the service lost", func(s *site, o *Owner) []wire.Message {
			s.service.next = []error{service.ErrReplyLost}
			return []wire.Message{o.Execute(ctx, k), o.Execute(ctx, k)}
		}, []string{"OutcomeUnknown ReasonReplyLost", "OutcomeUnknown ReasonClaimedEarlier"}, 1},
		{"same key with another body", func(_ *site, o *Owner) []wire.Message {
			return []wire.Message{o.Execute(ctx, k), o.Execute(ctx, order("k", "two"))}
		}, []string{"201 k run 1", "NotRun ReasonKeyReused"}, 1},
		{"same key with another body while it runs", func(s *site, o *Owner) []wire.Message {
			s.service.gate = make(chan struct{})
			first := attempt(o, k)
			second := o.Execute(ctx, order("k", "two"))
			close(s.service.gate)
			return []wire.Message{<-first, second}
		}, []string{"201 k run 1", "NotRun ReasonKeyReused"}, 1},
		{"same key with another body before the claim is durable", func(s *site, o *Owner) []wire.Message {
			o.Execute(ctx, order("first", ""))
			s.platform.Faults.Set(fault.Rule{Kind: fault.Delay, Method: "PUT", Count: 1, Delay: time.Second})
			first := attempt(o, k)
			return []wire.Message{o.Execute(ctx, order("k", "two")), <-first}
		}, []string{"NotRun ReasonKeyReused", "201 k run 1"}, 1},
		{"caller gone between claim and send", func(s *site, o *Owner) []wire.Message {
			o.Execute(ctx, order("first", ""))
			s.platform.Faults.Set(fault.Rule{Kind: fault.Delay, Method: "PUT", Count: 1, Delay: time.Second})
			gone, cancel := context.WithTimeout(ctx, time.Second/2)
			defer cancel()
			first := o.Execute(gone, k)
			time.Sleep(time.Second)
			if n := s.service.count("k"); n != 0 {
				s.t.Errorf("order of a caller that was told 'not run' ran %d times", n)
			}
			return []wire.Message{first, o.Execute(ctx, k)}
		}, []string{"NotRun ReasonCancelled", "201 k run 1"}, 1},
		{"more orders than the queue", func(s *site, o *Owner) []wire.Message {
			s.service.gate = make(chan struct{})
			o.QueueLength = 1
			first := attempt(o, order("first", ""))
			second := o.Execute(ctx, k)
			close(s.service.gate)
			return []wire.Message{<-first, second}
		}, []string{"201 first run 1", "NotRun ReasonBusy retry"}, 0},
		{"same key for another service", func(_ *site, o *Owner) []wire.Message {
			other := k
			other.Service = "Proofs"
			return []wire.Message{o.Execute(ctx, order("first", "")), o.Execute(ctx, k), o.Execute(ctx, other)}
		}, []string{"201 first run 1", "201 k run 1", "201 k run 2"}, 2},
		{"more orders than the index", func(_ *site, o *Owner) []wire.Message {
			o.MaxRecords = 1
			first := o.Execute(ctx, order("first", ""))
			second := o.Execute(ctx, k)
			time.Sleep(50 * time.Hour) // the first one expires
			return []wire.Message{first, second, o.Execute(ctx, k)}
		}, []string{"201 first run 1", "NotRun ReasonBusy retry", "201 k run 1"}, 1},
		{"large response stored as status", func(s *site, o *Owner) []wire.Message {
			s.service.body = make([]byte, claim.MaxStoredBytes+1)
			o.Execute(ctx, k)
			time.Sleep(time.Second) // the result is recorded
			return []wire.Message{o.Execute(ctx, k)}
		}, []string{`replayed 201 {"Stored":"status only","DroppedBytes":4097}`}, 1},
		{"not the preferred owner", func(s *site, o *Owner) []wire.Message {
			s.prefer("B")
			return []wire.Message{o.Execute(ctx, k)}
		}, []string{"NotRun ReasonNotOwner to B"}, 0},
		{"no key", func(_ *site, o *Owner) []wire.Message {
			return []wire.Message{o.Execute(ctx, order("", ""))}
		}, []string{"NotRun ReasonKeyMissing"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &site{t: t, preferred: "A"}
				o, _ := s.owner("A")
				synctest.Wait()
				answers := c.do(s, o)
				s.close()
				for i, m := range answers {
					if got := brief(m); i >= len(c.want) || got != c.want[i] {
						t.Errorf("answer %d: %s, want %q", i, got, c.want)
					}
				}
				if got := s.service.count("k"); got != c.runs {
					t.Errorf("order ran %d times, want %d", got, c.runs)
				}
			})
		})
	}
}
