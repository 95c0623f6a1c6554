package operator

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/process/platform/platformtest"
	"primrosecourse/internal/standin/fault"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// TestStatus guards against sums and tables that differ from the reports of the entries and agents.
func TestStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.peers.versions["127.0.0.1:7000"] = 1
		f.peers.versions["127.0.0.1:7100"] = 1
		f.peers.down["127.0.0.1:7101"] = true
		report, err := f.Status(t.Context())
		is.NoErr(err)
		s := report.Status
		is.Equal([]int{s.InForce, s.Behind, s.Unreachable}, []int{2, 1, 1})
		is.Equal(s.FailureDomains, []DomainStatus{
			{Name: "North", Region: "R", Entries: 1, EntriesInAll: 1, Endpoints: 1, EndpointsInAll: 1, Running: 3, Queued: 1},
			{Name: "South", Region: "R", Entries: 1, EntriesInAll: 1, EndpointsInAll: 1},
		})
		var out, errs bytes.Buffer
		report.WriteText(&out, &errs)
		for _, want := range []string{
			"Test at 2000-01-01T00:00:00Z: version 1, accepted by bob at 2000-01-01T00:00:00Z",
			"in force at 2, behind at 1, no answer from 1 entries and agents",
			"ModelNorth  North   Notes@V1  Active  Warm   3        1       16         1        -",
			"ModelSouth  South   Notes@V1  Active  Down   0        0       0          0        connect to 127.0.0.1:7101: connection refused",
			"EntrySouth  South   Warm   3        0        -",
		} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("output lacks %q:\n%s", want, out.String())
			}
		}
		is.Equal(errs.String(), "")
	})
}

// TestReadFromEntry guards against get and status commands with -Entry that still need the platform.
func TestReadFromEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.fake.Faults.Set(fault.Rule{Kind: fault.Outage})
		_, err := f.Get(t.Context())
		is.Equal(CodeOf(err), Unavailable)
		stored := f.stored(t)
		f.peers.content = wire.ConfigPush{Version: 1, Content: stored.Content}
		f.Entry = netip.MustParseAddrPort("127.0.0.1:7000")
		report, err := f.Get(t.Context())
		is.NoErr(err)
		is.Equal(*report.Deployment, deployment())
		is.Equal(report.Version, uint64(1))
		_, err = f.Status(t.Context())
		is.NoErr(err)
	})
}

// TestClaimShards guards against an unintended change of the number of claim logs, after which orders could run again.
func TestClaimShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		files := Files{Base: "../../../examples/kleinkloof/base.ini", Overlay: "../../../examples/kleinkloof/site.ini"}
		other := deployment()
		other.Limits.ClaimShards = 8
		f.acceptAsBob(t, 1, other)
		_, err := f.Apply(t.Context(), files, ApplyOptions{})
		is.Equal(CodeOf(err), Rejected)
		is.True(strings.Contains(err.Error(), "ClaimShards would change from 8 to 16"))
		report, err := f.Apply(t.Context(), files, ApplyOptions{ChangeClaimShards: true})
		is.NoErr(err)
		// The entries that the change removes get the new version too.
		is.Equal(f.peers.versions["127.0.0.1:7000"], report.Version)
		is.Equal(f.peers.versions["127.0.0.1:20001"], report.Version)
	})
}

// TestUndecodableValue guards against overwriting a configuration that this version of the command cannot decode.
func TestUndecodableValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		_, err := f.fake.Store.Put(platform.Object{Kind: ConfigKind, Name: ConfigName, Version: 1,
			Value: []byte(`{"Operator":"eve","Deployment":{"Colour":1}}`)})
		is.NoErr(err)
		_, err = f.LeaveDomain(t.Context(), "South", Options{})
		is.Equal(CodeOf(err), Rejected)
	})
}

// TestApplyKeepsState guards against an apply that reverts a domain leave, and an apply that returns a domain without a
// ramp.
func TestApplyKeepsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		files := Files{Base: "../../../examples/kleinkloof/base.ini", Overlay: "../../../examples/kleinkloof/site.ini"}
		_, err := f.Apply(t.Context(), files, ApplyOptions{})
		is.NoErr(err)
		_, err = f.LeaveDomain(t.Context(), "Soweto", Options{})
		is.NoErr(err)
		report, err := f.Apply(t.Context(), files, ApplyOptions{})
		is.NoErr(err)
		is.Equal(len(report.Changes), 0)
		old := f.stored(t).Accepted.Deployment
		next := settings.Normalise(old)
		next.FailureDomains[2].State = settings.Active
		f.markReturned(old, &next)
		is.True(!next.FailureDomains[2].ReturnedAt.IsZero())
	})
}

// BenchmarkStatus pings every entry and agent. In the runs with lost=true, 1 in 26 of them never responds.
func BenchmarkStatus(b *testing.B) {
	for _, parts := range []int{100, 1000, 11300} {
		d := deployment()
		for i := range parts - 4 {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
			d.Endpoints = append(d.Endpoints, settings.Endpoint{Name: fmt.Sprint("Model", i), Address: addr,
				FailureDomain: "North", Model: "Notes"})
		}
		content, err := settings.Accepted{Operator: "bob", Deployment: d}.Encode()
		if err != nil {
			b.Fatal(err)
		}
		fake := &platformtest.Fake{}
		if _, err = fake.Store.Put(platform.Object{Kind: ConfigKind, Name: ConfigName, Value: content}); err != nil {
			b.Fatal(err)
		}
		for _, lostEvery := range []int{0, 26} {
			b.Run(fmt.Sprintf("parts=%d/lost=%t", parts, lostEvery > 0), func(b *testing.B) {
				p := &peers{versions: map[string]uint64{}}
				var calls atomic.Int64
				o := &Operator{Platform: fake, Dial: func(ctx context.Context, address string) (net.Conn, error) {
					if lostEvery > 0 && calls.Add(1)%int64(lostEvery) == 0 {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					return p.dial(ctx, address)
				}}
				for b.Loop() {
					r, err := o.Status(b.Context())
					if err != nil {
						b.Fatal(err)
					}
					b.ReportMetric(float64(r.Status.Unreachable), "unreachable")
				}
			})
		}
	}
}
