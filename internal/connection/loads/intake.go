package loads

import (
	"math"
	"slices"
	"time"

	"primrosecourse/pkg/intake"
)

// Intake records the requests that endpoints take; intake.Table implements it.
type Intake interface {
	// Reports returns what this gateway and the named others sent together to at most limit endpoints that stated a rate, and the number of
	// gateways that are covered.
	Reports(now time.Time, limit int, peers map[string]bool) (list []intake.Report, processes int)
	// SetPeer records what another gateway, or a group of the given number of gateways, reported.
	SetPeer(now time.Time, name string, processes int, reports []intake.Report)
}

const (
	// maxIntakes limits the endpoints with a stated rate in a full message, maxSummaryIntakes those in a summary. An endpoint takes up 27
	// bytes.
	maxIntakes        = 32
	maxSummaryIntakes = 96
	// notStated stands in PerSecond for an endpoint that stated no rate to the sender.
	notStated = -1
)

// intakeLists is a list of intake.Report, as lists of the same length. Gateways is the number of gateways that they cover.
type intakeLists struct {
	Gateways  int
	Endpoints []uint32  `msgpack:",omitempty"`
	Sent      []float32 `msgpack:",omitempty"`
	Wanted    []float32 `msgpack:",omitempty"`
	PerSecond []float32 `msgpack:",omitempty"`
	AgoMs     []uint32  `msgpack:",omitempty"`
	// Leaving are the endpoints of Endpoints that stated that they leave.
	Leaving []uint32 `msgpack:",omitempty"`
}

func newIntakeLists(reports []intake.Report, gateways int) *intakeLists {
	l := &intakeLists{Gateways: gateways}
	for _, r := range reports {
		rate, ago := float32(notStated), uint32(0)
		if r.Rate >= 0 {
			rate, ago = float32(r.Rate), uint32(min(r.Ago.Milliseconds(), math.MaxUint32))
		}
		l.Endpoints = append(l.Endpoints, endpointKey(r.Endpoint))
		l.Sent = append(l.Sent, float32(r.Sent))
		l.Wanted = append(l.Wanted, float32(r.Wanted))
		l.PerSecond = append(l.PerSecond, rate)
		l.AgoMs = append(l.AgoMs, ago)
		if r.Leaving {
			l.Leaving = append(l.Leaving, endpointKey(r.Endpoint))
		}
	}
	return l
}

// reports returns the reports at the endpoints that ids contains, and false if the lists differ in length or have a value that no gateway
// reports.
func (l *intakeLists) reports(ids map[uint32]string) (list []intake.Report, ok bool) {
	n := len(l.Endpoints)
	if l.Gateways < 1 || len(l.Sent) != n || len(l.Wanted) != n || len(l.PerSecond) != n || len(l.AgoMs) != n {
		return nil, false
	}
	for i, key := range l.Endpoints {
		r := intake.Report{Sent: float64(l.Sent[i]), Wanted: float64(l.Wanted[i]), Rate: float64(l.PerSecond[i]),
			Ago: time.Duration(l.AgoMs[i]) * time.Millisecond, Leaving: slices.Contains(l.Leaving, key)}
		if !isCount(r.Sent) || !isCount(r.Wanted) || (r.Rate != notStated && !isCount(r.Rate)) {
			return nil, false
		}
		if id, known := ids[key]; known {
			r.Endpoint = id
			list = append(list, r)
		}
	}
	return list, true
}

// isCount reports whether x is finite and not negative.
func isCount(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }
