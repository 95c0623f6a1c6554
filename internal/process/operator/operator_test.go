package operator

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/process/platform/platformtest"
	"primrosecourse/internal/standin/fault"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// deployment returns a deployment of two failure domains with one entry and one endpoint each.
func deployment() settings.Deployment {
	d := settings.Deployment{Site: "Test", Models: []settings.Model{{Name: "Notes", Version: "V1"}}}
	for i, name := range []string{"North", "South"} {
		d.FailureDomains = append(d.FailureDomains, settings.FailureDomain{Name: name, Region: "R"})
		addr := func(port int) netip.AddrPort {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port+i))
		}
		d.Entries = append(d.Entries, settings.Entry{Name: "Entry" + name, Address: addr(7000), FailureDomain: name})
		d.Endpoints = append(d.Endpoints, settings.Endpoint{Name: "Model" + name, Address: addr(7100), FailureDomain: name,
			Model: "Notes"})
	}
	settings.ApplyDefaults(&d)
	return settings.Normalise(d)
}

// peers simulates the entries and agents, by address, over in-memory connections.
type peers struct {
	mu       sync.Mutex
	versions map[string]uint64
	// down contains the addresses that refuse connections. slow contains the number of pings after which an address adopts
	// the version of the last of these pings; until then it ignores pushes.
	down map[string]bool
	slow map[string]int
	// content is the response to ConfigWant.
	content wire.ConfigPush
}

