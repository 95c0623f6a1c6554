package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
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
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/token"
	"primrosecourse/pkg/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestFlags guards against a process that starts with wrong flags, or refuses them without saying which.
func TestFlags(t *testing.T) {
	good := "-Name M1 -FailureDomain D1 -Listen 127.0.0.1:1 -Platform 127.0.0.1:2 "
	for _, test := range []struct{ name, args, want string }{
		{"none", "", "-Name and -FailureDomain are required"},
		{"no address", "-Name M1 -FailureDomain D1", "-Listen and -Platform are required"},
		{"no endpoint", good, "exactly one of -Engine and -Service"},
		{"two endpoints", good + "-Engine 127.0.0.1:3 -Service 127.0.0.1:4", "exactly one of -Engine and -Service"},
		{"host name", good + "-Engine localhost:3", "Engine"},
		{"port 0", good + "-Engine 127.0.0.1:0", "Engine"},
		{"bad peer", good + "-Engine 127.0.0.1:3 -Peers 127.0.0.1:4,x", "Peers"},
		{"unknown flag", good + "-Color red", "Color"},
		{"argument", good + "-Engine 127.0.0.1:3 now", `unexpected argument "now"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.Equal(run(strings.Fields(test.args), &out, nil), 2)
			is.True(strings.Contains(out.String(), test.want))
		})
	}
}

// output is written by the process and read by the test.
type output struct {
	mu sync.Mutex
	bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.Buffer.Write(b)
}

func (o *output) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.String()
}

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort()
}

// serve runs a stand-in until the test ends and returns its address.
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

// free returns an address for a later listener. It is not of 127.0.0.1, whose ports are also given to outgoing
// connections of other tests.
func free(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.N(254), rand.N(256), 1+rand.N(254)))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// TestRun guards against parts that work alone and not together: the command with the stand-ins of a platform, an engine
// and a service answers, reports itself ready and drains on a signal.
func TestRun(t *testing.T) {
	for _, test := range []struct {
		endpoint string
		message  wire.Message
		last     wire.Type
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
			objects := serve(t, standin.NewServer().Run)
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
			accept(t, objects)
			listen, metrics := free(t), free(t)
			signals := make(chan os.Signal, 2)
			exit := make(chan int, 1)
			var out output
			args := []string{
				"-Name", test.endpoint + "1", "-FailureDomain", "South", "-Listen", listen.String(),
				"-Platform", objects.String(), "-" + test.endpoint, address.String(), "-Metrics", metrics.String(),
			}
			go func() { exit <- run(args, &out, signals) }()
			for began := time.Now(); get("http://"+metrics.String()+"/readyz") != http.StatusOK; time.Sleep(time.Millisecond) {
				if time.Since(began) > time.Minute {
					t.Fatal("not ready:\n" + out.text())
				}
			}
			nc, err := net.Dial("tcp", listen.String())
			is.NoErr(err)
			c := wire.NewConn(nc)
			defer c.Close()
			is.NoErr(c.Write(wire.Hello{Protocol: wire.ProtocolVersion, Name: "Entry1", ConfigVersion: 1}))
			is.NoErr(c.Write(test.message))
			for {
				m, err := c.Read()
				is.NoErr(err)
				if m.MessageType() == wire.TypeRefused {
					t.Fatalf("%#v", m)
				}
				if m.MessageType() == test.last {
					break
				}
			}
			is.Equal(get("http://"+metrics.String()+"/healthz"), http.StatusOK)
			is.Equal(get("http://"+metrics.String()+"/metrics"), http.StatusOK)
			is.NoErr(c.Close()) // the agent does not wait for its Goodbye then
			signals <- syscall.SIGTERM
			is.Equal(<-exit, 0)
			is.True(strings.Contains(out.text(), "AgentStopped"))
			is.True(!strings.Contains(out.text(), "AgentCutOff"))
		})
	}
}

// TestSecondSignal guards against a process that cannot be ended, and work that is cut off without a trace.
func TestSecondSignal(t *testing.T) {
	is := is.New(t)
	objects := serve(t, standin.NewServer().Run)
	e := engine.New(engine.Settings{Model: "M1", Version: "v1"})
	e.Pause(true)
	address := serve(t, e.Serve)
	accept(t, objects)
	listen := free(t)
	signals := make(chan os.Signal, 2)
	exit := make(chan int, 1)
	var out output
	go func() {
		exit <- run([]string{
			"-Name", "Engine1", "-FailureDomain", "South", "-Listen", listen.String(), "-Platform", objects.String(),
			"-Engine", address.String(),
		}, &out, signals)
	}()
	for !strings.Contains(out.text(), "EngineServing") {
		time.Sleep(time.Millisecond)
	}
	nc, err := net.Dial("tcp", listen.String())
	is.NoErr(err)
	c := wire.NewConn(nc)
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
	is.True(strings.Contains(out.text(), `"Requests":["R1"]`))
}

// accept puts a configuration in force.
func accept(t *testing.T, objects netip.AddrPort) {
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
	c := platform.New(objects)
	defer c.Close()
	version, err := c.Put(t.Context(), platform.Object{Kind: "Config", Name: "Current", Value: content})
	if err != nil || version != 1 {
		t.Fatal(version, err)
	}
}

func get(url string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
