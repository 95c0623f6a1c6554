package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Crash is the record of an endpoint that crashed.
type Crash struct {
	// Endpoint identifies the endpoint and its incarnation, so that several processes record the same crash once.
	Endpoint string
	// At is when the process that recorded the crash first saw a connection break.
	At time.Time
	// Cold is set if the endpoint was cold, so that load may have crashed it.
	Cold bool
	// Candidates are the parts of the prompts whose answers had not begun when the endpoint crashed.
	Candidates []Candidate
}

// Candidate is a part of a prompt that may have crashed an endpoint. A crash has at most one for each part and organisation.
type Candidate struct {
	Part uint64
	// Organisation is the key of the organisation whose prompt had the part.
	Organisation uint64
	// Depth is the position of the part in the prompt, from 0.
	Depth int
	// ClearedElsewhere is set if an answer on the part has begun for another organisation since the crash.
	ClearedElsewhere bool
}

// maxCandidates is the maximum number of candidates of a crash.
const maxCandidates = 192

// Add adds candidates, up to a total of 192, and reports whether there were new ones among them.
func (c *Crash) Add(candidates []Candidate) (added bool) {
	for _, n := range candidates {
		known := slices.ContainsFunc(c.Candidates, func(o Candidate) bool { return o.Part == n.Part && o.Organisation == n.Organisation })
		if !known && len(c.Candidates) < maxCandidates {
			c.Candidates = append(c.Candidates, n)
			added = true
		}
	}
	return added
}

// Clear records that an answer on the part has begun for the organisation since the crash, while the endpoint of that answer lived on: it
// removes the candidate, and marks those of other organisations with the same part. It reports whether the crash changed.
func (c *Crash) Clear(part, organisation uint64) (changed bool) {
	remaining := c.Candidates[:0]
	for _, o := range c.Candidates {
		if o.Part == part && o.Organisation == organisation {
			changed = true
			continue
		}
		if o.Part == part && !o.ClearedElsewhere {
			o.ClearedElsewhere, changed = true, true
		}
		remaining = append(remaining, o)
	}
	c.Candidates = remaining
	return changed
}

// Clone returns a copy of the crash that shares no memory with it.
func (c *Crash) Clone() Crash {
	clone := *c
	clone.Candidates = slices.Clone(c.Candidates)
	return clone
}

// PartSettings configure Judge. Zero values are replaced by the defaults.
type PartSettings struct {
	// CrashThreshold is the number of crashes that quarantine a part, for the organisation whose prompts were there. Crashes of cold
	// endpoints count half. Default 3.
	CrashThreshold int
	// OrganisationThreshold is the number of organisations whose prompts must have been there for a part to be quarantined for all,
	// by as many crashes. Default 3.
	OrganisationThreshold int
	// Apart is the time within which crashes count as one, since they may have a common cause. Default DefaultApart.
	Apart time.Duration
	// Lifetime is how long a part is quarantined after the last crash. For as long again it is on probation: one more crash
	// quarantines it at once, an answer clears it. Default 15 min.
	Lifetime time.Duration
}

// DefaultApart is the default of PartSettings.Apart.
const DefaultApart = 100 * time.Millisecond

func (s PartSettings) withDefaults() PartSettings {
	s.CrashThreshold, s.OrganisationThreshold = cmp.Or(s.CrashThreshold, 3), cmp.Or(s.OrganisationThreshold, 3)
	s.Apart, s.Lifetime = cmp.Or(s.Apart, DefaultApart), cmp.Or(s.Lifetime, 15*time.Minute)
	return s
}

// maxCrashes is the maximum number of crashes that Judge considers, the latest ones.
const maxCrashes = 64

// scope is a part, for one organisation or for all.
type scope struct {
	part, organisation uint64
	all                bool
}

// evidence is what the crashes say about a scope.
type evidence struct {
	scope
	depth   int
	crashes []int // indices of crashes, in the order of time
	// organisations has the organisation of each crash, if the scope is for all.
	organisations []uint64
}

