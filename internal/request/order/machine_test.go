package order

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/process/service"
	"primrosecourse/internal/standin/fault"
	"primrosecourse/pkg/claim"
	"primrosecourse/pkg/wire"
)

// TestMain fixes the seed of the random steps, so that all runs take the same steps. A failed test prints the seed;
// -rapid.seed=N sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.shrinktime": "5m", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// agentProcess is one start of an agent, which can be paused and killed. While it is paused, its platform and service
// calls block before they begin and, for Get, Put and Do, again before they return.
type agentProcess struct {
	fixture *fixture
	mu      sync.Mutex
	// resumed is closed unless the process is paused.
	resumed chan struct{}
	// dead is closed once the process is killed.
	dead chan struct{}
	// preferred is set while this process considers itself the preferred owner.
	preferred bool
}

// awaitResumed blocks until the process is not paused or is killed, and reports whether it is alive.
func (p *agentProcess) awaitResumed() (alive bool) {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	select {
	case <-p.dead:
		return false
	case <-resumed:
	}
	select {
	case <-p.dead:
		return false
	default:
		return true
	}
}

func (p *agentProcess) Get(ctx context.Context, kind, name string) (obj platform.Object, err error) {
	if !p.awaitResumed() {
		return obj, platform.ErrUnavailable
	}
	obj, err = p.fixture.platform.Get(ctx, kind, name)
	p.awaitResumed()
	return obj, err
}

func (p *agentProcess) Put(ctx context.Context, obj platform.Object) (version uint64, err error) {
	if !p.awaitResumed() {
		return 0, platform.ErrUnavailable
	}
	version, err = p.fixture.platform.Put(ctx, obj)
	p.awaitResumed()
	return version, err
}

func (p *agentProcess) Delete(ctx context.Context, kind, name string, version uint64) error {
	if !p.awaitResumed() {
		return platform.ErrUnavailable
	}
	return p.fixture.platform.Delete(ctx, kind, name, version)
}

func (p *agentProcess) List(ctx context.Context, kind, prefix string) ([]platform.Object, error) {
	if !p.awaitResumed() {
		return nil, platform.ErrUnavailable
	}
	return p.fixture.platform.List(ctx, kind, prefix)
}

// Do implements Service. A process that was killed before the call begins sends nothing.
func (p *agentProcess) Do(ctx context.Context, call wire.Call) (wire.Reply, error) {
	if !p.awaitResumed() {
		return wire.Reply{}, service.ErrNotSent
	}
	reply, err := p.fixture.service.Do(ctx, call)
	p.awaitResumed()
	return reply, err
}

// stateMachine takes random steps with several agents and checks the at-most-once rules after each step.
type stateMachine struct {
	t         *rapid.T
	fixture   *fixture
	processes []*agentProcess
	owners    []*Owner
	stopFuncs []func()
	sequence  int
	mu        sync.Mutex
	// reportedNotRun maps the request ID of each attempt refused as not run to the refusal.
	reportedNotRun map[string]string
	// replies contains the response to each key.
	replies map[string]string
	// reportedRan is the set of keys whose order was reported as run.
	reportedRan map[string]bool
	// completed contains the nonce of the claim of each Completed record found so far.
	completed map[claim.Key]claim.Nonce
}

func (m *stateMachine) start(i int) {
	p := &agentProcess{fixture: m.fixture, resumed: make(chan struct{}), dead: make(chan struct{}), preferred: true}
	close(p.resumed)
	name := fmt.Sprintf("Orders%d", i+1)
	m.owners[i], m.stopFuncs[i] = m.fixture.startOwner(name, func(o *Owner) {
		o.Platform, o.Service = p, p
		o.PlatformTimeout, o.DrainTimeout = time.Hour, time.Nanosecond
		o.Preferred = func(int, []string) string {
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.preferred {
				return name
			}
			return "elsewhere"
		}
	})
	m.processes[i] = p
	synctest.Wait()
}

func (m *stateMachine) drawOwner() int { return rapid.IntRange(0, len(m.owners)-1).Draw(m.t, "owner") }

