package forward_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/connection/call"
	"primrosecourse/internal/connection/takeups"
	"primrosecourse/pkg/builds"
	"primrosecourse/pkg/site"
)

// others are other gateways that answer about any stream; those that are asked and do not are missing.
type others struct {
	answers []builds.Answer
	missing int
	asked   atomic.Int64
	delay   time.Duration
}

func (o *others) Ask(ctx context.Context, _ uint64) builds.Answers {
	o.asked.Add(1)
	select {
	case <-time.After(o.delay):
	case <-ctx.Done():
		return builds.Answers{}
	}
	n := len(o.answers) + o.missing
	a := builds.Answers{Listed: true, Others: n, Asked: n}
	for _, answer := range o.answers {
		a.Add(answer)
	}
	return a
}

// hangingPlans is a store that does not answer.
type hangingPlans struct{}

func (hangingPlans) Latest(ctx context.Context) (uint64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// newCutOffFixture returns a gateway whose plan has assigned all streams to build old for long, and that the store does not answer.
func newCutOffFixture(t *testing.T, names ...string) *fixture {
	f := newBuildFixture(t, names...)
	f.handler.Builds.Restore(time.Now(), nil)
	plan, _, _ := builds.Next(nil, builds.Supply{"S": {"old": 3}})
	f.handler.Builds.SetPlan(time.Now().Add(-2*builds.MaxTakeUpTime), plan)
	f.handler.Builds.Stored(1)
	f.handler.Plans = plans{book: f.handler.Builds, err: errors.New("the store is away")}
	return f
}

var (
	samePlan  = builds.Answer{Plan: 1, Complete: true}
	laterPlan = builds.Answer{Plan: 2, Complete: true}
	beganNew  = builds.Answer{Plan: 2, Complete: true, Recorded: true, Build: "new"}
	beganOld  = builds.Answer{Plan: 2, Complete: true, Recorded: true, Build: "old"}
)

// TestTakeUpWhileCutOff guards against streams that a gateway which is cut off from the store joins from two builds, since another one that it does
// not hear, or that knows a later plan, began them, and against refusing them while the store is away for all or the gateway that began them answers.
func TestTakeUpWhileCutOff(t *testing.T) {
	for _, c := range []struct {
		name   string
		others *others
		status int
		build  string
	}{
		{"no others", nil, 200, "old"},
		{"others know the same plan", &others{answers: []builds.Answer{samePlan, samePlan}}, 200, "old"},
		{"one knows a later plan", &others{answers: []builds.Answer{samePlan, laterPlan}}, 503, ""},
		{"one of five does not answer", &others{answers: []builds.Answer{samePlan, samePlan, samePlan, samePlan}, missing: 1}, 503, ""},
		{"none answers", &others{missing: 2}, 503, ""},
		{"one has restarted", &others{answers: []builds.Answer{samePlan, {Plan: 1}}}, 503, ""},
		{"one began it at another build", &others{answers: []builds.Answer{samePlan, beganNew}, missing: 1}, 200, "new"},
		{"two began it at two builds", &others{answers: []builds.Answer{beganOld, beganNew}}, 503, ""},
	} {
		for name, hangs := range map[string]bool{"fails": false, "hangs": true} {
			t.Run(c.name+", store "+name, func(t *testing.T) {
				is := is.New(t)
				f := newCutOffFixture(t, "old", "old", "new")
				if hangs {
					f.handler.Plans = hangingPlans{}
				}
				if c.others != nil {
					f.handler.TakeUps = c.others
				}
				started := time.Now()
				status, body, err := f.send(t, http.MethodPost, "/resume/", "Deadline: 5000", "After: 2", "Origin: r0")
				is.NoErr(err)
				is.Equal(status, c.status)
				is.True(time.Since(started) < time.Second)
				if c.status != 200 {
					is.Equal(f.arrivalCount(), 0)
					is.True(strings.Contains(body, "not run"))
					return
				}
				is.Equal(strings.Count(body, "data: "+c.build), 2) // the rest of the stream
			})
		}
	}
}

// TestTakeUpOfStreamKnownElsewhere guards against take-ups that are refused since reports are missing, although the gateway that began the stream serves
// and knows its build, and against others that go on though none knows it.
func TestTakeUpOfStreamKnownElsewhere(t *testing.T) {
	lost := func(f *fixture) {
		f.restore(&builds.Report{Number: 1}, map[string]float64{"old": 3}, map[string]float64{"new": 3})
	}
	behind := func(f *fixture) {
		f.restore(nil, map[string]float64{"old": 3}, map[string]float64{"new": 3})
		f.handler.Builds.Heard(time.Now(), "g", &builds.Report{Number: 1})
	}
	unplanned := func(f *fixture) { f.restore(nil) }
	uncertain := func(f *fixture) {
		f.restore(nil, map[string]float64{"old": 3})
		f.handler.Builds.Heard(time.Now(), "g", &builds.Report{Number: 1, Streams: []builds.Listed{{ID: xxhash.Sum64String("r0"), Service: "S", Unknown: true, LeftMs: 9000}}})
	}
	for _, c := range []struct {
		name    string
		prepare func(f *fixture)
		answer  builds.Answer
		status  int
		asked   int64
	}{
		{"lost", lost, beganOld, 200, 1},
		{"lost, not known elsewhere", lost, laterPlan, 503, 1},
		{"behind", behind, beganOld, 200, 1},
		{"behind, not known elsewhere", behind, laterPlan, 503, 1},
		{"unplanned", unplanned, beganOld, 200, 1},
		{"unplanned, not known elsewhere", unplanned, laterPlan, 503, 1},
		{"uncertain", uncertain, beganOld, 503, 0},
		{"planned", func(f *fixture) { f.restore(nil, map[string]float64{"old": 3}) }, beganNew, 200, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newBuildFixture(t, "old", "old", "new")
			c.prepare(f)
			o := &others{answers: []builds.Answer{c.answer}, missing: 1}
			f.handler.TakeUps = o
			started := time.Now()
			status, body, err := f.send(t, http.MethodPost, "/resume/", "Deadline: 5000", "After: 2", "Origin: r0")
			is.NoErr(err)
			is.Equal(status, c.status)
			is.Equal(o.asked.Load(), c.asked)
			is.True(time.Since(started) < time.Second)
			if c.status == 200 {
				is.Equal(strings.Count(body, "data: old"), 2)
				return
			}
			is.Equal(f.arrivalCount(), 0)
			is.True(strings.Contains(body, "not run"))
		})
	}
}

