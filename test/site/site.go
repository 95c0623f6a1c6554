package site

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"primrosecourse/internal/standin/ports"
)

// ReadyTimeout limits each wait for a process. It is reached only if the process is broken.
const ReadyTimeout = 30 * time.Second

// ownPorts is the block of ports of this test process.
var ownPorts = sync.OnceValues(ports.Reserve)

// FreeAddress returns a loopback address that no other part of this or another test process gets.
func FreeAddress() netip.AddrPort { return FreeAddressAt(1) }

// FreeAddressAt returns an address at the n-th loopback host of this test process, from 1 to 254. No other part gets its port, on
// whichever host.
func FreeAddressAt(n byte) netip.AddrPort {
	block, err := ownPorts()
	if err != nil {
		panic(err)
	}
	address, err := block.Draw(block.Host(n))
	if err != nil {
		panic(err)
	}
	return address
}

// Site is a set of processes that share one configuration.
type Site struct {
	// Processes contains all processes by name.
	Processes map[string]*Process
	// Addresses contains the HTTP address of each process by name, Peers the address for the protocol of package wire of each
	// entry and agent.
	Addresses map[string]netip.AddrPort
	Peers     map[string]netip.AddrPort
	// Domains contains the failure domain of each entry and agent by name.
	Domains map[string]string
	// Entries and Agents are the names of the entries and agents. An agent has the name of its endpoint.
	Entries []string
	Agents  []string
	// HTTP is the client for requests to the processes.
	HTTP *http.Client

	dir      string
	binaries string
	fencing  bool // see Shape.Fencing
	// entryFlags is Shape.EntryFlags.
	entryFlags []string
}