// Verdict is the decision to quarantine a part.
type Verdict struct {
	Part uint64
	// Organisation is the only one for which the part is quarantined, unless All is set.
	Organisation uint64
	All          bool
	// Endpoints are those whose crashes the part explains.
	Endpoints []string
	// Until is when the part is no longer quarantined if nothing more is recorded.
	Until time.Time
}

// Verdicts is the result of Judge. It is not modified once returned.
type Verdicts struct {
	quarantined map[scope]Verdict
	// probation has the scopes whose quarantine has ended and that no answer has cleared.
	probation map[scope]bool
	// unexplained are the crashes that no scope in quarantined or probation explains.
	unexplained []Crash
}

// Quarantined returns the verdict on a part for an organisation, if it is quarantined.
func (v *Verdicts) Quarantined(part, organisation uint64) (verdict Verdict, ok bool) {
	if verdict, ok = v.quarantined[scope{part: part, all: true}]; ok {
		return verdict, true
	}
	verdict, ok = v.quarantined[scope{part: part, organisation: organisation}]
	return verdict, ok
}

// Suspect reports whether the part is on probation, or was a candidate of the organisation in a crash before the given time, of another
// endpoint than the given one, that no other part explains. The time should be PartSettings.Apart ago, since crashes at the same time may
// have a common cause.
func (v *Verdicts) Suspect(part, organisation uint64, before time.Time, except string) bool {
	if v.probation[scope{part: part, all: true}] || v.probation[scope{part: part, organisation: organisation}] {
		return true
	}
	return slices.ContainsFunc(v.unexplained, func(c Crash) bool {
		return c.Endpoint != except && c.At.Before(before) && slices.ContainsFunc(c.Candidates, func(o Candidate) bool {
			return o.Part == part && o.Organisation == organisation
		})
	})
}

// List returns the verdicts, sorted by part and organisation.
func (v *Verdicts) List() []Verdict {
	list := make([]Verdict, 0, len(v.quarantined))
	for _, q := range v.quarantined {
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Organisation, b.Organisation))
	})
	return list
}

// Judge decides which parts of prompts are quarantined at now. Each crash is explained by at most one part: of the parts of which the
// remaining crashes suffice, the one deepest in its prompt is quarantined first, and its crashes then count against no other part. The
// parts before it occur in other prompts too, and the deepest that suffices leaves most of these alone.
func Judge(now time.Time, crashes []Crash, settings PartSettings) *Verdicts {
	j := &judgement{settings: settings.withDefaults()}
	j.add(now, crashes)
	v := &Verdicts{quarantined: map[scope]Verdict{}, probation: map[scope]bool{}}
	for {
		var next *evidence
		for _, e := range j.evidence {
			if j.suffices(e) && (next == nil || before(e, next)) {
				next = e
			}
		}
		if next == nil {
			break
		}
		if verdict := j.explain(next); verdict.Until.After(now) {
			v.quarantined[next.scope] = verdict
		} else {
			v.probation[next.scope] = true
		}
	}
	for i, c := range j.crashes {
		if !j.explained[i] {
			v.unexplained = append(v.unexplained, c)
		}
	}
	return v
}

// before orders evidence that suffices: by depth, then by the number of crashes, for all before for one organisation.
func before(a, b *evidence) bool {
	if a.depth != b.depth {
		return a.depth > b.depth
	}
	if len(a.crashes) != len(b.crashes) {
		return len(a.crashes) > len(b.crashes)
	}
	if a.all != b.all {
		return a.all
	}
	return cmp.Or(cmp.Compare(a.part, b.part), cmp.Compare(a.organisation, b.organisation)) < 0
}

// judgement is the state of one call of Judge.
type judgement struct {
	settings PartSettings
	crashes  []Crash
	// group is, for each crash, the index of the first of the crashes with which it counts as one.
	group     []int
	explained []bool
	evidence  map[scope]*evidence
}

