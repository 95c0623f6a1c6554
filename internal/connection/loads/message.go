package loads

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/staleness"
	"primrosecourse/pkg/tiering"
)

// message is the content of a datagram. The field names are those of its msgpack encoding.
type message struct {
	Name        string
	Incarnation uint64
	// Number increases with each message of an incarnation.
	Number uint64
	// Plan is the number of the plan of builds that the sender knows. Gateways of earlier programs read it; it is 0 in urgent messages.
	Plan uint64 `msgpack:",omitempty"`
	// Domain is set if the message is a summary: its loads are those of all gateways of this failure domain together.
	Domain string `msgpack:",omitempty"`
	// PassedOn is set if a summary was passed on within a domain and must not be passed on again.
	PassedOn bool `msgpack:",omitempty"`
	// Some is set if the message is an urgent one: its lists cover only the endpoints with an urgent change.
	Some bool `msgpack:",omitempty"`
	// Endpoints, InFlight, Pending and Held have the same length. They are separate lists because field names would take up most of an
	// encoded list of structs. An endpoint stands as the key of its ID.
	Endpoints []uint32
	InFlight  []int
	Pending   []int
	Held      []int
	// ColdMs is how much longer each endpoint stays cold, in milliseconds. It is empty if no endpoint is cold.
	ColdMs []int64 `msgpack:",omitempty"`
	// HeardMs is how long ago each endpoint last sent anything to the sender, in milliseconds, 0 if that is not known; silentMark means
	// that the sender has just found the endpoint silent. It is empty if all are 0.
	HeardMs []int64 `msgpack:",omitempty"`
	// Slow is how slow each endpoint last stated to the sender, or to a gateway of its domain, to be, in percent of the usual time, 0 if it did not,
	// and SlowMs how long ago that was, in milliseconds. They are empty if all are 0.
	Slow   []int   `msgpack:",omitempty"`
	SlowMs []int64 `msgpack:",omitempty"`
	// Floors is, by model, the lowest weight version whose parts in KV stores the sender still uses.
	Floors map[string]uint64 `msgpack:",omitempty"`
	// GroupFloors are, in a summary, the floors of the gateways of the domain by their names.
	GroupFloors map[string]incarnationFloors `msgpack:",omitempty"`
	// Ages are, by model, the ages of the last weight versions, as far as the sender knows them.
	Ages map[string][]versionAge `msgpack:",omitempty"`
	// Links are the delays of first tokens after fetches, by store, as the sender or the gateways of its domain observed them.
	Links map[string]linkReport `msgpack:",omitempty"`
	// Saves lists, in each message, the saves of parts that the sender or the gateways of its domain requested of engines.
	Saves *saveList `msgpack:",omitempty"`
	// Intake lists the requests sent to endpoints that state the rate of requests that they take. It is empty in urgent messages.
	Intake *intakeLists `msgpack:",omitempty"`
	// Kept lists, by endpoint, the long prompt parts cached by the endpoints that the sender, or a gateway of its domain, follows.
	Kept map[uint32]cachedParts `msgpack:",omitempty"`
}

// incarnationFloors are the floors of one incarnation of a gateway.
type incarnationFloors struct {
	Incarnation uint64
	Floors      map[string]uint64
}

// versionAge is a staleness.Age, with the time in milliseconds.
type versionAge struct {
	Version uint64
	AgeMs   int64
}

// setAges fills Ages.
func (m *message) setAges(ages map[string][]staleness.Age) {
	if len(ages) > 0 {
		m.Ages = make(map[string][]versionAge, len(ages))
	}
	for model, list := range ages {
		for _, a := range list {
			m.Ages[model] = append(m.Ages[model], versionAge{Version: a.Version, AgeMs: a.Age.Milliseconds()})
		}
	}
}

// linkReport is a tiering.LinkReport, with the sum in milliseconds.
type linkReport struct {
	SumMs int64
	Count int
}

// setLinks fills Links.
func (m *message) setLinks(reports map[string]tiering.LinkReport) {
	if len(reports) > 0 {
		m.Links = make(map[string]linkReport, len(reports))
	}
	for store, r := range reports {
		m.Links[store] = linkReport{SumMs: r.Sum.Milliseconds(), Count: r.Count}
	}
}

// links returns the content of Links.
func (m *message) links() map[string]tiering.LinkReport {
	reports := make(map[string]tiering.LinkReport, len(m.Links))
	for store, r := range m.Links {
		reports[store] = tiering.LinkReport{Sum: time.Duration(r.SumMs) * time.Millisecond, Count: r.Count}
	}
	return reports
}

// saveList lists saves of parts, as three lists of the same length.
type saveList struct {
	Keys   []uint64
	Begun  []bool
	LeftMs []int
}

// setSaves fills Saves.
func (m *message) setSaves(reports []tiering.SaveReport) {
	if len(reports) == 0 {
		return
	}
	m.Saves = &saveList{}
	for _, r := range reports {
		m.Saves.Keys, m.Saves.Begun = append(m.Saves.Keys, r.Key), append(m.Saves.Begun, r.Begun)
		m.Saves.LeftMs = append(m.Saves.LeftMs, int(r.Left.Milliseconds())+1)
	}
}

