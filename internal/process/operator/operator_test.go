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

// deployment has two failure domains with an entry and an endpoint each.
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

// peers answers for entries and agents by address, over pipes.
type peers struct {
	mu       sync.Mutex
	versions map[string]uint64
	// down lists addresses that refuse connections, slow those that ignore pushes until the given number of pings.
	down map[string]bool
	slow map[string]int
	// content answers a request for the configuration.
	content wire.ConfigPush
}

func (p *peers) dial(_ context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down[address] {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	go p.serve(address, wire.NewConn(far))
	return near, nil
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

// rig is an operator with a platform that holds deployment() as version 1, accepted by bob.
type rig struct {
	*Operator
	fake  *platformtest.Fake
	peers *peers
}

func newRig(t *testing.T) rig {
	t.Helper()
	r := rig{fake: &platformtest.Fake{}, peers: &peers{versions: map[string]uint64{}, down: map[string]bool{},
		slow: map[string]int{}}}
	r.Operator = &Operator{Platform: r.fake, Name: "ada", Dial: r.peers.dial}
	r.rival(t, 0, deployment())
	return r
}

// rival accepts d as bob.
func (r rig) rival(t *testing.T, version uint64, d settings.Deployment) {
	t.Helper()
	content, err := settings.Accepted{Operator: "bob", At: time.Now(), Deployment: d}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.fake.Store.Put(platform.Object{Kind: ConfigKind, Name: ConfigName, Version: version, Value: content}); err != nil {
		t.Fatal(err)
	}
}

// stored returns the accepted configuration on the platform.
func (r rig) stored(t *testing.T) Current {
	t.Helper()
	object, err := r.fake.Store.Get(ConfigKind, ConfigName)
	if err != nil {
		t.Fatal(err)
	}
	c, err := decode(object)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestCommands guards against a command that changes another key than the one it names.
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
		{"leave", deployment(), func(ctx context.Context, o *Operator) (Report, error) { return o.LeaveDomain(ctx, "South", Options{}) },
			[]string{`FailureDomain "South".State: Active -> Leaving`}, Done},
		{"leave again", leaving, func(ctx context.Context, o *Operator) (Report, error) { return o.LeaveDomain(ctx, "South", Options{}) },
			nil, Done},
		{"leave the last", leaving, func(ctx context.Context, o *Operator) (Report, error) { return o.LeaveDomain(ctx, "North", Options{}) },
			[]string{`FailureDomain "North".State: Active -> Leaving`}, Rejected},
		{"leave unknown", leaving, func(ctx context.Context, o *Operator) (Report, error) { return o.LeaveDomain(ctx, "East", Options{}) },
			nil, Rejected},
		{"return", leaving, func(ctx context.Context, o *Operator) (Report, error) { return o.ReturnDomain(ctx, "South", Options{}) },
			[]string{`FailureDomain "South".State: Leaving -> Active`, `FailureDomain "South".ReturnedAt: never -> 2000-01-01T00:00:00Z`}, Done},
		{"drain", deployment(), func(ctx context.Context, o *Operator) (Report, error) {
			return o.DrainEndpoint(ctx, "ModelSouth", Options{})
		}, []string{`Endpoint "ModelSouth".State: Active -> Leaving`}, Done},
		{"return endpoint", leaving, func(ctx context.Context, o *Operator) (Report, error) {
			return o.ReturnEndpoint(ctx, "ModelSouth", Options{})
		}, []string{`Endpoint "ModelSouth".State: Leaving -> Active`}, Done},
		{"swap", deployment(), func(ctx context.Context, o *Operator) (Report, error) {
			return o.SwapVersion(ctx, "Notes", "V2", Options{})
		}, []string{`Model "Notes".Version: V1 -> V2`}, Done},
		{"swap to nothing", deployment(), func(ctx context.Context, o *Operator) (Report, error) {
			return o.SwapVersion(ctx, "Notes", "", Options{})
		}, []string{`Model "Notes".Version: V1 -> ""`}, Rejected},
		{"dry run", deployment(), func(ctx context.Context, o *Operator) (Report, error) {
			return o.SwapVersion(ctx, "Notes", "V2", Options{DryRun: true})
		}, []string{`Model "Notes".Version: V1 -> V2`}, Done},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRig(t)
				r.rival(t, r.stored(t).Version, c.start)
				before := r.stored(t)
				report, err := c.run(t.Context(), r.Operator)
				is.Equal(CodeOf(err), c.code)
				var got []string
				for _, change := range report.Changes {
					got = append(got, change.String())
				}
				is.Equal(got, c.want)
				after := r.stored(t)
				if c.code != Done || len(c.want) == 0 || report.DryRun {
					is.Equal(after.Content, before.Content)
					return
				}
				is.Equal(settings.Diff(before.Accepted.Deployment, after.Accepted.Deployment), report.Changes)
				is.Equal(after.Accepted.Operator, "ada")
				is.Equal(report.Version, after.Version)
				is.Equal(r.peers.versions["127.0.0.1:7000"], after.Version) // pushed
				is.Equal(r.peers.versions["127.0.0.1:7001"], after.Version)
				is.Equal(len(report.NotPushed), 0)
			})
		})
	}
}

