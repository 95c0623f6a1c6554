package loads

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/intake"
)

// TestIntakeLists guards against reports that arrive changed, and against lists that no gateway sends.
func TestIntakeLists(t *testing.T) {
	is := is.New(t)
	reports := []intake.Report{
		{Endpoint: "e1", Sent: 2.5, Wanted: 4, Rate: 6.5, Ago: 300 * time.Millisecond},
		{Endpoint: "e2", Sent: 1, Rate: -1, Leaving: true},
		{Endpoint: "gone", Rate: 1},
	}
	ids := map[uint32]string{endpointKey("e1"): "e1", endpointKey("e2"): "e2"}
	got, ok := newIntakeLists(reports, 3).reports(ids)
	is.True(ok)
	is.Equal(got, reports[:2])
	for name, change := range map[string]func(l *intakeLists){
		"too few values": func(l *intakeLists) { l.Sent = l.Sent[:1] },
		"negative count": func(l *intakeLists) { l.Wanted[0] = -3 },
		"negative rate":  func(l *intakeLists) { l.PerSecond[0] = -3 },
		"infinite count": func(l *intakeLists) { l.Sent[0] = float32(math.Inf(1)) },
		"not a number":   func(l *intakeLists) { l.PerSecond[0] = float32(math.NaN()) },
		"no gateway":     func(l *intakeLists) { l.Gateways = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newIntakeLists(reports, 3)
			change(l)
			_, ok := l.reports(ids)
			is.True(!ok)
		})
	}
}
