package order

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/process/platform/platformtest"
	"primrosecourse/internal/process/service"
	"primrosecourse/pkg/wire"
)

// latePlatform adds to the fake writes whose reply is lost and whose effect comes later or never.
type latePlatform struct {
	platformtest.Fake
	mu sync.Mutex
	// hold is the number of writes to come that are held back.
	hold int
	held []platform.Object
	// outage is set while reads fail as well.
	outage bool
}

func (p *latePlatform) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	p.mu.Lock()
	down := p.outage
	p.mu.Unlock()
	if down {
		return platform.Object{}, platform.ErrUnavailable
	}
	return p.Fake.Get(ctx, kind, name)
}

func (p *latePlatform) Put(ctx context.Context, obj platform.Object) (uint64, error) {
	p.mu.Lock()
	if p.hold > 0 {
		p.hold--
		p.held = append(p.held, obj)
		p.mu.Unlock()
		return 0, platform.ErrUncertain
	}
	down := p.outage
	p.mu.Unlock()
	if down {
		return 0, platform.ErrUnavailable
	}
	return p.Fake.Put(ctx, obj)
}

func (p *latePlatform) set(hold int, outage bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold, p.outage = hold, outage
}

// heldBack returns the number of writes that release may let take effect.
func (p *latePlatform) heldBack() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.held)
}

// release lets held write i take effect if its expected version is still there.
func (p *latePlatform) release(i int) {
	p.mu.Lock()
	obj := p.held[i]
	p.mu.Unlock()
	_, _ = p.Fake.Store.Put(obj)
}

// ledger is a plain service in memory that counts the runs of each idempotency key.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
	// next is the fault of the following calls, one each: service.ErrNotSent or service.ErrReplyLost, nil for none.
	next []error
	// gate, if not nil, is received from before a call runs.
	gate chan struct{}
	body []byte
	// pad is the number of bytes added to each response.
	pad int
	// requests holds the identifiers of the attempts that ran.
	requests map[string]bool
}

func (l *ledger) Do(ctx context.Context, call wire.Call) (wire.Reply, error) {
	l.mu.Lock()
	var fault error
	if len(l.next) > 0 {
		fault, l.next = l.next[0], l.next[1:]
	}
	gate := l.gate
	l.mu.Unlock()
	if fault == service.ErrNotSent {
		return wire.Reply{}, fault
	}
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			return wire.Reply{}, service.ErrReplyLost
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs, l.requests = map[string]int{}, map[string]bool{}
	}
	l.requests[call.RequestID] = true
	l.runs[call.IdempotencyKey]++
	if fault != nil {
		return wire.Reply{}, fault
	}
	body := l.body
	if body == nil {
		body = fmt.Appendf(nil, "%s run %d", call.IdempotencyKey, l.runs[call.IdempotencyKey])
		body = append(body, make([]byte, l.pad)...)
	}
	return wire.Reply{Status: 201, ContentType: "text/plain", Body: body}, nil
}

func (l *ledger) count(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// site runs owners over one platform and one service.
type site struct {
	t         testing.TB
	platform  latePlatform
	service   ledger
	preferred string
	mu        sync.Mutex
	starts    uint64
	stops     []func()
}

func (s *site) prefer(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.preferred = name
}

// owner starts an agent's owner and returns it with the function that stops it.
func (s *site) owner(name string, set ...func(*Owner)) (*Owner, func()) {
	s.starts++
	o := &Owner{Platform: &s.platform, Service: &s.service, Name: name, Incarnation: s.starts, Shards: 1,
		Preferred: func(int, []string) string { s.mu.Lock(); defer s.mu.Unlock(); return s.preferred }}
	for _, f := range set {
		f(o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- o.Run(ctx) }()
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			if err := <-ended; err != nil {
				s.t.Error(err)
			}
		})
	}
	s.stops = append(s.stops, stop)
	return o, stop
}

func (s *site) close() {
	for _, stop := range s.stops {
		stop()
	}
}

func order(key, body string) wire.Call {
	return wire.Call{Organisation: "Org1", Service: "Orders", Method: "POST", Path: "/orders", Body: []byte(body), IdempotencyKey: key}
}

// brief puts what a caller is told into one line.
func brief(m wire.Message) string {
	switch m := m.(type) {
	case wire.Reply:
		if m.Replayed {
			return fmt.Sprintf("replayed %d %s", m.Status, m.Body)
		}
		return fmt.Sprintf("%d %s", m.Status, m.Body)
	case wire.Refused:
		text := m.Outcome.String() + " " + m.Reason.String()
		if m.RetryAfter > 0 {
			text += " retry"
		}
		if m.Redirect != "" {
			text += " to " + m.Redirect
		}
		return text
	}
	return fmt.Sprintf("%T", m)
}