func (p *peers) dial(_ context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down[address] {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	go p.serve(address, wire.NewConn(server))
	return client, nil
}

func (p *peers) serve(address string, c *wire.Conn) {
	defer c.Close()
	for {
		m, err := c.Read()
		if err != nil {
			return
		}
		p.mu.Lock()
		switch m := m.(type) {
		case wire.Hello:
			err = c.Write(wire.Hello{Protocol: wire.ProtocolVersion, Name: address, ConfigVersion: p.versions[address]})
		case wire.ConfigWant:
			err = c.Write(p.content)
		case wire.ConfigPush:
			if p.slow[address] == 0 {
				p.versions[address] = max(p.versions[address], m.Version)
			}
		case wire.Ping:
			if p.slow[address] > 0 {
				if p.slow[address]--; p.slow[address] == 0 {
					p.versions[address] = m.ConfigVersion
				}
			}
			err = c.Write(wire.Load{Stream: m.Stream, Load: wire.LoadState{State: wire.StateWarm, Running: 3, Queued: 1,
				Allowance: 16, ConfigVersion: p.versions[address]}})
		}
		p.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// fixture is an operator with a fake platform on which bob has accepted deployment() as version 1.
type fixture struct {
	*Operator
	fake  *platformtest.Fake
	peers *peers
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	f := fixture{fake: &platformtest.Fake{}, peers: &peers{versions: map[string]uint64{}, down: map[string]bool{},
		slow: map[string]int{}}}
	f.Operator = &Operator{Platform: f.fake, Name: "ada", Dial: f.peers.dial}
	f.acceptAsBob(t, 0, deployment())
	return f
}

// acceptAsBob stores d as bob's change if the object has the given version.
func (f fixture) acceptAsBob(t *testing.T, version uint64, d settings.Deployment) {
	t.Helper()
	content, err := settings.Accepted{Operator: "bob", At: time.Now(), Deployment: d}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.fake.Store.Put(platform.Object{Kind: ConfigKind, Name: ConfigName, Version: version, Value: content}); err != nil {
		t.Fatal(err)
	}
}

// stored returns the accepted configuration on the platform.
func (f fixture) stored(t *testing.T) Current {
	t.Helper()
	object, err := f.fake.Store.Get(ConfigKind, ConfigName)
	if err != nil {
		t.Fatal(err)
	}
	c, err := decode(object)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestCommands guards against a command that changes a key other than its own.
func TestCommands(t *testing.T) {
	leaving := deployment()
	leaving.FailureDomains[1].State = settings.Leaving
	leaving.Endpoints[1].State = settings.Leaving
	for _, c := range []struct {
		name  string
		start settings.Deployment
		run   func(context.Context, *Operator) (Report, error)
		want  []string
		code  Code
	}{
		{"leave domain", deployment(), func(ctx context.Context, o *Operator) (Report, error) { return o.LeaveDomain(ctx, "South", Options{}) },
			[]string{`FailureDomain "South".State: Active -> Leaving`}, Done},
		{"leave domain again", leaving, func(ctx context.Context, o *Operator) (Report, error) { return o.LeaveDomain(ctx, "South", Options{}) },
			nil, Done},
		{"leave the last active domain", leaving, func(ctx context.Context, o *Operator) (Report, error) { return o.LeaveDomain(ctx, "North", Options{}) },
			[]string{`FailureDomain "North".State: Active -> Leaving`}, Rejected},
		{"leave an unknown domain", leaving, func(ctx context.Context, o *Operator) (Report, error) { return o.LeaveDomain(ctx, "East", Options{}) },
			nil, Rejected},
		{"return domain", leaving, func(ctx context.Context, o *Operator) (Report, error) { return o.ReturnDomain(ctx, "South", Options{}) },
			[]string{`FailureDomain "South".State: Leaving -> Active`, `FailureDomain "South".ReturnedAt: never -> 2000-01-01T00:00:00Z`}, Done},
		{"drain endpoint", deployment(), func(ctx context.Context, o *Operator) (Report, error) {
			return o.DrainEndpoint(ctx, "ModelSouth", Options{})
		}, []string{`Endpoint "ModelSouth".State: Active -> Leaving`}, Done},
		{"return endpoint", leaving, func(ctx context.Context, o *Operator) (Report, error) {
			return o.ReturnEndpoint(ctx, "ModelSouth", Options{})
		}, []string{`Endpoint "ModelSouth".State: Leaving -> Active`}, Done},
		{"swap version", deployment(), func(ctx context.Context, o *Operator) (Report, error) {
			return o.SwapVersion(ctx, "Notes", "V2", Options{})
		}, []string{`Model "Notes".Version: V1 -> V2`}, Done},
		{"swap to an empty version", deployment(), func(ctx context.Context, o *Operator) (Report, error) {
			return o.SwapVersion(ctx, "Notes", "", Options{})
		}, []string{`Model "Notes".Version: V1 -> ""`}, Rejected},
		{"dry run", deployment(), func(ctx context.Context, o *Operator) (Report, error) {
			return o.SwapVersion(ctx, "Notes", "V2", Options{DryRun: true})
		}, []string{`Model "Notes".Version: V1 -> V2`}, Done},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t)
				f.acceptAsBob(t, f.stored(t).Version, c.start)
				before := f.stored(t)
				report, err := c.run(t.Context(), f.Operator)
				is.Equal(CodeOf(err), c.code)
				var got []string
				for _, change := range report.Changes {
					got = append(got, change.String())
				}
				is.Equal(got, c.want)
				after := f.stored(t)
				if c.code != Done || len(c.want) == 0 || report.DryRun {
					is.Equal(after.Content, before.Content)
					return
				}
				is.Equal(settings.Diff(before.Accepted.Deployment, after.Accepted.Deployment), report.Changes)
				is.Equal(after.Accepted.Operator, "ada")
				is.Equal(report.Version, after.Version)
				is.Equal(f.peers.versions["127.0.0.1:7000"], after.Version) // pushed
				is.Equal(f.peers.versions["127.0.0.1:7001"], after.Version)
				is.Equal(len(report.NotPushed), 0)
			})
		})
	}
}