// TestWait guards against success before every entry and agent has the version, and against a report that does not
// name those that lack it.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		for i, address := range []string{"127.0.0.1:7000", "127.0.0.1:7001", "127.0.0.1:7100", "127.0.0.1:7101"} {
			r.peers.slow[address] = i + 2
		}
		report, err := r.LeaveDomain(t.Context(), "South", Options{Wait: true})
		is.NoErr(err)
		is.True(report.InForce)
		for address, version := range r.peers.versions {
			is.Equal(fmt.Sprint(address, version), fmt.Sprint(address, report.Version))
		}
		is.Equal(len(r.peers.versions), 4)

		r.peers.slow["127.0.0.1:7100"] = 1 << 30
		r.peers.down["127.0.0.1:7001"] = true
		report, err = r.ReturnDomain(t.Context(), "South", Options{Wait: true})
		is.Equal(CodeOf(err), NotInForce)
		is.Equal(len(report.NotPushed), 1)
		is.Equal(report.NotPushed[0].Name, "EntrySouth")
		// The agent at 7101 was not pushed to and never asked, so it stays behind as well.
		var late []string
		for _, p := range report.NotInForce {
			late = append(late, p.Name)
		}
		is.Equal(late, []string{"EntrySouth", "ModelNorth", "ModelSouth"})
		is.Equal(report.NotInForce[1].ConfigVersion, report.Version-1)
	})
}

// TestLostRace guards against an operator who does not learn who won and what differs.
func TestLostRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		old, err := r.mustRead(t.Context())
		is.NoErr(err)
		swapped := deployment()
		swapped.Models[0].Version = "V2"
		r.rival(t, old.Version, swapped)
		next := deployment()
		next.FailureDomains[1].State = settings.Leaving
		report, err := r.change(t.Context(), old, next, Options{})
		is.Equal(CodeOf(err), Rejected)
		is.Equal(report.Winner.Operator, "bob")
		is.Equal(report.Winner.Changes, []settings.Change{{Path: `Model "Notes".Version`, Old: "V1", New: "V2"}})
		is.Equal(r.stored(t).Accepted.Deployment, swapped)
		is.Equal(len(r.peers.versions), 0)
	})
}

// TestOutage guards against a wrong exit code when the platform is down, or goes down before a reply.
func TestOutage(t *testing.T) {
	for _, c := range []struct {
		name  string
		rules []fault.Rule
		code  Code
	}{
		{"reads down", []fault.Rule{{Kind: fault.Outage}}, Unavailable},
		{"writes down", []fault.Rule{{Kind: fault.Outage, Method: "PUT"}}, Unavailable},
		{"rate limit passes", []fault.Rule{{Kind: fault.RateLimit, Count: 4}}, Done},
		{"reply lost", []fault.Rule{{Kind: fault.ReplyLost, Method: "PUT", Count: 1}}, Done},
		{"reply lost, then down", []fault.Rule{{Kind: fault.ReplyLost, Method: "PUT", Count: 1}, {Kind: fault.Outage, Skip: 1}}, Unknown},
		{"connection lost, then down", []fault.Rule{{Kind: fault.Refuse, Method: "PUT", Count: 1}, {Kind: fault.Outage, Skip: 1}}, Unknown},
		{"connection lost once", []fault.Rule{{Kind: fault.Refuse, Method: "PUT", Count: 1}}, Done},
		{"slow for long", []fault.Rule{{Kind: fault.Delay, Delay: time.Minute}}, Unavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRig(t)
				for _, rule := range c.rules {
					r.fake.Faults.Set(rule)
				}
				_, err := r.LeaveDomain(t.Context(), "South", Options{})
				is.Equal(CodeOf(err), c.code)
				stored := r.stored(t)
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
