package loads

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// TestPlansOfOthers guards against a gateway that takes its plan of builds for the latest one although another gateway, of its domain or
// another one, has stated a later one or none is heard.
func TestPlansOfOthers(t *testing.T) {
	for name, domain := range map[string]string{"same domain": "D1", "other domain": "D2"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := freeAddress(t), freeAddress(t)
			var planOfA atomic.Uint64
			planOfA.Store(1)
			exchangeA := &Exchange{Name: "A", Address: a, Domain: "D1", Peers: gateways{{Address: b, FailureDomain: domain}}, Table: &table{},
				Plan: planOfA.Load, View: view{}, Log: logr.Discard()}
			exchangeB := &Exchange{Name: "B", Address: b, Domain: domain, Peers: gateways{{Address: a, FailureDomain: "D1"}}, Table: &table{},
				View: view{}, Log: logr.Discard()}
			is.True(!exchangeB.AgreesOnPlan(time.Now(), 1))
			ctxA, stopA := context.WithCancel(context.Background())
			ctxB, stopB := context.WithCancel(context.Background())
			endedA, endedB := make(chan error, 1), make(chan error, 1)
			go func() { endedA <- exchangeA.Run(ctxA) }()
			go func() { endedB <- exchangeB.Run(ctxB) }()
			await := func(number uint64, agrees bool) {
				t.Helper()
				deadline := time.Now().Add(3 * time.Second)
				for exchangeB.AgreesOnPlan(time.Now(), number) != agrees {
					if time.Now().After(deadline) {
						t.Fatalf("B agrees on plan %d: %t after 3 s", number, !agrees)
					}
					time.Sleep(5 * time.Millisecond)
				}
			}
			await(1, true)
			planOfA.Store(2)
			await(1, false)
			is.True(exchangeB.AgreesOnPlan(time.Now(), 2))
			stopA()
			is.NoErr(<-endedA)
			await(2, false)
			stopB()
			is.NoErr(<-endedB)
		})
	}
}