// New returns a site without processes. It writes its configuration to dir and runs the programs in the directory binaries.
func New(dir, binaries string) *Site {
	return &Site{
		dir:       dir,
		binaries:  binaries,
		Processes: map[string]*Process{},
		Addresses: map[string]netip.AddrPort{},
		Peers:     map[string]netip.AddrPort{},
		Domains:   map[string]string{},
		HTTP:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
}

// Add adds a process and does not start it.
func (s *Site) Add(name, program string, args ...string) *Process {
	p := &Process{Path: filepath.Join(s.binaries, program), Args: args, Log: &Log{}}
	s.Processes[name] = p
	return p
}

// addStandin adds a stand-in of an outside system and does not start it.
func (s *Site) addStandin(name, kind string, args ...string) {
	addr := FreeAddress()
	s.Addresses[name] = addr
	s.Add(name, "primrose-standin", append([]string{"-Kind", kind, "-Listen", addr.String()}, args...)...)
}

// Shape describes a site: the numbers of entries, of model endpoints, of endpoints of the order service and of KV stores.
type Shape struct {
	Entries, Models, Orders, Stores int
	// Fencing makes the engines check fencing tokens.
	Fencing bool
	// EntryFlags are further flags of the entries.
	EntryFlags []string
}

var domainNames = []string{"South", "Middle", "North"}

// Define adds the stand-ins and writes the configuration. The endpoints are named Model1, Model2, ... and Order1, Order2, ...,
// the entries Entry1, Entry2, ..., the KV stores Store1, Store2, ...
func (s *Site) Define(shape Shape) error {
	s.fencing, s.entryFlags = shape.Fencing, shape.EntryFlags
	var ini strings.Builder
	fmt.Fprint(&ini, "[Site]\nName = Test\n[Limits]\nDrainTimeout = 20s\nQuarantineTime = 1m\nRampTime = 1s\n")
	for _, d := range domainNames {
		fmt.Fprintf(&ini, "[FailureDomain %q]\nRegion = Test\n", d)
	}
	fmt.Fprint(&ini, "[Model \"Notes\"]\nVersion = V1\nBlockTokens = 64\nBytesPerToken = 64\n[Service \"Orders\"]\n")
	for _, org := range []string{"Org1", "Org2"} {
		sum := sha256.Sum256([]byte(Credential(org)))
		fmt.Fprintf(&ini, "[Organisation %q]\nCredentialHash = %s\nModels = Notes\nServices = Orders\n", org,
			hex.EncodeToString(sum[:]))
	}
	s.addStandin("platform", "platform")
	s.addStandin("weights", "weights")
	for i := range shape.Stores {
		name := fmt.Sprintf("Store%d", i+1)
		s.addStandin(name, "kvstore")
		fmt.Fprintf(&ini, "[Store %q]\nAddress = %s\nFailureDomain = %s\n", name, s.Addresses[name], domainNames[i%3])
	}
	for i := range shape.Entries {
		s.defineEntry(&ini, i)
	}
	for i := range shape.Models {
		s.defineModel(&ini, i)
	}
	for i := range shape.Orders {
		s.defineOrders(&ini, i)
	}
	return os.WriteFile(filepath.Join(s.dir, "base.ini"), []byte(ini.String()), 0o600)
}

// Credential returns the credential of an organisation.
func Credential(org string) string { return "credential-of-" + org }

// assign assigns a failure domain and free addresses to the i-th entry or agent of its kind. It returns the failure domain.
func (s *Site) assign(name string, i int) (domain string) {
	s.Domains[name] = domainNames[i%3]
	s.Addresses[name] = FreeAddress()
	s.Peers[name] = FreeAddress()
	return s.Domains[name]
}

// defineEntry adds an entry to the configuration.
func (s *Site) defineEntry(ini *strings.Builder, i int) {
	name := fmt.Sprintf("Entry%d", i+1)
	domain := s.assign(name, i)
	s.Entries = append(s.Entries, name)
	fmt.Fprintf(ini, "[Entry %q]\nAddress = %s\nFailureDomain = %s\n", name, s.Peers[name], domain)
}

// defineModel adds a model endpoint to the configuration, and its engine to the processes.
func (s *Site) defineModel(ini *strings.Builder, i int) {
	name := fmt.Sprintf("Model%d", i+1)
	domain := s.assign(name, i)
	s.Agents = append(s.Agents, name)
	s.addStandin(name+".engine", "engine", "-EngineModel", "Notes", "-EngineVersion", "V1", "-EngineBlockTokens", "64",
		"-EngineWeights", s.Addresses["weights"].String(),
		fmt.Sprintf("-EngineChecksFencing=%t", s.fencing))
	fmt.Fprintf(ini, "[Endpoint %q]\nAddress = %s\nFailureDomain = %s\nModel = Notes\nChecksFencing = %t\n", name,
		s.Peers[name], domain, s.fencing)
}

// defineOrders adds an endpoint of the order service to the configuration, and its service to the processes.
func (s *Site) defineOrders(ini *strings.Builder, i int) {
	name := fmt.Sprintf("Order%d", i+1)
	domain := s.assign(name, i)
	s.Agents = append(s.Agents, name)
	s.addStandin(name+".service", "orders")
	fmt.Fprintf(ini, "[Endpoint %q]\nKind = ServiceEndpoint\nAddress = %s\nFailureDomain = %s\nService = Orders\n", name,
		s.Peers[name], domain)
}

// addPrograms adds the processes of the entries and agents.
func (s *Site) addPrograms() {
	var bootstrap []string
	for _, e := range s.Entries {
		bootstrap = append(bootstrap, s.Peers[e].String())
	}
	common := func(name string) []string {
		return []string{"-Name", name, "-FailureDomain", s.Domains[name], "-Platform", s.Addresses["platform"].String(),
			"-Peers", strings.Join(bootstrap, ",")}
	}
	for _, e := range s.Entries {
		args := append(common(e), "-Listen", s.Addresses[e].String(), "-PeerListen", s.Peers[e].String())
		s.Add(e, "primrose-entry", append(args, s.entryFlags...)...)
	}
	for _, a := range s.Agents {
		args := append(common(a), "-Listen", s.Peers[a].String(), "-Metrics", s.Addresses[a].String())
		if engine, ok := s.Addresses[a+".engine"]; ok {
			args = append(args, "-Engine", engine.String())
		} else {
			args = append(args, "-Service", s.Addresses[a+".service"].String())
		}
		s.Add(a, "primrose-agent", args...)
	}
}

// Up starts the processes that have been added, which are the stand-ins, and applies the configuration. It then adds and starts the
// entries and agents, and waits until they are ready.
func (s *Site) Up() error {
	for name, p := range s.Processes {
		if err := p.Start(); err != nil {
			return err
		}
		if err := s.WaitListening(name); err != nil {
			return err
		}
	}
	if out, err := s.Primrosectl("apply", "-Base", filepath.Join(s.dir, "base.ini")); err != nil {
		return fmt.Errorf("apply: %w\n%s", err, out)
	}
	s.addPrograms()
	names := append(append([]string{}, s.Entries...), s.Agents...)
	for _, name := range names {
		if err := s.Processes[name].Start(); err != nil {
			return err
		}
	}
	for _, name := range names {
		if err := s.WaitReady(name); err != nil {
			return err
		}
	}
	return nil
}

// WaitListening waits until a process listens on its HTTP address.
func (s *Site) WaitListening(name string) error {
	return s.Wait(name, "listen", func() bool {
		c, err := net.Dial("tcp", s.Addresses[name].String())
		if err == nil {
			c.Close()
		}
		return err == nil
	})
}

// WaitReady waits until a process answers /readyz with 200.
func (s *Site) WaitReady(name string) error {
	return s.Wait(name, "be ready", func() bool {
		resp, err := s.HTTP.Get("http://" + s.Addresses[name].String() + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// Wait waits until ok returns true. It fails if the process exits first, or after ReadyTimeout. The error text contains
// what, the awaited action as a verb phrase.
func (s *Site) Wait(name, what string, ok func() bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), ReadyTimeout)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s did not %s in time", name, what)
		case <-s.Processes[name].exited:
			return fmt.Errorf("%s exited before it could %s", name, what)
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// Primrosectl runs primrosectl on the platform stand-in and returns its standard output and standard error.
func (s *Site) Primrosectl(args ...string) (string, error) {
	words := 1 // number of arguments that name the command
	if args[0] == "domain" || args[0] == "endpoint" || args[0] == "version" {
		words = 2
	}
	args = slices.Concat(args[:words], []string{"-Platform", s.Addresses["platform"].String()}, args[words:])
	out, err := exec.Command(filepath.Join(s.binaries, "primrosectl"), args...).CombinedOutput()
	return string(out), err
}

// Down kills all running processes.
func (s *Site) Down() {
	for _, p := range s.Processes {
		if p.Running() {
			_ = p.Signal(syscall.SIGCONT) // a process that a test has paused would not end
			p.Kill()
		}
	}
	s.HTTP.CloseIdleConnections()
}
