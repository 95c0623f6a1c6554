package main

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/standin/engine"
	"primrosecourse/internal/standin/orders"
	standin "primrosecourse/internal/standin/platform"
	"primrosecourse/internal/standin/ports"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/token"
	"primrosecourse/pkg/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestFlags guards against an agent that starts with invalid flags, or an error that does not name the flag.
func TestFlags(t *testing.T) {
	valid := "-Name M1 -FailureDomain D1 -Listen 127.0.0.1:1 -Platform 127.0.0.1:2 "
	for _, test := range []struct{ name, args, want string }{
		{"none", "", "-Name and -FailureDomain are required"},
		{"no address", "-Name M1 -FailureDomain D1", "-Listen and -Platform are required"},
		{"no endpoint", valid, "exactly one of -Engine and -Service"},
		{"two endpoints", valid + "-Engine 127.0.0.1:3 -Service 127.0.0.1:4", "exactly one of -Engine and -Service"},
		{"host name", valid + "-Engine localhost:3", "Engine"},
		{"port 0", valid + "-Engine 127.0.0.1:0", "Engine"},
		{"bad peer", valid + "-Engine 127.0.0.1:3 -Peers 127.0.0.1:4,x", "Peers"},
		{"unknown flag", valid + "-Color red", "Color"},
		{"argument", valid + "-Engine 127.0.0.1:3 now", `unexpected argument "now"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.Equal(run(strings.Fields(test.args), &out, nil), 2)
			is.True(strings.Contains(out.String(), test.want))
		})
	}
}

// output collects the log of the agent. Only Write and logged are safe for concurrent use.
type output struct {
	mu sync.Mutex
	bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.Buffer.Write(b)
}

func (o *output) logged() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.String()
}

// listen returns a listener on a free loopback port and its address.
func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort()
}

// serve runs a stand-in on a free loopback port until the end of the test and returns its address.
func serve(t *testing.T, run func(context.Context, net.Listener) error) netip.AddrPort {
	t.Helper()
	l, addr := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- run(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return addr
}

// ownPorts is the block of ports of this test process.
var ownPorts = sync.OnceValues(ports.Reserve)

// freeAddress returns an address for a later listener.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	block, err := ownPorts()
	if err != nil {
		t.Fatal(err)
	}
	address, err := block.Draw(block.Host(1))
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// TestRun guards against parts that work separately but not together. With the stand-ins of the platform and of an engine or
// a service, the command becomes ready, answers a request and shuts down on a signal.
func TestRun(t *testing.T) {
	for _, test := range []struct {
		endpoint string
		request  wire.Message
		final    wire.Type // of the last message of the answer
	}{
		{"Engine", wire.Submit{
			Stream: 1, ConfigVersion: 1, Organisation: "Org1", Model: "M1", WeightVersion: "v1", MaxTokens: 4,
			Prompt: token.Encode("text"),
		}, wire.TypeEnd},
		{"Service", wire.Call{
			Stream: 1, ConfigVersion: 1, Organisation: "Org1", Service: "Orders", Method: "POST", Path: "/orders",
			IdempotencyKey: "K1", Body: []byte("{}"),
		}, wire.TypeReply},
	} {
		t.Run(test.endpoint, func(t *testing.T) {
			is := is.New(t)
			platformAddr := serve(t, standin.NewServer().Run)
			var address netip.AddrPort
			if test.endpoint == "Engine" {
				address = serve(t, engine.New(engine.Settings{Model: "M1", Version: "v0"}).Serve)
			} else {
				address = serve(t, func(ctx context.Context, l net.Listener) error {
					server := &http.Server{Handler: (&orders.Service{}).Handler()}
					defer context.AfterFunc(ctx, func() { server.Close() })()
					_ = server.Serve(l)
					return nil
				})
			}
			acceptConfiguration(t, platformAddr)
			listen, metrics := freeAddress(t), freeAddress(t)
			signals := make(chan os.Signal, 2)
			exit := make(chan int, 1)
			var out output
			args := []string{
				"-Name", test.endpoint + "1", "-FailureDomain", "South", "-Listen", listen.String(),
				"-Platform", platformAddr.String(), "-" + test.endpoint, address.String(), "-Metrics", metrics.String(),
			}
			go func() { exit <- run(args, &out, signals) }()
			for start := time.Now(); get("http://"+metrics.String()+"/readyz") != http.StatusOK; time.Sleep(time.Millisecond) {
				if time.Since(start) > time.Minute {
					t.Fatal("not ready:\n" + out.logged())
				}
			}
			netConn, err := net.Dial("tcp", listen.String())
			is.NoErr(err)
			c := wire.NewConn(netConn)
			defer c.Close()
			is.NoErr(c.Write(wire.Hello{Protocol: wire.ProtocolVersion, Name: "Entry1", ConfigVersion: 1}))
			is.NoErr(c.Write(test.request))
			for {
				m, err := c.Read()
				is.NoErr(err)
				if m.MessageType() == wire.TypeRefused {
					t.Fatalf("%#v", m)
				}
				if m.MessageType() == test.final {
					break
				}
			}
			is.Equal(get("http://"+metrics.String()+"/healthz"), http.StatusOK)
			is.Equal(get("http://"+metrics.String()+"/metrics"), http.StatusOK)
			is.NoErr(c.Close()) // otherwise the agent would wait for the Goodbye of the connection
			signals <- syscall.SIGTERM
			is.Equal(<-exit, 0)
			is.True(strings.Contains(out.logged(), "AgentStopped"))
			is.True(!strings.Contains(out.logged(), "AgentCutOff"))
		})
	}
}

// TestSecondSignal guards against an agent that a second signal does not stop, and against requests that are cut off
// without a log entry.
func TestSecondSignal(t *testing.T) {
	is := is.New(t)
	platformAddr := serve(t, standin.NewServer().Run)
	e := engine.New(engine.Settings{Model: "M1", Version: "v1"})
	e.Pause(true)
	address := serve(t, e.Serve)
	acceptConfiguration(t, platformAddr)
	listen := freeAddress(t)
	signals := make(chan os.Signal, 2)
	exit := make(chan int, 1)
	var out output
	go func() {
		exit <- run([]string{
			"-Name", "Engine1", "-FailureDomain", "South", "-Listen", listen.String(), "-Platform", platformAddr.String(),
			"-Engine", address.String(),
		}, &out, signals)
	}()
	for !strings.Contains(out.logged(), "EngineServing") {
		time.Sleep(time.Millisecond)
	}
	netConn, err := net.Dial("tcp", listen.String())
	is.NoErr(err)
	c := wire.NewConn(netConn)
	defer c.Close()
	is.NoErr(c.Write(wire.Hello{Protocol: wire.ProtocolVersion, Name: "Entry1", ConfigVersion: 1}))
	is.NoErr(c.Write(wire.Submit{
		Stream: 1, ConfigVersion: 1, Organisation: "Org1", Model: "M1", WeightVersion: "v1", MaxTokens: 4,
		Prompt: token.Encode("text"), RequestID: "R1",
	}))
	for m := wire.Message(nil); m == nil || m.MessageType() != wire.TypeAccepted; {
		m, err = c.Read()
		is.NoErr(err)
	}
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	is.Equal(<-exit, 0)
	is.True(strings.Contains(out.logged(), `"Requests":["R1"]`))
}

// acceptConfiguration stores a configuration at the platform, which must not have one yet.
func acceptConfiguration(t *testing.T, platformAddr netip.AddrPort) {
	t.Helper()
	content, err := settings.Accepted{Operator: "Test", Deployment: settings.Deployment{
		Site: "Test", FailureDomains: []settings.FailureDomain{{Name: "South"}},
		Endpoints: []settings.Endpoint{
			{Name: "Engine1", FailureDomain: "South", Model: "M1"},
			{Name: "Service1", Kind: settings.ServiceEndpoint, FailureDomain: "South", Service: "Orders"},
		},
		Models: []settings.Model{{Name: "M1", Version: "v1"}}, Services: []settings.Service{{Name: "Orders"}},
		Organisations: []settings.Organisation{{Name: "Org1", Models: []string{"M1"}, Services: []string{"Orders"}}},
	}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	c := platform.New(platformAddr)
	defer c.Close()
	version, err := c.Put(t.Context(), platform.Object{Kind: "Config", Name: "Current", Value: content})
	if err != nil || version != 1 {
		t.Fatal(version, err)
	}
}

// get returns the status of a GET request, or 0 if there is no response.
func get(url string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
