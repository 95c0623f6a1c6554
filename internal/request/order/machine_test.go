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

// TestMain fixes the seed of the random steps, so that every run takes the same ones. A failure prints it;
// -rapid.seed=N takes another.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.shrinktime": "5m", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// process is one start of an agent, which may pause and die. Its calls wait while it is paused, before they begin and
// before their reply is seen.
type process struct {
	site *site
	mu   sync.Mutex
	// resumed is closed unless the process is paused.
	resumed chan struct{}
	dead    chan struct{}
	prefers bool
}

func (p *process) await() (alive bool) {
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

func (p *process) Get(ctx context.Context, kind, name string) (obj platform.Object, err error) {
	if !p.await() {
		return obj, platform.ErrUnavailable
	}
	obj, err = p.site.platform.Get(ctx, kind, name)
	p.await()
	return obj, err
}

func (p *process) Put(ctx context.Context, obj platform.Object) (version uint64, err error) {
	if !p.await() {
		return 0, platform.ErrUnavailable
	}
	version, err = p.site.platform.Put(ctx, obj)
	p.await()
	return version, err
}

func (p *process) Delete(ctx context.Context, kind, name string, version uint64) error {
	if !p.await() {
		return platform.ErrUnavailable
	}
	return p.site.platform.Delete(ctx, kind, name, version)
}

func (p *process) List(ctx context.Context, kind, prefix string) ([]platform.Object, error) {
	if !p.await() {
		return nil, platform.ErrUnavailable
	}
	return p.site.platform.List(ctx, kind, prefix)
}

// Do implements Service. A process that died before the call began sends nothing.
func (p *process) Do(ctx context.Context, call wire.Call) (wire.Reply, error) {
	if !p.await() {
		return wire.Reply{}, service.ErrNotSent
	}
	reply, err := p.site.service.Do(ctx, call)
	p.await()
	return reply, err
}

// machine takes random steps with several agents and checks the rules after each.
type machine struct {
	t         *rapid.T
	site      *site
	processes []*process
	owners    []*Owner
	stops     []func()
	sequence  int
	mu        sync.Mutex
	// notRun holds the attempts that were told so; replies the response of each key; ran the keys told to have run.
	notRun    map[string]string
	replies   map[string]string
	ran       map[string]bool
	completed map[claim.Key]claim.Nonce
}

func (m *machine) start(i int) {
	p := &process{site: m.site, resumed: make(chan struct{}), dead: make(chan struct{}), prefers: true}
	close(p.resumed)
	name := fmt.Sprintf("Orders%d", i+1)
	m.owners[i], m.stops[i] = m.site.owner(name, func(o *Owner) {
		o.Platform, o.Service = p, p
		o.PlatformTimeout, o.DrainTimeout = time.Hour, time.Nanosecond
		o.Preferred = func(int, []string) string {
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.prefers {
				return name
			}
			return "elsewhere"
		}
	})
	m.processes[i] = p
	synctest.Wait()
}

func (m *machine) pick() int { return rapid.IntRange(0, len(m.owners)-1).Draw(m.t, "owner") }

// attempt sends an order to an owner and takes down what it is told. A dead process tells its callers nothing.
func (m *machine) attempt(i int, key, body string, timeout time.Duration) <-chan wire.Message {
	m.sequence++
	call := order(key, body)
	call.RequestID, call.Timeout = fmt.Sprint("attempt ", m.sequence), timeout
	o, p, answer := m.owners[i], m.processes[i], make(chan wire.Message, 1)
	go func() {
		msg := o.Execute(context.Background(), call)
		select {
		case <-p.dead:
			answer <- nil
			return
		default:
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		switch msg := msg.(type) {
		case wire.Reply:
			m.ran[key] = true
			text := strings.TrimRight(string(msg.Body), "\x00")
			if before, ok := m.replies[key]; ok && before != text {
				m.site.t.Errorf("%s gave %q and %q", key, before, text)
			}
			m.replies[key] = text
		case wire.Refused:
			switch msg.Outcome {
			case wire.NotRun:
				m.notRun[call.RequestID] = brief(msg)
			case wire.Ran:
				m.ran[key] = true
			}
		}
		answer <- msg
	}()
	return answer
}

func (m *machine) check(t *rapid.T) {
	synctest.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &m.site.service
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, n := range l.runs {
		if n > 1 {
			t.Fatalf("%s ran %d times", key, n)
		}
	}
	for request, told := range m.notRun {
		if l.requests[request] {
			t.Fatalf("%s was told %q and ran", request, told)
		}
	}
	for key := range m.ran {
		if l.runs[key] != 1 {
			t.Fatalf("%s is told to have run, and ran %d times", key, l.runs[key])
		}
	}
	var x claim.Index
	for _, obj := range m.site.platform.Store.List(claim.ObjectKind, "") {
		obj, err := m.site.platform.Store.Get(obj.Kind, obj.Name)
		if err != nil {
			t.Fatal(err)
		}
		s, err := claim.Decode(obj.Value)
		if err != nil {
			t.Fatal(err)
		}
		n, _ := claim.Number(obj.Name)
		x.Apply(n, s.Records)
		for _, r := range s.Records {
			if r.Kind != claim.Completed {
				continue
			}
			if before, ok := m.completed[r.Key]; ok && before != r.Nonce {
				t.Fatalf("a completed result of claim %v was replaced by that of %v", before, r.Nonce)
			}
			m.completed[r.Key] = r.Nonce
		}
	}
	for key, nonce := range m.completed {
		if e, _ := x.Get(key); e.Kind != claim.Completed || e.Nonce != nonce {
			t.Fatalf("a completed result of claim %v became %s of %v", nonce, e.Kind, e.Nonce)
		}
	}
	if m.site.t.Failed() {
		t.FailNow()
	}
}

func (m *machine) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": m.check,
		"order": func(t *rapid.T) {
			key := fmt.Sprint("k", rapid.IntRange(0, 9).Draw(t, "key"))
			body := rapid.SampledFrom([]string{"one", "one", "one", "two"}).Draw(t, "body")
			timeout := rapid.SampledFrom([]time.Duration{time.Second, time.Minute}).Draw(t, "timeout")
			m.attempt(m.pick(), key, body, timeout)
		},
		"again": func(*rapid.T) { m.attempt(m.pick(), "k0", "one", time.Minute) },
		"serve": func(*rapid.T) {
			select {
			case m.site.service.gate <- struct{}{}:
			default:
			}
		},
		"service fault": func(t *rapid.T) {
			err := rapid.SampledFrom([]error{service.ErrNotSent, service.ErrReplyLost}).Draw(t, "error")
			m.site.service.mu.Lock()
			defer m.site.service.mu.Unlock()
			m.site.service.next = append(m.site.service.next, err)
		},
		"reply lost": func(*rapid.T) {
			m.site.platform.Faults.Set(fault.Rule{Kind: fault.ReplyLost, Method: "PUT", Count: 1})
		},
		"late write": func(*rapid.T) { m.site.platform.set(1, false) },
		"release": func(t *rapid.T) {
			if n := m.site.platform.heldBack(); n > 0 {
				m.site.platform.release(rapid.IntRange(0, n-1).Draw(t, "write"))
			}
		},
		"outage":   func(*rapid.T) { m.site.platform.set(0, true) },
		"recovery": func(*rapid.T) { m.site.platform.set(0, false) },
		"pause": func(*rapid.T) {
			p := m.processes[m.pick()]
			p.mu.Lock()
			defer p.mu.Unlock()
			select {
			case <-p.resumed:
				p.resumed = make(chan struct{})
			default:
			}
		},
		"resume": func(*rapid.T) { m.resume(m.pick()) },
		"restart": func(*rapid.T) {
			i := m.pick()
			close(m.processes[i].dead)
			m.stops[i]()
			m.start(i)
		},
		"move": func(*rapid.T) {
			p := m.processes[m.pick()]
			p.mu.Lock()
			defer p.mu.Unlock()
			p.prefers = !p.prefers
		},
		"wait": func(t *rapid.T) {
			time.Sleep(rapid.SampledFrom([]time.Duration{150 * time.Millisecond, 3 * time.Second}).Draw(t, "time"))
		},
	}
}