// saves returns the content of Saves, and false if its lists differ in length.
func (m *message) saves() (reports []tiering.SaveReport, ok bool) {
	if m.Saves == nil {
		return nil, true
	}
	if len(m.Saves.Begun) != len(m.Saves.Keys) || len(m.Saves.LeftMs) != len(m.Saves.Keys) {
		return nil, false
	}
	for i, key := range m.Saves.Keys {
		reports = append(reports, tiering.SaveReport{Key: key, Begun: m.Saves.Begun[i], Left: time.Duration(min(m.Saves.LeftMs[i], math.MaxInt32)) * time.Millisecond})
	}
	return reports, true
}

// cachedParts lists the prompt parts cached by one endpoint, as two lists of the same length.
type cachedParts struct {
	Keys   []uint64
	Tokens []int
}

// silentMark stands in HeardMs for an endpoint that the sender has just found silent.
const silentMark = -1

// endpointKey returns the key that stands for an endpoint in messages. Two endpoints with the same key, of which there are likely none
// among thousands, would be taken for one in reports of other gateways.
func endpointKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// setCached fills Kept from list.
func (m *message) setCached(list []placement.CachedParts) {
	if len(list) > 0 {
		m.Kept = make(map[uint32]cachedParts, len(list))
	}
	for _, c := range list {
		parts := cachedParts{Keys: make([]uint64, len(c.Parts)), Tokens: make([]int, len(c.Parts))}
		for i, p := range c.Parts {
			parts.Keys[i], parts.Tokens[i] = p.Key, p.Tokens
		}
		m.Kept[endpointKey(c.Endpoint)] = parts
	}
}

// cached returns the content of Kept for the endpoints that ids contains, and false if lists that belong together differ in length.
func (m *message) cached(ids map[uint32]string) (list []placement.CachedParts, ok bool) {
	for key, parts := range m.Kept {
		if len(parts.Keys) != len(parts.Tokens) {
			return nil, false
		}
		id, known := ids[key]
		if !known {
			continue
		}
		c := placement.CachedParts{Endpoint: id}
		for i, key := range parts.Keys {
			c.Parts = append(c.Parts, placement.Part{Key: key, Tokens: parts.Tokens[i]})
		}
		list = append(list, c)
	}
	return list, true
}

// setLoads fills the lists of loads.
func (m *message) setLoads(loads []placement.Load) {
	if slices.ContainsFunc(loads, func(l placement.Load) bool { return l.Cold > 0 }) {
		m.ColdMs = make([]int64, len(loads))
		for i, l := range loads {
			m.ColdMs[i] = l.Cold.Milliseconds()
		}
	}
	if slices.ContainsFunc(loads, func(l placement.Load) bool { return l.HeardAgo > 0 || l.Silent }) {
		m.HeardMs = make([]int64, len(loads))
		for i, l := range loads {
			if m.HeardMs[i] = l.HeardAgo.Milliseconds(); l.Silent {
				m.HeardMs[i] = silentMark
			}
		}
	}
	if slices.ContainsFunc(loads, func(l placement.Load) bool { return l.Slowness > 0 }) {
		m.Slow, m.SlowMs = make([]int, len(loads)), make([]int64, len(loads))
		for i, l := range loads {
			m.Slow[i], m.SlowMs[i] = l.Slowness, l.SlownessAgo.Milliseconds()
		}
	}
	for _, l := range loads {
		m.Endpoints = append(m.Endpoints, endpointKey(l.Endpoint))
		m.InFlight = append(m.InFlight, l.InFlight)
		m.Pending = append(m.Pending, l.Pending)
		m.Held = append(m.Held, l.Held)
	}
}

// loads returns the loads of the message at the endpoints that ids contains, and false if its lists differ in length.
func (m *message) loads(ids map[uint32]string) (list []placement.Load, ok bool) {
	cold, heard, slow, slowMs := m.ColdMs, m.HeardMs, m.Slow, m.SlowMs
	if len(cold) == 0 {
		cold = make([]int64, len(m.Endpoints))
	}
	if len(heard) == 0 {
		heard = make([]int64, len(m.Endpoints))
	}
	if len(slow) == 0 && len(slowMs) == 0 {
		slow, slowMs = make([]int, len(m.Endpoints)), make([]int64, len(m.Endpoints))
	}
	if len(m.InFlight) != len(m.Endpoints) || len(m.Pending) != len(m.Endpoints) || len(m.Held) != len(m.Endpoints) ||
		len(cold) != len(m.Endpoints) || len(heard) != len(m.Endpoints) || len(slow) != len(m.Endpoints) || len(slowMs) != len(m.Endpoints) {
		return nil, false
	}
	for i, key := range m.Endpoints {
		id, known := ids[key]
		if !known {
			continue
		}
		list = append(list, placement.Load{Endpoint: id, InFlight: m.InFlight[i], Pending: m.Pending[i], Held: m.Held[i],
			Cold:     time.Duration(cold[i]) * time.Millisecond,
			HeardAgo: time.Duration(max(0, heard[i])) * time.Millisecond, Silent: heard[i] == silentMark,
			Slowness: slow[i], SlownessAgo: time.Duration(max(0, slowMs[i])) * time.Millisecond})
	}
	return list, true
}
