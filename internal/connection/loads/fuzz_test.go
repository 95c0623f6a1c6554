package loads

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/vmihailenco/msgpack/v5"

	"primrosecourse/pkg/intake"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/tiering"
)

// FuzzHandle guards against a datagram that stops the exchange, or that makes a gateway pass on what it was passed on already.
func FuzzHandle(f *testing.F) {
	full := &message{Name: "B", Incarnation: 1, Number: 1, Floors: map[string]uint64{"M": 2}}
	full.setLoads([]placement.Load{{Endpoint: "e1", InFlight: 2, Pending: 500, Held: 900, Cold: time.Second, HeardAgo: time.Millisecond}})
	full.setCached([]placement.CachedParts{{Endpoint: "e1", Parts: []placement.Part{{Key: 7, Tokens: 2000}}}})
	full.setLinks(map[string]tiering.LinkReport{"s": {Sum: time.Second, Count: 2}})
	full.setSaves([]tiering.SaveReport{{Key: 7, Left: time.Second}, {Key: 8, Begun: true, Left: time.Millisecond}})
	full.Intake = newIntakeLists([]intake.Report{{Endpoint: "e1", Sent: 1.5, Wanted: 4, Rate: 6.4, Ago: time.Second, Leaving: true}, {Endpoint: "e2", Rate: -1}}, 1)
	summary := &message{Name: "C", Domain: "d", Incarnation: 1, Number: 9, GroupFloors: map[string]incarnationFloors{"X": {Incarnation: 3}}}
	for _, m := range []*message{full, summary, {Name: "B", Some: true, PassedOn: true}} {
		b, err := msgpack.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte("\x81\xa4Kept\x81\xce\xff\xff\xff\xff\xc0"))
	f.Fuzz(func(t *testing.T, b []byte) {
		e := &Exchange{Name: "A", Domain: "a", Table: placement.New(), Floors: &tiering.Floors{}, Links: &tiering.Links{}, Saves: &tiering.Saves{}, Intake: intake.New(), View: view{}, Log: logr.Discard()}
		e.init()
		for range 2 {
			passOn := e.handle(b, netip.AddrPort{}, time.Now())
			if passOn != nil && (passOn.Domain == "" || passOn.Domain == e.Domain || !passOn.PassedOn) {
				t.Fatalf("%+v is passed on", passOn)
			}
		}
		_ = e.Table.SumLoads(time.Now(), 10, map[string]bool{"B": true})
		_ = e.Links.Delays(time.Now())
	})
}
