package loads

import (
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/tiering"
)

// TestClaimedLength guards against a short datagram from anyone that makes a gateway allocate the length that it claims, and end.
func TestClaimedLength(t *testing.T) {
	const list = "\xdd\x04\x00\x00\x00" // the head of a list of 67,108,864 elements
	for name, datagram := range map[string]string{
		"endpoints": "\x81\xa9Endpoints" + list,
		"numbers":   "\x81\xa8InFlight" + list,
		"parts":     "\x81\xa4Kept\x81\x01\x81\xa4Keys" + list,
		"unknown":   "\x81\xa1X" + list,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &Exchange{Name: "A", Domain: "a", Table: placement.New(), Floors: &tiering.Floors{}, Links: &tiering.Links{}, View: view{}, Log: logr.Discard()}
			e.init()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			is.Equal(e.handle([]byte(datagram), netip.AddrPort{}, time.Now()), nil)
			runtime.ReadMemStats(&after)
			is.True(after.TotalAlloc-before.TotalAlloc < 1<<20)
			is.Equal(e.unreadable.Load(), int64(1))
		})
	}
}