// TestTakeUpWhileOthersHang guards against refusals that take longer than a second since the store and the other gateways do not answer.
func TestTakeUpWhileOthersHang(t *testing.T) {
	is := is.New(t)
	f := newCutOffFixture(t, "old", "old", "old")
	f.handler.Plans, f.handler.TakeUps = hangingPlans{}, &others{delay: time.Minute}
	started := time.Now()
	status, _, err := f.send(t, http.MethodPost, "/resume/", "Deadline: 5000", "After: 2", "Origin: r0")
	is.NoErr(err)
	is.Equal(status, 503)
	is.True(time.Since(started) < time.Second)
}

// TestTakeUpOfOwnStreamWhileCutOff guards against a stream that is refused, or looked for at another build, by the gateway that began it.
func TestTakeUpOfOwnStreamWhileCutOff(t *testing.T) {
	is := is.New(t)
	f := newCutOffFixture(t, "old", "old", "new")
	f.unbroken = "old"
	o := &others{missing: 2}
	f.handler.TakeUps = o
	status, _, err := f.sendRaw(t, "POST /resume/ HTTP/1.1\r\nHost: h\r\nId: r0\r\nDeadline: 5000\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	is.Equal(status, 200)
	next, _, _ := builds.Next(f.handler.Builds.Plan(), builds.Supply{"S": {"new": 3}})
	f.handler.Builds.SetPlan(time.Now(), next)
	status, body, err := f.send(t, http.MethodPost, "/resume/", "Deadline: 5000", "After: 2", "Origin: r0")
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(strings.Count(body, "data: old"), 2)
	is.Equal(o.asked.Load(), int64(0))
}

// gateways lists the other gateways.
type gateways []site.Gateway

func (g gateways) Peers() []site.Gateway { return g }
func (g gateways) KnowsPeers() bool      { return true }

// exchange runs an exchange of a fixture, which asks the given gateways.
func (f *fixture) exchange(t *testing.T, list gateways, port uint16) *takeups.Exchange {
	t.Helper()
	e := &takeups.Exchange{Peers: list, Port: port, Calls: call.New(call.Settings{IdleConnections: 2}), Book: f.handler.Builds, Log: logr.Discard()}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-ended
		e.Calls.Close()
	})
	f.handler.TakeUps = e
	return e
}

