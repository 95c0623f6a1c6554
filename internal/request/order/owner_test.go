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

// executeAsync starts o.Execute in a goroutine and returns a channel that receives the outcome.
func executeAsync(o *Owner, call wire.Call) <-chan wire.Message {
	outcome := make(chan wire.Message, 1)
	go func() { outcome <- o.Execute(context.Background(), call) }()
	synctest.Wait()
	return outcome
}

// TestOutcomes has a case for each row of the outcome table in docs/orders.md. The function of a case returns the
// outcomes that the callers got, in order; runs is the number of times order "k" must run.
func TestOutcomes(t *testing.T) {
	ctx := context.Background()
	k := newOrder("k", "one")
	withTimeout := func(d time.Duration) wire.Call { c := k; c.Timeout = d; return c }
	losePutReply := fault.Rule{Kind: fault.ReplyLost, Method: "PUT", Count: 1}
	for _, c := range []struct {
		name string
		do   func(f *fixture, o *Owner) []wire.Message
		want []string
		runs int
	}{
		{"completed, then attempted again", func(_ *fixture, o *Owner) []wire.Message {
			return []wire.Message{o.Execute(ctx, k), o.Execute(ctx, k)}
		}, []string{"201 k run 1", "replayed 201 k run 1"}, 1},
		{"completed, then attempted again after a restart", func(f *fixture, o *Owner) []wire.Message {
			first := o.Execute(ctx, k)
			f.close()
			restarted, _ := f.startOwner("A")
			synctest.Wait()
			return []wire.Message{first, restarted.Execute(ctx, k), o.Execute(ctx, k)}
		}, []string{"201 k run 1", "replayed 201 k run 1", "NotRun ReasonDraining"}, 1},
		{"concurrent attempts share one run", func(f *fixture, o *Owner) []wire.Message {
			f.service.gate = make(chan struct{})
			first, second := executeAsync(o, k), executeAsync(o, k)
			close(f.service.gate)
			return []wire.Message{<-first, <-second}
		}, []string{"201 k run 1", "replayed 201 k run 1"}, 1},
		{"another incarnation claimed the order and still runs it", func(f *fixture, o *Owner) []wire.Message {
			f.service.gate = make(chan struct{})
			first := executeAsync(o, k)
			f.setPreferred("B")
			b, _ := f.startOwner("B")
			synctest.Wait()
			second := b.Execute(ctx, k)
			close(f.service.gate)
			return []wire.Message{second, <-first, b.Execute(ctx, k), o.Execute(ctx, k)}
		}, []string{"OutcomeUnknown ReasonClaimedEarlier", "201 k run 1", "OutcomeUnknown ReasonClaimedEarlier",
			"NotRun ReasonNotOwner to B"}, 1},
		{"shard ownership returns while the order still runs", func(f *fixture, o *Owner) []wire.Message {
			f.service.gate = make(chan struct{})
			first := executeAsync(o, k)
			f.setPreferred("B")
			b, _ := f.startOwner("B")
			synctest.Wait()
			otherOutcome := executeAsync(b, newOrder("other", ""))
			f.setPreferred("A")
			second := executeAsync(o, k)
			close(f.service.gate)
			return []wire.Message{<-first, <-otherOutcome, <-second}
		}, []string{"201 k run 1", "201 other run 1", "replayed 201 k run 1"}, 1},
		{"order completes while another agent owns the shard", func(f *fixture, o *Owner) []wire.Message {
			f.service.gate = make(chan struct{})
			first := executeAsync(o, k)
			f.setPreferred("B")
			b, _ := f.startOwner("B")
			synctest.Wait()
			otherOutcome := executeAsync(b, newOrder("other", ""))
			f.service.gate <- struct{}{} // received by the first order, which has waited longest
			synctest.Wait()
			f.service.gate <- struct{}{}
			time.Sleep(time.Second) // until the write of the Completed record has failed
			f.setPreferred("A")
			second := executeAsync(o, k)
			return []wire.Message{<-first, <-otherOutcome, <-second}
		}, []string{"201 k run 1", "201 other run 1", "OutcomeUnknown ReasonClaimedEarlier"}, 1},
		{"claim written but reply lost", func(f *fixture, o *Owner) []wire.Message {
			o.Execute(ctx, newOrder("first", ""))
			f.platform.Faults.Set(losePutReply)
			return []wire.Message{o.Execute(ctx, k)}
		}, []string{"201 k run 1"}, 1},
		{"takeover written but reply lost", func(f *fixture, o *Owner) []wire.Message {
			f.platform.Faults.Set(losePutReply)
			return []wire.Message{o.Execute(ctx, k)}
		}, []string{"201 k run 1"}, 1},
		{"claim not written and reply lost", func(f *fixture, o *Owner) []wire.Message {
			o.Execute(ctx, newOrder("first", ""))
			f.platform.setFaults(1, false)
			first := o.Execute(ctx, k)
			time.Sleep(time.Second)
			return []wire.Message{first, o.Execute(ctx, k)}
		}, []string{"NotRun ReasonPlatformDown retry", "201 k run 1"}, 1},
		{"claim written after the order was refused", func(f *fixture, o *Owner) []wire.Message {
			o.Execute(ctx, newOrder("first", ""))
			time.Sleep(time.Second) // until nothing is pending
			f.platform.setFaults(1, false)
			first := o.Execute(ctx, k)
			f.platform.applyWithheld(0)
			time.Sleep(time.Second)
			second := o.Execute(ctx, k)
			time.Sleep(time.Second)
			f.close()
			restarted, _ := f.startOwner("A")
			synctest.Wait()
			return []wire.Message{first, second, restarted.Execute(ctx, k)}
		}, []string{"NotRun ReasonPlatformDown retry", "201 k run 1", "replayed 201 k run 1"}, 1},
		{"platform unavailable before the claim", func(f *fixture, o *Owner) []wire.Message {
			f.platform.setFaults(0, true)
			first, second := o.Execute(ctx, k), o.Execute(ctx, k)
			f.platform.setFaults(0, false)
			time.Sleep(time.Second)
			return []wire.Message{first, second, o.Execute(ctx, k)}
		}, []string{"NotRun ReasonPlatformDown retry", "NotRun ReasonPlatformDown retry", "201 k run 1"}, 1},
		{"platform unavailable while the order runs", func(f *fixture, o *Owner) []wire.Message {
			f.service.gate = make(chan struct{})
			first := executeAsync(o, k)
			f.platform.setFaults(0, true)
			close(f.service.gate)
			outcomes := []wire.Message{<-first, o.Execute(ctx, k)}
			f.platform.setFaults(0, false)
			time.Sleep(time.Minute)
			f.close()
			restarted, _ := f.startOwner("A")
			synctest.Wait()
			return append(outcomes, restarted.Execute(ctx, k))
		}, []string{"201 k run 1", "replayed 201 k run 1", "replayed 201 k run 1"}, 1},
		{"deadline passes between claim and send", func(f *fixture, o *Owner) []wire.Message {
			o.Execute(ctx, newOrder("first", ""))
			time.Sleep(time.Second) // until nothing is pending
			f.platform.Faults.Set(fault.Rule{Kind: fault.Delay, Method: "PUT", Count: 1, Delay: time.Second})
			first := o.Execute(ctx, withTimeout(time.Second/2))
			time.Sleep(time.Second)
			return []wire.Message{first, o.Execute(ctx, k)}
		}, []string{"NotRun ReasonDeadline", "201 k run 1"}, 1},
		{"deadline passes while the order runs", func(f *fixture, o *Owner) []wire.Message {
			f.service.gate = make(chan struct{})
			first := o.Execute(ctx, withTimeout(time.Second))
			close(f.service.gate)
			synctest.Wait()
			return []wire.Message{first, o.Execute(ctx, k)}
		}, []string{"OutcomeUnknown ReasonDeadline", "replayed 201 k run 1"}, 1},
		{"service not reachable", func(f *fixture, o *Owner) []wire.Message {
			f.service.nextFaults = []error{service.ErrNotSent}
			return []wire.Message{o.Execute(ctx, k), o.Execute(ctx, k)}
		}, []string{"NotRun ReasonServiceDown retry", "201 k run 1"}, 1},
		{"service reply lost", func(f *fixture, o *Owner) []wire.Message {
			f.service.nextFaults = []error{service.ErrReplyLost}
			return []wire.Message{o.Execute(ctx, k), o.Execute(ctx, k)}
		}, []string{"OutcomeUnknown ReasonReplyLost", "OutcomeUnknown ReasonClaimedEarlier"}, 1},
		{"same key with another body", func(_ *fixture, o *Owner) []wire.Message {
			return []wire.Message{o.Execute(ctx, k), o.Execute(ctx, newOrder("k", "two"))}
		}, []string{"201 k run 1", "NotRun ReasonKeyReused"}, 1},
		{"same key with another body while the order runs", func(f *fixture, o *Owner) []wire.Message {
			f.service.gate = make(chan struct{})
			first := executeAsync(o, k)
			second := o.Execute(ctx, newOrder("k", "two"))
			close(f.service.gate)
			return []wire.Message{<-first, second}
		}, []string{"201 k run 1", "NotRun ReasonKeyReused"}, 1},
		{"same key with another body before the claim is durable", func(f *fixture, o *Owner) []wire.Message {
			o.Execute(ctx, newOrder("first", ""))
			f.platform.Faults.Set(fault.Rule{Kind: fault.Delay, Method: "PUT", Count: 1, Delay: time.Second})
			first := executeAsync(o, k)
			return []wire.Message{o.Execute(ctx, newOrder("k", "two")), <-first}
		}, []string{"NotRun ReasonKeyReused", "201 k run 1"}, 1},
		{"call cancelled between claim and send", func(f *fixture, o *Owner) []wire.Message {
			o.Execute(ctx, newOrder("first", ""))
			f.platform.Faults.Set(fault.Rule{Kind: fault.Delay, Method: "PUT", Count: 1, Delay: time.Second})
			callerCtx, cancel := context.WithTimeout(ctx, time.Second/2)
			defer cancel()
			first := o.Execute(callerCtx, k)
			time.Sleep(time.Second)
			if n := f.service.runCount("k"); n != 0 {
				f.t.Errorf("order refused as not run ran %d times", n)
			}
			return []wire.Message{first, o.Execute(ctx, k)}
		}, []string{"NotRun ReasonCancelled", "201 k run 1"}, 1},
		{"queue full", func(f *fixture, o *Owner) []wire.Message {
			f.service.gate = make(chan struct{})
			o.QueueLength = 1
			first := executeAsync(o, newOrder("first", ""))
			second := o.Execute(ctx, k)
			close(f.service.gate)
			return []wire.Message{<-first, second}
		}, []string{"201 first run 1", "NotRun ReasonBusy retry"}, 0},
		{"same key for another service", func(_ *fixture, o *Owner) []wire.Message {
			other := k
			other.Service = "Proofs"
			return []wire.Message{o.Execute(ctx, newOrder("first", "")), o.Execute(ctx, k), o.Execute(ctx, other)}
		}, []string{"201 first run 1", "201 k run 1", "201 k run 2"}, 2},
		{"index full", func(_ *fixture, o *Owner) []wire.Message {
			o.MaxRecords = 1
			first := o.Execute(ctx, newOrder("first", ""))
			second := o.Execute(ctx, k)
			time.Sleep(50 * time.Hour) // the record of the first order expires
			return []wire.Message{first, second, o.Execute(ctx, k)}
		}, []string{"201 first run 1", "NotRun ReasonBusy retry", "201 k run 1"}, 1},
		{"large response stored as status only", func(f *fixture, o *Owner) []wire.Message {
			f.service.body = make([]byte, claim.MaxStoredBytes+1)
			o.Execute(ctx, k)
			time.Sleep(time.Second) // until the Completed record is written
			return []wire.Message{o.Execute(ctx, k)}
		}, []string{`replayed 201 {"Stored":"status only","DroppedBytes":4097}`}, 1},
		{"not the preferred owner", func(f *fixture, o *Owner) []wire.Message {
			f.setPreferred("B")
			return []wire.Message{o.Execute(ctx, k)}
		}, []string{"NotRun ReasonNotOwner to B"}, 0},
		{"no idempotency key", func(_ *fixture, o *Owner) []wire.Message {
			return []wire.Message{o.Execute(ctx, newOrder("", ""))}
		}, []string{"NotRun ReasonKeyMissing"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fixture{t: t, preferred: "A"}
				o, _ := f.startOwner("A")
				synctest.Wait()
				outcomes := c.do(f, o)
				f.close()
				for i, m := range outcomes {
					if got := summary(m); i >= len(c.want) || got != c.want[i] {
						t.Errorf("outcome %d: got %s, want outcomes %q", i, got, c.want)
					}
				}
				if got := f.service.runCount("k"); got != c.runs {
					t.Errorf("order k ran %d times, want %d", got, c.runs)
				}
			})
		})
	}
}