// add takes over the crashes that count at now.
func (j *judgement) add(now time.Time, crashes []Crash) {
	for _, c := range crashes {
		if now.Sub(c.At) < 2*j.settings.Lifetime {
			j.crashes = append(j.crashes, c)
		}
	}
	slices.SortFunc(j.crashes, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	j.crashes = j.crashes[max(0, len(j.crashes)-maxCrashes):]
	j.group, j.explained, j.evidence = make([]int, len(j.crashes)), make([]bool, len(j.crashes)), map[scope]*evidence{}
	counts := map[uint64]int{}
	for _, c := range j.crashes {
		for _, o := range c.Candidates {
			counts[o.Part]++
		}
	}
	for i, c := range j.crashes {
		j.group[i] = j.group[max(0, i-1)]
		if c.At.Sub(j.crashes[j.group[i]].At) >= j.settings.Apart {
			j.group[i] = i
		}
		for _, o := range c.Candidates {
			if counts[o.Part] < j.settings.CrashThreshold {
				continue
			}
			j.record(i, scope{part: o.Part, organisation: o.Organisation}, o)
			if !o.ClearedElsewhere {
				j.record(i, scope{part: o.Part, all: true}, o)
			}
		}
	}
}

func (j *judgement) record(crash int, s scope, o Candidate) {
	e := j.evidence[s]
	if e == nil {
		e = &evidence{scope: s, depth: o.Depth}
		j.evidence[s] = e
	}
	e.depth = max(e.depth, o.Depth)
	e.crashes = append(e.crashes, crash)
	if s.all {
		e.organisations = append(e.organisations, o.Organisation)
	}
}

// suffices reports whether the crashes that are not explained yet suffice to quarantine the scope. Crashes of a group count as one.
func (j *judgement) suffices(e *evidence) bool {
	if _, ok := j.decisive(e); !ok || j.hasRival(e) {
		return false
	}
	if !e.all {
		return true
	}
	organisations := map[uint64]bool{}
	for k, i := range e.crashes {
		if !j.explained[i] {
			organisations[e.organisations[k]] = true
		}
	}
	return len(organisations) >= j.settings.OrganisationThreshold
}

// hasRival reports whether a deeper part of the same organisation may explain all crashes of the scope but one, of which its candidates
// are not known: they were there at other processes, whose records come later or not at all.
func (j *judgement) hasRival(e *evidence) bool {
	groups, latest := 0, -1
	// shared has, for each deeper part, the number of groups with it and the last of them.
	type tally struct{ groups, latest int }
	shared := map[uint64]tally{}
	for _, i := range e.crashes {
		if j.explained[i] {
			continue
		}
		if j.group[i] != latest {
			groups, latest = groups+1, j.group[i]
		}
		for _, o := range j.crashes[i].Candidates {
			if o.Depth <= e.depth || (!e.all && o.Organisation != e.organisation) || (e.all && o.ClearedElsewhere) {
				continue
			}
			if t := shared[o.Part]; t.groups == 0 || t.latest != latest {
				shared[o.Part] = tally{t.groups + 1, latest}
			}
		}
	}
	for _, t := range shared {
		if t.groups == groups-1 && t.groups >= max(1, j.settings.CrashThreshold-1) {
			return true
		}
	}
	return false
}

// decisive returns the index of the crash without which, and without those before it, the others do not suffice.
func (j *judgement) decisive(e *evidence) (crash int, ok bool) {
	halves, group, best := 0, -1, 0
	for k := len(e.crashes) - 1; k >= 0; k-- {
		i := e.crashes[k]
		if j.explained[i] {
			continue
		}
		if j.group[i] != group {
			group, best = j.group[i], 0
		}
		weight := 2
		if j.crashes[i].Cold {
			weight = 1
		}
		halves += max(0, weight-best)
		best = max(best, weight)
		if halves >= 2*j.settings.CrashThreshold {
			return i, true
		}
	}
	return 0, false
}

// explain returns the verdict on a scope that suffices and marks its crashes as explained.
func (j *judgement) explain(e *evidence) Verdict {
	v := Verdict{Part: e.part, Organisation: e.organisation, All: e.all}
	first, _ := j.decisive(e)
	for _, i := range e.crashes {
		if !j.explained[i] {
			v.Endpoints = append(v.Endpoints, j.crashes[i].Endpoint)
			v.Until = j.crashes[i].At.Add(j.settings.Lifetime)
			j.explained[i] = true
		}
	}
	if end := j.crashes[first].At.Add(2 * j.settings.Lifetime); end.Before(v.Until) {
		v.Until = end
	}
	return v
}