// TestTakeUpJustAfterPlanMoved guards against a stream that a gateway which is cut off from the store joins from two builds, since what it heard from the
// others is older than the stream.
func TestTakeUpJustAfterPlanMoved(t *testing.T) {
	is := is.New(t)
	second := newCutOffFixture(t, "new", "new", "new")
	second.unbroken = "new"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := netip.MustParseAddrPort(l.Addr().String())
	mux := http.NewServeMux()
	mux.Handle(takeups.Path, second.exchange(t, nil, 0))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	defer func() {
		_ = server.Close()
		<-ended
	}()
	first := newCutOffFixture(t, "old", "old", "new")
	first.exchange(t, gateways{{Address: address}}, address.Port())
	status, body, err := first.send(t, http.MethodPost, "/resume/", "Deadline: 5000", "After: 2", "Origin: before")
	is.NoErr(err)
	is.Equal(status, 200) // both know the same plan
	is.Equal(strings.Count(body, "data: old"), 2)

	next, _, _ := builds.Next(second.handler.Builds.Plan(), builds.Supply{"S": {"new": 3}})
	second.handler.Builds.SetPlan(time.Now(), next)
	status, _, err = second.sendRaw(t, "POST /resume/ HTTP/1.1\r\nHost: h\r\nId: r0\r\nDeadline: 5000\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	is.Equal(status, 200)
	time.Sleep(10 * time.Millisecond)
	status, body, err = first.send(t, http.MethodPost, "/resume/", "Deadline: 5000", "After: 2", "Origin: r0")
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(strings.Count(body, "data: new"), 2)
	is.Equal(strings.Count(body, "data: old"), 0)
	status, _, err = first.send(t, http.MethodPost, "/resume/", "Deadline: 5000", "After: 2", "Origin: of a gateway that is gone")
	is.NoErr(err)
	is.Equal(status, 503) // the second gateway knows a later plan
}

// laterPlans is a store that has a later plan than the gateway.
type laterPlans uint64

func (p laterPlans) Latest(context.Context) (uint64, error) { return uint64(p), nil }

// TestTakeUpByPlanThatStoreContradicts guards against a stream that goes on by the gateway's plan although the store has answered that there is a later
// one, since the other gateways that are listed have not read that plan either.
func TestTakeUpByPlanThatStoreContradicts(t *testing.T) {
	for name, takeUps := range map[string]*others{"no others": nil, "others know the same plan": {answers: []builds.Answer{samePlan, samePlan}}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newCutOffFixture(t, "old", "old", "new")
			f.handler.Plans = laterPlans(2)
			if takeUps != nil {
				f.handler.TakeUps = takeUps
			}
			status, _, err := f.send(t, http.MethodPost, "/resume/", "Deadline: 5000", "After: 2", "Origin: r0")
			is.NoErr(err)
			is.Equal(status, 503)
			is.Equal(f.arrivalCount(), 0)
		})
	}
}
