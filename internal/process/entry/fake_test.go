package entry_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	agentside "primrosecourse/internal/connection/entry"
	"primrosecourse/internal/process/entry"
	"primrosecourse/internal/version/config"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// fakeConfiguration is an entry.Configuration whose snapshot is nil until set is called.
type fakeConfiguration struct {
	mu      sync.Mutex
	current *config.Snapshot
	changed chan struct{}
}

func (c *fakeConfiguration) set(s *config.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = s
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *fakeConfiguration) Current() *config.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *fakeConfiguration) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *fakeConfiguration) Version() uint64 {
	if s := c.Current(); s != nil {
		return s.Version
	}
	return 0
}

func (c *fakeConfiguration) Run(ctx context.Context) error              { <-ctx.Done(); return nil }
func (c *fakeConfiguration) Push() wire.ConfigPush                      { return wire.ConfigPush{Version: c.Version()} }
func (c *fakeConfiguration) Offer(wire.ConfigPush) (ok bool, err error) { return false, nil }
func (c *fakeConfiguration) StartFetch(uint64) bool                     { return false }

// behaviour defines the responses of the agents. Both functions receive the name of the endpoint.
type behaviour struct {
	submit func(ctx context.Context, name string, m wire.Submit, send func(wire.Message))
	call   func(name string, m wire.Call) wire.Message
}

type fakeHandler struct {
	name string
	*behaviour
}

func (h fakeHandler) Submit(ctx context.Context, m wire.Submit, send func(wire.Message)) {
	h.submit(ctx, h.name, m, send)
}
func (h fakeHandler) Call(_ context.Context, m wire.Call) wire.Message { return h.call(h.name, m) }
func (h fakeHandler) Load() wire.LoadState {
	return wire.LoadState{State: wire.StateWarm, Allowance: 9}
}
func (h fakeHandler) Mark(wire.Mark)     {}
func (h fakeHandler) Marks() []wire.Mark { return nil }

// fixture is an entry with three model endpoints and three service endpoints on loopback connections.
type fixture struct {
	*behaviour
	is     *is.I
	entry  *entry.Entry
	config *fakeConfiguration
	// shutDown begins the graceful shutdown of the entry. stopAgent has a function for each endpoint that stops its agent.
	shutDown  context.CancelFunc
	result    chan error
	stopAgent map[string]func()
	mu        sync.Mutex
	log       []string
}

func startFixture(t *testing.T, b *behaviour) *fixture {
	f := &fixture{behaviour: b, is: is.New(t), stopAgent: map[string]func(){}, result: make(chan error, 1),
		config: &fakeConfiguration{changed: make(chan struct{})}}
	sum := sha256.Sum256([]byte("secret"))
	d := &settings.Deployment{Models: []settings.Model{{Name: "M"}}, Services: []settings.Service{{Name: "Orders"}},
		Organisations: []settings.Organisation{{Name: "Org1", CredentialHash: hex.EncodeToString(sum[:]), Models: []string{"M"},
			Services: []string{"Orders"}}}}
	for i := range 3 {
		d.Endpoints = append(d.Endpoints,
			settings.Endpoint{Name: fmt.Sprint("Model", i), FailureDomain: fmt.Sprint(i), Model: "M"},
			settings.Endpoint{Name: fmt.Sprint("Orders", i), FailureDomain: fmt.Sprint(i), Service: "Orders",
				Kind: settings.ServiceEndpoint})
	}
	for i := range d.Endpoints {
		e := &d.Endpoints[i]
		l, err := net.Listen("tcp", "127.0.0.1:0")
		f.is.NoErr(err)
		e.Address = netip.MustParseAddrPort(l.Addr().String())
		ctx, cancel := context.WithCancel(context.Background())
		server := &agentside.Server{Name: e.Name, Handler: fakeHandler{e.Name, b}, Configuration: f.config, Log: logr.Discard()}
		done := make(chan struct{})
		go func() { defer close(done); _ = server.Serve(ctx, l) }()
		f.stopAgent[e.Name] = func() { cancel(); <-done }
	}
	f.entry = &entry.Entry{Name: "Entry1", Address: netip.MustParseAddrPort("127.0.0.1:0"), FailureDomain: "0",
		PeerAddress: netip.MustParseAddrPort("127.0.0.1:0"), Configuration: f.config, DrainTimeout: time.Hour, Log: funcr.New(func(_, args string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.log = append(f.log, args)
		}, funcr.Options{})}
	ctx, shutDown := context.WithCancel(context.Background())
	f.shutDown = shutDown
	go func() { f.result <- f.entry.Run(ctx) }()
	<-f.entry.Serving()
	f.is.Equal(f.get("/readyz"), 503) // no configuration yet
	f.is.Equal(f.get("/healthz"), 200)
	f.config.set(&config.Snapshot{Version: 7, Deployment: d})
	for f.get("/readyz") != 200 {
		continue
	}
	t.Cleanup(func() {
		f.shutDown()
		<-f.entry.Done()
		for _, stop := range f.stopAgent {
			stop()
		}
		http.DefaultClient.CloseIdleConnections()
	})
	return f
}

func (f *fixture) get(path string) int {
	response, err := http.Get("http://" + f.entry.BoundAddress().String() + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (f *fixture) post(path, body string) *http.Response {
	r, err := http.NewRequest("POST", "http://"+f.entry.BoundAddress().String()+path, strings.NewReader(body))
	f.is.NoErr(err)
	r.Header.Set("Authorization", "Bearer secret")
	r.Header.Set("Idempotency-Key", "k")
	response, err := http.DefaultClient.Do(r)
	f.is.NoErr(err)
	return response
}

// dataLines returns the payloads of the next "data:" lines of an event stream, at most n.
func (f *fixture) dataLines(r *bufio.Scanner, n int) (lines []string) {
	for len(lines) < n && r.Scan() {
		if text, ok := strings.CutPrefix(r.Text(), "data: "); ok {
			lines = append(lines, text)
		}
	}
	return lines
}

func (f *fixture) logged(want string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Contains(strings.Join(f.log, "\n"), want)
}
