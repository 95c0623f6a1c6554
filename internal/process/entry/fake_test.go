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

// configuration is a fixed configuration that is there from the call of set on.
type configuration struct {
	mu      sync.Mutex
	current *config.Snapshot
	changed chan struct{}
}

func (c *configuration) set(s *config.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = s
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *configuration) Current() *config.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *configuration) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *configuration) Version() uint64 {
	if s := c.Current(); s != nil {
		return s.Version
	}
	return 0
}

func (c *configuration) Run(ctx context.Context) error              { <-ctx.Done(); return nil }
func (c *configuration) Push() wire.ConfigPush                      { return wire.ConfigPush{Version: c.Version()} }
func (c *configuration) Offer(wire.ConfigPush) (ok bool, err error) { return false, nil }
func (c *configuration) Wants(uint64) bool                          { return false }

// behaviour is how the agents answer.
type behaviour struct {
	submit func(ctx context.Context, name string, m wire.Submit, send func(wire.Message))
	call   func(name string, m wire.Call) wire.Message
}

type handler struct {
	name string
	*behaviour
}

func (h handler) Submit(ctx context.Context, m wire.Submit, send func(wire.Message)) {
	h.submit(ctx, h.name, m, send)
}
func (h handler) Call(_ context.Context, m wire.Call) wire.Message { return h.call(h.name, m) }
func (h handler) Load() wire.LoadState                             { return wire.LoadState{State: wire.StateWarm, Allowance: 9} }
func (h handler) Mark(wire.Mark)                                   {}
func (h handler) Marks() []wire.Mark                               { return nil }

// site is an entry with three model and three service endpoints on loopback connections.
type site struct {
	*behaviour
	is     *is.I
	entry  *entry.Entry
	config *configuration
	// stop begins the shutdown of the entry, kill ends one agent.
	stop  context.CancelFunc
	ended chan error
	kill  map[string]func()
	mu    sync.Mutex
	log   []string
}

func start(t *testing.T, b *behaviour) *site {
	s := &site{behaviour: b, is: is.New(t), kill: map[string]func(){}, ended: make(chan error, 1),
		config: &configuration{changed: make(chan struct{})}}
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
		s.is.NoErr(err)
		e.Address = netip.MustParseAddrPort(l.Addr().String())
		ctx, cancel := context.WithCancel(context.Background())
		server := &agentside.Server{Name: e.Name, Handler: handler{e.Name, b}, Configuration: s.config, Log: logr.Discard()}
		done := make(chan struct{})
		go func() { defer close(done); _ = server.Serve(ctx, l) }()
		s.kill[e.Name] = func() { cancel(); <-done }
	}
	s.entry = &entry.Entry{Name: "Entry1", Address: netip.MustParseAddrPort("127.0.0.1:0"), FailureDomain: "0",
		PeerAddress: netip.MustParseAddrPort("127.0.0.1:0"), Configuration: s.config, DrainTimeout: time.Hour, Log: funcr.New(func(_, args string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.log = append(s.log, args)
		}, funcr.Options{})}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() { s.ended <- s.entry.Run(ctx) }()
	<-s.entry.Serving()
	s.is.Equal(s.get("/readyz"), 503) // no configuration yet
	s.is.Equal(s.get("/healthz"), 200)
	s.config.set(&config.Snapshot{Version: 7, Deployment: d})
	for s.get("/readyz") != 200 {
		continue
	}
	t.Cleanup(func() {
		s.stop()
		<-s.entry.Done()
		for _, kill := range s.kill {
			kill()
		}
		http.DefaultClient.CloseIdleConnections()
	})
	return s
}

func (s *site) get(path string) int {
	response, err := http.Get("http://" + s.entry.BoundAddress().String() + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (s *site) post(path, body string) *http.Response {
	r, err := http.NewRequest("POST", "http://"+s.entry.BoundAddress().String()+path, strings.NewReader(body))
	s.is.NoErr(err)
	r.Header.Set("Authorization", "Bearer secret")
	r.Header.Set("Idempotency-Key", "k")
	response, err := http.DefaultClient.Do(r)
	s.is.NoErr(err)
	return response
}

// lines reads the data lines of a stream, up to n of them.
func (s *site) lines(r *bufio.Scanner, n int) (list []string) {
	for len(list) < n && r.Scan() {
		if text, ok := strings.CutPrefix(r.Text(), "data: "); ok {
			list = append(list, text)
		}
	}
	return list
}

func (s *site) logged(want string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Contains(strings.Join(s.log, "\n"), want)
}
