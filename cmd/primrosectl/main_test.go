package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"primrosecourse/internal/process/operator"
	processplatform "primrosecourse/internal/process/platform"
	"primrosecourse/internal/standin/fault"
	"primrosecourse/internal/standin/platform"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"primrosectl": main})
}

// TestScripts guards against exit codes, messages or effects of primrosectl that differ from docs/operators.md.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"code":  runWithCode,
			"fault": setFault,
			"rival": setRival,
			"hold":  setHold,
		},
	})
}

type fixtureKey struct{}

// fixture consists of a platform stand-in and simulated entries and agents for the addresses in a script's settings.
type fixture struct {
	platform *platform.Server
	peers    map[string]*peer

	mu sync.Mutex
	// rival runs once, before the next write on the platform.
	rival func()
}

func (f *fixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		f.mu.Lock()
		if f.rival != nil {
			f.rival()
			f.rival = nil
		}
		f.mu.Unlock()
	}
	f.platform.Handler().ServeHTTP(w, r)
}

// setup starts the fixture of a script and replaces $ENTRY1, $ENTRY2, $MODEL1 and $MODEL2 in the script's INI files by the
// addresses of the simulated entries and agents.
func setup(env *testscript.Env) error {
	f := &fixture{platform: platform.NewServer(), peers: map[string]*peer{}}
	server := httptest.NewServer(f)
	env.Defer(func() {
		f.platform.Faults.ClearAll()
		server.Close()
	})
	// Without this setting the race detector delays the exit of each process by a second.
	env.Setenv("GORACE", "atexit_sleep_ms=0")
	env.Setenv("PLATFORM", strings.TrimPrefix(server.URL, "http://"))
	replacements := []string{}
	for _, name := range []string{"ENTRY1", "ENTRY2", "MODEL1", "MODEL2"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		f.peers[name] = newPeer(listener)
		env.Defer(f.peers[name].stop)
		env.Setenv(name, listener.Addr().String())
		replacements = append(replacements, "$"+name, listener.Addr().String())
	}
	env.Values[fixtureKey{}] = f
	inis, err := filepath.Glob(filepath.Join(env.WorkDir, "*.ini"))
	if err != nil {
		return err
	}
	for _, file := range inis {
		content, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err = os.WriteFile(file, []byte(strings.NewReplacer(replacements...).Replace(string(content))), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func fixtureOf(ts *testscript.TestScript) *fixture { return ts.Value(fixtureKey{}).(*fixture) }

// runWithCode implements "code N COMMAND...", which runs a command and fails the script unless its exit code is N.
func runWithCode(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err = ts.Exec(args[1], args[2:]...); err != nil {
		var exit *exec.ExitError
		if !errors.As(err, &exit) {
			ts.Fatalf("%v", err)
		}
		got = exit.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit code is %d, want %d", got, want)
	}
}

// setFault implements "fault KIND METHOD COUNT", which injects the fault into the next COUNT calls of METHOD to the platform,
// or into all if COUNT is 0, and "fault clear", which removes all faults.
func setFault(ts *testscript.TestScript, _ bool, args []string) {
	f := fixtureOf(ts)
	if args[0] == "clear" {
		f.platform.Faults.ClearAll()
		return
	}
	var rule fault.Rule
	ts.Check(rule.Kind.UnmarshalText([]byte(args[0])))
	rule.Method = args[1]
	count, err := strconv.Atoi(args[2])
	ts.Check(err)
	rule.Count = count
	f.platform.Faults.Set(rule)
}

// setRival implements "rival MODEL VERSION", which makes bob swap a version between the next command's read and its write.
func setRival(ts *testscript.TestScript, _ bool, args []string) {
	f := fixtureOf(ts)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rival = func() {
		object, err := f.platform.Store.Get(operator.ConfigKind, operator.ConfigName)
		ts.Check(err)
		accepted, err := settings.DecodeAccepted(object.Value)
		ts.Check(err)
		accepted.Operator, accepted.At = "bob", time.Now()
		for i := range accepted.Deployment.Models {
			if accepted.Deployment.Models[i].Name == args[0] {
				accepted.Deployment.Models[i].Version = args[1]
			}
		}
		value, err := accepted.Encode()
		ts.Check(err)
		_, err = f.platform.Store.Put(processplatform.Object{Kind: object.Kind, Name: object.Name, Version: object.Version, Value: value})
		ts.Check(err)
	}
}

// setHold implements "hold NAME", which makes an entry or agent ignore pushed versions and keep its configuration, and
// "! hold NAME", which ends that.
func setHold(ts *testscript.TestScript, neg bool, args []string) {
	p := fixtureOf(ts).peers[args[0]]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepsConfig = !neg
}

// peer simulates an entry or agent. It adopts the version in a ping, as if another peer had sent it the configuration.
type peer struct {
	listener net.Listener
	stopped  chan struct{}

	mu       sync.Mutex
	netConns []net.Conn
	version  uint64
	content  []byte
	// keepsConfig means that the peer ignores new versions.
	keepsConfig bool
}

func newPeer(listener net.Listener) *peer {
	p := &peer{listener: listener, stopped: make(chan struct{})}
	go func() {
		defer close(p.stopped)
		var wg sync.WaitGroup
		defer wg.Wait()
		for {
			netConn, err := listener.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.netConns = append(p.netConns, netConn)
			p.mu.Unlock()
			wg.Go(func() { p.serve(wire.NewConn(netConn)) })
		}
	}()
	return p
}

func (p *peer) stop() {
	_ = p.listener.Close()
	p.mu.Lock()
	for _, netConn := range p.netConns {
		_ = netConn.Close()
	}
	p.mu.Unlock()
	<-p.stopped
}

func (p *peer) serve(c *wire.Conn) {
	defer c.Close()
	_ = c.Write(wire.Hello{Protocol: wire.ProtocolVersion, Name: fmt.Sprint(p.listener.Addr())})
	for {
		m, err := c.Read()
		if err != nil {
			return
		}
		p.mu.Lock()
		switch m := m.(type) {
		case wire.ConfigPush:
			if !p.keepsConfig && m.Version > p.version {
				p.version, p.content = m.Version, m.Content
			}
		case wire.ConfigWant:
			_ = c.Write(wire.ConfigPush{Version: p.version, Content: p.content})
		case wire.Ping:
			if !p.keepsConfig {
				p.version = max(p.version, m.ConfigVersion)
			}
			_ = c.Write(wire.Load{Stream: m.Stream, Load: wire.LoadState{State: wire.StateWarm, Allowance: 16,
				ConfigVersion: p.version}})
		}
		p.mu.Unlock()
	}
}