// startAttempt sends an order to an owner and records the outcome for check. The outcome from a killed process is
// dropped: the channel then gets nil.
func (m *stateMachine) startAttempt(i int, key, body string, timeout time.Duration) <-chan wire.Message {
	m.sequence++
	call := newOrder(key, body)
	call.RequestID, call.Timeout = fmt.Sprint("attempt ", m.sequence), timeout
	o, p, outcome := m.owners[i], m.processes[i], make(chan wire.Message, 1)
	go func() {
		msg := o.Execute(context.Background(), call)
		select {
		case <-p.dead:
			outcome <- nil
			return
		default:
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		switch msg := msg.(type) {
		case wire.Reply:
			m.reportedRan[key] = true
			text := strings.TrimRight(string(msg.Body), "\x00")
			if before, ok := m.replies[key]; ok && before != text {
				m.fixture.t.Errorf("%s got two different responses: %q, then %q", key, before, text)
			}
			m.replies[key] = text
		case wire.Refused:
			switch msg.Outcome {
			case wire.NotRun:
				m.reportedNotRun[call.RequestID] = summary(msg)
			case wire.Ran:
				m.reportedRan[key] = true
			}
		}
		outcome <- msg
	}()
	return outcome
}

func (m *stateMachine) check(t *rapid.T) {
	synctest.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	svc := &m.fixture.service
	svc.mu.Lock()
	defer svc.mu.Unlock()
	for key, n := range svc.runs {
		if n > 1 {
			t.Fatalf("%s ran %d times", key, n)
		}
	}
	for request, refusal := range m.reportedNotRun {
		if svc.executedRequests[request] {
			t.Fatalf("%s was refused with %q but ran", request, refusal)
		}
	}
	for key := range m.reportedRan {
		if svc.runs[key] != 1 {
			t.Fatalf("%s was reported as run but ran %d times", key, svc.runs[key])
		}
	}
	var index claim.Index
	for _, obj := range m.fixture.platform.Store.List(claim.ObjectKind, "") {
		obj, err := m.fixture.platform.Store.Get(obj.Kind, obj.Name)
		if err != nil {
			t.Fatal(err)
		}
		s, err := claim.Decode(obj.Value)
		if err != nil {
			t.Fatal(err)
		}
		n, _ := claim.Number(obj.Name)
		index.Apply(n, s.Records)
		for _, r := range s.Records {
			if r.Kind != claim.Completed {
				continue
			}
			if before, ok := m.completed[r.Key]; ok && before != r.Nonce {
				t.Fatalf("Completed record of claim %v was replaced by that of claim %v", before, r.Nonce)
			}
			m.completed[r.Key] = r.Nonce
		}
	}
	for key, nonce := range m.completed {
		if e, _ := index.Get(key); e.Kind != claim.Completed || e.Nonce != nonce {
			t.Fatalf("index entry of the Completed record of claim %v is now %s of claim %v", nonce, e.Kind, e.Nonce)
		}
	}
	if m.fixture.t.Failed() {
		t.FailNow()
	}
}

func (m *stateMachine) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": m.check, // package rapid calls the unnamed action after every step
		"order": func(t *rapid.T) {
			key := fmt.Sprint("k", rapid.IntRange(0, 9).Draw(t, "key"))
			body := rapid.SampledFrom([]string{"one", "one", "one", "two"}).Draw(t, "body")
			timeout := rapid.SampledFrom([]time.Duration{time.Second, time.Minute}).Draw(t, "timeout")
			m.startAttempt(m.drawOwner(), key, body, timeout)
		},
		"another attempt": func(*rapid.T) { m.startAttempt(m.drawOwner(), "k0", "one", time.Minute) },
		"serve call": func(*rapid.T) {
			select {
			case m.fixture.service.gate <- struct{}{}:
			default:
			}
		},
		"service fault": func(t *rapid.T) {
			err := rapid.SampledFrom([]error{service.ErrNotSent, service.ErrReplyLost}).Draw(t, "error")
			m.fixture.service.mu.Lock()
			defer m.fixture.service.mu.Unlock()
			m.fixture.service.nextFaults = append(m.fixture.service.nextFaults, err)
		},
		"reply lost": func(*rapid.T) {
			m.fixture.platform.Faults.Set(fault.Rule{Kind: fault.ReplyLost, Method: "PUT", Count: 1})
		},
		"late write (withheld)": func(*rapid.T) { m.fixture.platform.setFaults(1, false) },
		"release withheld write": func(t *rapid.T) {
			if n := m.fixture.platform.withheldCount(); n > 0 {
				m.fixture.platform.applyWithheld(rapid.IntRange(0, n-1).Draw(t, "write"))
			}
		},
		"outage":   func(*rapid.T) { m.fixture.platform.setFaults(0, true) },
		"recovery": func(*rapid.T) { m.fixture.platform.setFaults(0, false) },
		"pause": func(*rapid.T) {
			p := m.processes[m.drawOwner()]
			p.mu.Lock()
			defer p.mu.Unlock()
			select {
			case <-p.resumed:
				p.resumed = make(chan struct{})
			default:
			}
		},
		"resume": func(*rapid.T) { m.resume(m.drawOwner()) },
		"restart": func(*rapid.T) {
			i := m.drawOwner()
			close(m.processes[i].dead)
			m.stopFuncs[i]()
			m.start(i)
		},
		"move preference": func(*rapid.T) {
			p := m.processes[m.drawOwner()]
			p.mu.Lock()
			defer p.mu.Unlock()
			p.preferred = !p.preferred
		},
		"wait": func(t *rapid.T) {
			time.Sleep(rapid.SampledFrom([]time.Duration{150 * time.Millisecond, 3 * time.Second}).Draw(t, "time"))
		},
	}
}