func (m *machine) resume(i int) {
	p := m.processes[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.resumed:
	default:
		close(p.resumed)
	}
}

// end repairs everything and checks that a new order runs, so that the rules are not kept by refusing all.
func (m *machine) end(t *rapid.T) {
	m.site.platform.set(0, false)
	m.site.platform.Faults.ClearAll()
	m.site.service.mu.Lock()
	m.site.service.next = nil
	m.site.service.mu.Unlock()
	for i, p := range m.processes {
		m.resume(i)
		p.mu.Lock()
		p.prefers = true
		p.mu.Unlock()
	}
	close(m.site.service.gate)
	time.Sleep(2 * time.Minute)
	m.check(t)
	msg := <-m.attempt(0, "last", "one", time.Minute)
	if got := brief(msg); !strings.HasPrefix(got, "201 last run 1") {
		t.Fatalf("after the repair a new order gave %q", got)
	}
	m.check(t)
}

// close ends all goroutines, also after a failure.
func (m *machine) close() {
	for i, p := range m.processes {
		m.resume(i)
		close(p.dead)
		m.stops[i]()
	}
	time.Sleep(time.Minute)
}

// notTest hides the type of t: package rapid asks a *testing.T for its deadline, which synctest forbids.
type notTest struct{ testing.TB }

// TestRandomSteps guards the three rules of the claim log against pauses, restarts, lost and late writes, outages and
// owners that both believe to be preferred.
func TestRandomSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(notTest{t}, func(rt *rapid.T) {
			s := &site{t: t}
			s.service.gate, s.service.pad = make(chan struct{}), 3000 // five responses fill a segment
			const owners = 3
			m := &machine{t: rt, site: s, processes: make([]*process, owners), owners: make([]*Owner, owners),
				stops: make([]func(), owners), notRun: map[string]string{}, replies: map[string]string{},
				ran: map[string]bool{}, completed: map[claim.Key]claim.Nonce{}}
			for i := range owners {
				m.start(i)
			}
			defer m.close()
			rt.Repeat(m.steps())
			m.end(rt)
		})
	})
}