// TestWait guards against reporting success before every entry and agent has the version, and against a report that does
// not list those without it.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		for i, address := range []string{"127.0.0.1:7000", "127.0.0.1:7001", "127.0.0.1:7100", "127.0.0.1:7101"} {
			f.peers.slow[address] = i + 2
		}
		report, err := f.LeaveDomain(t.Context(), "South", Options{Wait: true})
		is.NoErr(err)
		is.True(report.InForce)
		for address, version := range f.peers.versions {
			is.Equal(fmt.Sprint(address, version), fmt.Sprint(address, report.Version))
		}
		is.Equal(len(f.peers.versions), 4)

		f.peers.slow["127.0.0.1:7100"] = 1 << 30
		f.peers.down["127.0.0.1:7001"] = true
		report, err = f.ReturnDomain(t.Context(), "South", Options{Wait: true})
		is.Equal(CodeOf(err), NotInForce)
		is.Equal(len(report.NotPushed), 1)
		is.Equal(report.NotPushed[0].Name, "EntrySouth")
		// The agent at 7101 still has its old version: agents get no push, and in this test a ping updates only slow peers.
		var lagging []string
		for _, p := range report.NotInForce {
			lagging = append(lagging, p.Name)
		}
		is.Equal(lagging, []string{"EntrySouth", "ModelNorth", "ModelSouth"})
		is.Equal(report.NotInForce[1].ConfigVersion, report.Version-1)
	})
}

// TestLostRace guards against a report without the winner and its changes after a lost race.
func TestLostRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		old, err := f.readExisting(t.Context())
		is.NoErr(err)
		swapped := deployment()
		swapped.Models[0].Version = "V2"
		f.acceptAsBob(t, old.Version, swapped)
		next := deployment()
		next.FailureDomains[1].State = settings.Leaving
		report, err := f.change(t.Context(), old, next, Options{})
		is.Equal(CodeOf(err), Rejected)
		is.Equal(report.Winner.Operator, "bob")
		is.Equal(report.Winner.Changes, []settings.Change{{Path: `Model "Notes".Version`, Old: "V1", New: "V2"}})
		is.Equal(f.stored(t).Accepted.Deployment, swapped)
		is.Equal(len(f.peers.versions), 0)
	})
}

// TestOutage guards against a wrong outcome when the platform is unavailable or becomes unavailable before it responds.
func TestOutage(t *testing.T) {
	for _, c := range []struct {
		name  string
		rules []fault.Rule
		code  Code
	}{
		{"all calls fail", []fault.Rule{{Kind: fault.Outage}}, Unavailable},
		{"writes fail", []fault.Rule{{Kind: fault.Outage, Method: "PUT"}}, Unavailable},
		{"rate limit ends", []fault.Rule{{Kind: fault.RateLimit, Count: 4}}, Done},
		{"reply lost", []fault.Rule{{Kind: fault.ReplyLost, Method: "PUT", Count: 1}}, Done},
		{"reply lost, then outage", []fault.Rule{{Kind: fault.ReplyLost, Method: "PUT", Count: 1}, {Kind: fault.Outage, Skip: 1}}, Unknown},
		{"connection lost, then outage", []fault.Rule{{Kind: fault.Refuse, Method: "PUT", Count: 1}, {Kind: fault.Outage, Skip: 1}}, Unknown},
		{"connection lost once", []fault.Rule{{Kind: fault.Refuse, Method: "PUT", Count: 1}}, Done},
		{"replies take a minute", []fault.Rule{{Kind: fault.Delay, Delay: time.Minute}}, Unavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t)
				for _, rule := range c.rules {
					f.fake.Faults.Set(rule)
				}
				_, err := f.LeaveDomain(t.Context(), "South", Options{})
				is.Equal(CodeOf(err), c.code)
				stored := f.stored(t)
				switch c.code {
				case Done:
					is.Equal(stored.Accepted.Operator, "ada")
				case Unavailable:
					is.Equal(stored.Accepted.Operator, "bob")
				}
			})
		})
	}
}
