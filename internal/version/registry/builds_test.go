package registry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"primrosecourse/internal/version/registry"
	"primrosecourse/pkg/builds"
	"primrosecourse/pkg/site"
)

func encode(v any) json.RawMessage { b, _ := json.Marshal(v); return b }

func newBuildRegistry(book *builds.Book) (*registry.Registry, shared) {
	s := shared{newSource[json.RawMessage]()}
	return &registry.Registry{Name: "G1", Configurations: newSource[*site.Configuration](), Endpoints: newSource[*site.Endpoint](),
		Evacuations: newSource[struct{}](), Versions: newSource[site.ModelVersion](), Shared: s,
		Members: shared{newSource[json.RawMessage]()}, Log: logr.Discard(), Builds: book}, s
}

// TestTakeUpDuringFirstList guards against a stream that is taken up by a plan before the reports of the same list are known.
func TestTakeUpDuringFirstList(t *testing.T) {
	one, _, _ := builds.Next(nil, builds.Supply{"S": {"old": 1}})
	two, _, _ := builds.Next(one, builds.Supply{"S": {"new": 1}})
	for _, gateways := range []int{4, 102, 1299} {
		wrong := 0
		for range 40 {
			book := &builds.Book{}
			book.Restore(time.Now(), nil)
			r, s := newBuildRegistry(book)
			s.put("BuildPlan", encode(two), nil)
			for i := range gateways {
				s.put(fmt.Sprint("Streams.G", i+2), encode(&builds.Report{Number: 1}), nil) // not reported on plan 2 yet
			}
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { _ = r.Run(ctx); close(ended) }()
			for deadline := time.Now().Add(50 * time.Millisecond); time.Now().Before(deadline); {
				if book.Plan().Revision() < 2 {
					continue
				}
				build, k, _ := book.TakeUp(time.Now(), builds.Stream{Service: "S", ID: 1, Key: 1, KeyKnown: true})
				if k == builds.Planned {
					wrong++
					_ = build
				}
				break
			}
			stop()
			<-ended
		}
		if wrong > 0 {
			t.Errorf("%d gateways: in %d of 40 starts a take-up at once after the plan is known counts as planned", gateways, wrong)
		}
	}
}

// TestOwnReportDeleted guards against a gateway that goes on as before after the store has lost its report.
func TestOwnReportDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, _, _ := builds.Next(nil, builds.Supply{"S": {"old": 1}})
		book := &builds.Book{}
		book.Restore(time.Now(), &builds.Report{Number: 1})
		r, s := newBuildRegistry(book)
		s.put("BuildPlan", encode(one), nil)
		s.put("Streams.G1", encode(&builds.Report{Number: 1}), nil)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { _ = r.Run(ctx); close(ended) }()
		time.Sleep(time.Second)
		s.remove("Streams.G1")
		time.Sleep(10 * time.Second)
		if _, due := book.Due(time.Now()); book.Ready() && !due {
			t.Error("the store has no report of this gateway, which begins streams and has none due")
		}
		stop()
		<-ended
	})
}

// TestRestartedWithOtherBuild guards against streams of an endpoint whose entry turns out to have been old and which are not reported.
func TestRestartedWithOtherBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan, _, _ := builds.Next(nil, builds.Supply{"S": {"old": 1}})
		book := &builds.Book{}
		book.Restore(time.Now(), &builds.Report{Number: 1})
		r, _ := newBuildRegistry(book)
		endpoints := newSource[*site.Endpoint]()
		r.Endpoints = endpoints
		endpoints.put("e", &site.Endpoint{ID: "e", Service: "S", Build: "old", StartedAt: time.Unix(1, 0)}, nil)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { _ = r.Run(ctx); close(ended) }()
		time.Sleep(time.Second)
		book.SetPlan(time.Now(), plan)
		book.Begin(time.Now(), builds.Stream{Service: "S", ID: 1, Key: 1, KeyKnown: true, Until: time.Now().Add(8 * time.Second)})
		book.BroughtBy(1, "e")
		endpoints.put("e", &site.Endpoint{ID: "e", Service: "S", Build: "new", StartedAt: time.Unix(2, 0)}, nil)
		time.Sleep(time.Second)
		if report, due := book.Due(time.Now()); !due || len(report.Streams) != 1 {
			t.Errorf("due %v, %+v", due, report)
		}
		stop()
		<-ended
	})
}

// TestReportOutlivesGateway guards against the report of a gateway that is deleted while its streams may be taken up, since it has not changed for
// long, and against one that stays for ever.
func TestReportOutlivesGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book := &builds.Book{}
		book.Restore(time.Now(), &builds.Report{})
		r, s := newBuildRegistry(book)
		members := r.Members.(shared)
		s.put("Streams.G2", encode(&builds.Report{Number: 1}), nil)
		has := func() bool {
			_, _, err := s.Get(t.Context(), "Streams.G2")
			return err == nil
		}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { _ = r.Run(ctx); close(ended) }()
		for n := range 20 {
			members.put("G2", encode(&registry.Member{Name: "G2", Beat: uint64(n)}), nil)
			time.Sleep(10 * time.Second)
		}
		for range 3 {
			members.remove("G2") // it stops
			for range 30 {
				time.Sleep(time.Second)
				if !has() {
					t.Fatal("the report of a gateway that stopped less than 30 s ago was deleted")
				}
			}
			members.put("G2", encode(&registry.Member{Name: "G2"}), nil) // it has started again
			time.Sleep(5 * time.Second)
		}
		members.remove("G2")
		time.Sleep(builds.MaxTakeUpTime - time.Second)
		if !has() {
			t.Error("the report of a gateway was deleted within the time for which its streams may be taken up")
		}
		time.Sleep(2 * time.Minute)
		if has() {
			t.Error("the report of a gateway that is gone for three minutes is still there")
		}
		stop()
		<-ended
	})
}
