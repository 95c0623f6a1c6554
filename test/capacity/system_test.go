package capacity

import (
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"primrosecourse/test/site"
)

// readyTimeout limits each wait for a process. It is reached only if the process is broken.
const readyTimeout = 60 * time.Second

// freeAddress returns a loopback address that no other part gets.
func freeAddress() string { return site.FreeAddress().String() }

// process is a started program. The field http is the address at which it serves HTTP.
type process struct {
	name, http string
	cmd        *exec.Cmd
	log        *os.File
}

// system is a set of processes that share one configuration with one failure domain.
type system struct {
	dir, platform             string
	all                       []*process
	entries, models, services []*process
}

// size contains the numbers of entries, of agents of models and of agents of services. listed is the number of endpoints in the
// configuration. If it is less than the number of agents, for example 0, the configuration contains only their endpoints.
type size struct{ entries, models, services, listed int }

// measured returns the entries and agents.
func (s *system) measured() (ps []*process) {
	ps = append(ps, s.entries...)
	ps = append(ps, s.models...)
	return append(ps, s.services...)
}

// start starts a program. Its log goes to a file.
func (s *system) start(b *testing.B, name, address, program string, args ...string) *process {
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		b.Fatal(err)
	}
	p := &process{name: name, http: address, cmd: exec.Command(filepath.Join(s.dir, program), args...), log: log}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	s.all = append(s.all, p)
	return p
}

// startStandin starts a stand-in, waits until it listens and returns its address.
func (s *system) startStandin(b *testing.B, kind string, args ...string) (address string) {
	address = freeAddress()
	s.start(b, kind, address, "primrose-standin", append([]string{"-Kind", kind, "-Listen", address}, args...)...)
	await(b, kind, func() bool {
		c, err := net.Dial("tcp", address)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	return address
}

// await waits until ok returns true.
func await(b *testing.B, name string, ok func() bool) {
	for deadline := time.Now().Add(readyTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.Fatalf("%s is not ready in time", name)
		}
	}
}

func (p *process) ready() bool {
	resp, err := http.Get("http://" + p.http + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startSystem builds the programs and starts a system, which is killed at the end of the benchmark.
func startSystem(b *testing.B, sz size) *system {
	s := &system{dir: b.TempDir()}
	build := []string{"build", "-o", s.dir + "/"}
	for _, name := range []string{"primrose-entry", "primrose-agent", "primrosectl", "primrose-standin"} {
		build = append(build, "primrosecourse/cmd/"+name)
	}
	if out, err := exec.Command("go", build...).CombinedOutput(); err != nil {
		b.Fatalf("%v\n%s", err, out)
	}
	b.Cleanup(func() {
		for _, p := range s.all {
			_ = p.cmd.Process.Kill() // it may have exited
			_ = p.cmd.Wait()         // the error is that of the kill
			p.log.Close()
		}
		http.DefaultClient.CloseIdleConnections()
	})
	s.platform = s.startStandin(b, "platform")
	engine := s.startStandin(b, "engine", "-EngineModel", "Notes", "-EngineVersion", "V1", "-EngineWarmStart",
		"-EngineBatchLimit", "64")
	orders := s.startStandin(b, "orders")
	var ini strings.Builder
	fmt.Fprint(&ini, "[Site]\nName = Capacity\n[FailureDomain \"Only\"]\nRegion = Test\n[Service \"Orders\"]\n")
	fmt.Fprint(&ini, "[Model \"Notes\"]\nVersion = V1\n[Model \"Other\"]\nVersion = V1\n")
	for i := range max(1, sz.listed*32/1000) {
		sum := sha256.Sum256(fmt.Append(nil, "credential", i))
		fmt.Fprintf(&ini, "[Organisation \"Organisation%d\"]\nCredentialHash = %x\nModels = Notes\nServices = Orders\n", i, sum)
	}
	var bootstrap []string
	type instance struct{ name, peer string }
	var entries, models, services []instance
	for i := range sz.entries {
		e := instance{name: fmt.Sprintf("Entry%d", i), peer: freeAddress()}
		entries, bootstrap = append(entries, e), append(bootstrap, e.peer)
		fmt.Fprintf(&ini, "[Entry %q]\nAddress = %s\nFailureDomain = Only\n", e.name, e.peer)
	}
	for i := range sz.models {
		m := instance{name: fmt.Sprintf("Model%d", i), peer: freeAddress()}
		models = append(models, m)
		fmt.Fprintf(&ini, "[Endpoint %q]\nAddress = %s\nFailureDomain = Only\nModel = Notes\nBatchLimit = 64\n", m.name, m.peer)
	}
	for i := range sz.services {
		o := instance{name: fmt.Sprintf("Order%d", i), peer: freeAddress()}
		services = append(services, o)
		fmt.Fprintf(&ini, "[Endpoint %q]\nKind = ServiceEndpoint\nAddress = %s\nFailureDomain = Only\nService = Orders\n",
			o.name, o.peer)
	}
	for i := sz.models + sz.services; i < sz.listed; i++ {
		fmt.Fprintf(&ini, "[Endpoint \"Listed%05d\"]\nAddress = 127.9.%d.%d:7000\nFailureDomain = Only\nModel = Other\n",
			i, i/250, i%250+1)
	}
	base := filepath.Join(s.dir, "base.ini")
	if err := os.WriteFile(base, []byte(ini.String()), 0o600); err != nil {
		b.Fatal(err)
	}
	s.ctl(b, "apply", "-Platform", s.platform, "-Base", base)
	common := func(inst instance) []string {
		return []string{"-Name", inst.name, "-FailureDomain", "Only", "-Platform", s.platform,
			"-Peers", strings.Join(bootstrap[:2], ",")}
	}
	for _, e := range entries {
		addr := freeAddress()
		s.entries = append(s.entries, s.start(b, e.name, addr, "primrose-entry",
			append(common(e), "-Listen", addr, "-PeerListen", e.peer)...))
	}
	for _, m := range models {
		addr := freeAddress()
		s.models = append(s.models, s.start(b, m.name, addr, "primrose-agent",
			append(common(m), "-Listen", m.peer, "-Metrics", addr, "-Engine", engine)...))
	}
	for _, o := range services {
		addr := freeAddress()
		s.services = append(s.services, s.start(b, o.name, addr, "primrose-agent",
			append(common(o), "-Listen", o.peer, "-Metrics", addr, "-Service", orders)...))
	}
	for _, p := range s.measured() {
		await(b, p.name, p.ready)
	}
	return s
}

// ctl runs primrosectl and returns its processor time.
func (s *system) ctl(b *testing.B, args ...string) time.Duration {
	cmd := exec.Command(filepath.Join(s.dir, "primrosectl"), args...)
	if out, err := cmd.CombinedOutput(); err != nil {
		b.Fatalf("%v: %v\n%s", args, err, out)
	}
	return cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
}
