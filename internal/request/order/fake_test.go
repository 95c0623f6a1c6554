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

// unreliablePlatform adds two faults to the fake platform: writes whose reply is lost and which take effect later or
// never, and outages.
type unreliablePlatform struct {
	platformtest.Fake
	mu sync.Mutex
	// withholdNext is the number of coming writes to withhold.
	withholdNext int
	withheld     []platform.Object
	// outage is set while Get and Put fail with platform.ErrUnavailable.
	outage bool
}

func (p *unreliablePlatform) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	p.mu.Lock()
	down := p.outage
	p.mu.Unlock()
	if down {
		return platform.Object{}, platform.ErrUnavailable
	}
	return p.Fake.Get(ctx, kind, name)
}

func (p *unreliablePlatform) Put(ctx context.Context, obj platform.Object) (uint64, error) {
	p.mu.Lock()
	if p.withholdNext > 0 {
		p.withholdNext--
		p.withheld = append(p.withheld, obj)
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

func (p *unreliablePlatform) setFaults(withholdNext int, outage bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.withholdNext, p.outage = withholdNext, outage
}

// withheldCount returns the number of withheld writes, including those passed to applyWithheld.
func (p *unreliablePlatform) withheldCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.withheld)
}

// applyWithheld applies withheld write i. It has no effect if the stored version is not the one that the write expects.
func (p *unreliablePlatform) applyWithheld(i int) {
	p.mu.Lock()
	obj := p.withheld[i]
	p.mu.Unlock()
	_, _ = p.Fake.Store.Put(obj)
}

// countingService is an in-memory plain service that counts the runs of each idempotency key.
type countingService struct {
	mu   sync.Mutex
	runs map[string]int
	// nextFaults are the errors of the next calls, one per call: service.ErrNotSent, service.ErrReplyLost, or nil for
	// none.
	nextFaults []error
	// gate, if not nil, blocks each call until a value is received from it or it is closed.
	gate chan struct{}
	body []byte
	// padding is the number of zero bytes appended to each generated response.
	padding int
	// executedRequests is the set of request IDs whose calls ran.
	executedRequests map[string]bool
}

func (svc *countingService) Do(ctx context.Context, call wire.Call) (wire.Reply, error) {
	svc.mu.Lock()
	var fault error
	if len(svc.nextFaults) > 0 {
		fault, svc.nextFaults = svc.nextFaults[0], svc.nextFaults[1:]
	}
	gate := svc.gate
	svc.mu.Unlock()
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
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if svc.runs == nil {
		svc.runs, svc.executedRequests = map[string]int{}, map[string]bool{}
	}
	svc.executedRequests[call.RequestID] = true
	svc.runs[call.IdempotencyKey]++
	if fault != nil {
		return wire.Reply{}, fault
	}
	body := svc.body
	if body == nil {
		body = fmt.Appendf(nil, "%s run %d", call.IdempotencyKey, svc.runs[call.IdempotencyKey])
		body = append(body, make([]byte, svc.padding)...)
	}
	return wire.Reply{Status: 201, ContentType: "text/plain", Body: body}, nil
}

func (svc *countingService) runCount(key string) int {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.runs[key]
}

// fixture runs owners that share one platform and one service.
type fixture struct {
	t               testing.TB
	platform        unreliablePlatform
	service         countingService
	preferred       string
	mu              sync.Mutex
	lastIncarnation uint64
	stopFuncs       []func()
}

func (f *fixture) setPreferred(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.preferred = name
}

// startOwner starts the Owner of an agent and returns it with a function that stops it.
func (f *fixture) startOwner(name string, options ...func(*Owner)) (*Owner, func()) {
	f.lastIncarnation++
	o := &Owner{Platform: &f.platform, Service: &f.service, Name: name, Incarnation: f.lastIncarnation, Shards: 1,
		Preferred: func(int, []string) string { f.mu.Lock(); defer f.mu.Unlock(); return f.preferred }}
	for _, option := range options {
		option(o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- o.Run(ctx) }()
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			if err := <-runErr; err != nil {
				f.t.Error(err)
			}
		})
	}
	f.stopFuncs = append(f.stopFuncs, stop)
	return o, stop
}

func (f *fixture) close() {
	for _, stop := range f.stopFuncs {
		stop()
	}
}

func newOrder(key, body string) wire.Call {
	return wire.Call{Organisation: "Org1", Service: "Orders", Method: "POST", Path: "/orders", Body: []byte(body), IdempotencyKey: key}
}

// summary returns one line with the parts of m that matter to a caller.
func summary(m wire.Message) string {
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