func (m *stateMachine) resume(i int) {
	p := m.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.resumed:
	default:
		close(p.resumed)
	}
}

// repairAndCheck removes all faults and checks that a new order runs. Without this check, an owner that refuses all
// orders would pass.
func (m *stateMachine) repairAndCheck(t *rapid.T) {
	m.fixture.platform.setFaults(0, false)
	m.fixture.platform.Faults.ClearAll()
	m.fixture.service.mu.Lock()
	m.fixture.service.nextFaults = nil
	m.fixture.service.mu.Unlock()
	for i, p := range m.processes {
		m.resume(i)
		p.mu.Lock()
		p.preferred = true
		p.mu.Unlock()
	}
	close(m.fixture.service.gate)
	time.Sleep(2 * time.Minute)
	m.check(t)
	msg := <-m.startAttempt(0, "last", "one", time.Minute)
	if got := summary(msg); !strings.HasPrefix(got, "201 last run 1") {
		t.Fatalf("new order after all faults were removed: got %q, want a reply from its first run", got)
	}
	m.check(t)
}

// close stops all owners and lets their goroutines end, also after a failed check.
func (m *stateMachine) close() {
	for i, p := range m.processes {
		m.resume(i)
		close(p.dead)
		m.stopFuncs[i]()
	}
	time.Sleep(time.Minute)
}

// plainTB hides the type of a *testing.T. Package rapid calls Deadline on a *testing.T, which synctest forbids.
type plainTB struct{ testing.TB }

// TestRandomSteps guards the three rules of the claim log, which check verifies: no order runs more than once, the
// outcome reported to a caller is true, and a Completed record is never replaced. The faults are pauses, restarts, lost
// and late writes, outages, failed service calls, and several owners that consider themselves preferred.
func TestRandomSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(plainTB{t}, func(rt *rapid.T) {
			f := &fixture{t: t}
			f.service.gate, f.service.padding = make(chan struct{}), 3000 // five responses fill a segment
			const owners = 3
			m := &stateMachine{t: rt, fixture: f, processes: make([]*agentProcess, owners), owners: make([]*Owner, owners),
				stopFuncs: make([]func(), owners), reportedNotRun: map[string]string{}, replies: map[string]string{},
				reportedRan: map[string]bool{}, completed: map[claim.Key]claim.Nonce{}}
			for i := range owners {
				m.start(i)
			}
			defer m.close()
			rt.Repeat(m.steps())
			m.repairAndCheck(rt)
		})
	})
}
