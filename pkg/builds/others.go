package builds

import "time"

// Brought records that the first event of a stream has arrived, so that the stream begins at the build for which it is recorded.
func (b *Book) Brought(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.streams[id]; s != nil {
		s.brought = true
	}
}

// Began returns the build at which this incarnation of the gateway began a stream. If that is not certain, or an earlier incarnation reported the
// stream, recorded is true and build is empty.
func (b *Book) Began(now time.Time, id uint64) (build string, recorded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.streams[id]
	switch {
	case id == 0 || s == nil || !now.Before(s.stream.Until):
		return "", false
	case s.unknown || s.inherited:
		return "", true
	case !s.brought:
		return "", false
	}
	return s.build, true
}

// Complete reports whether Began tells of all streams of this gateway, those of earlier incarnations included, that may be taken up. It does not
// before this gateway knows the plan that the store had when it started: one that is gone may have begun streams by it.
func (b *Book) Complete(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.restored && b.plan.Revision() >= b.required && !now.Before(b.unlistedUntil)
}

// Answer is what another gateway answers about a stream.
type Answer struct {
	// Build and Recorded are what Book.Began returns there.
	Build    string
	Recorded bool
	// Plan is the number of the plan there, and Complete what Book.Complete returns.
	Plan     uint64
	Complete bool
}

// Answers sums up what the other gateways answer about a stream after it was taken up.
type Answers struct {
	// Listed is set if the other gateways are known, of which there are Others.
	Listed bool
	Others int
	// Asked and Answered count those that were asked and those that answered.
	Asked, Answered int

	told               string
	doubted, disagreed bool
	incomplete         bool
	latest, oldest     uint64
}

// Add adds the answer of a gateway.
func (a *Answers) Add(answer Answer) {
	switch {
	case !answer.Recorded:
	case answer.Build == "":
		a.doubted = true
	case a.told != "" && a.told != answer.Build:
		a.disagreed = true
	default:
		a.told = answer.Build
	}
	a.incomplete = a.incomplete || !answer.Complete
	if a.Answered == 0 || answer.Plan < a.oldest {
		a.oldest = answer.Plan
	}
	a.latest = max(a.latest, answer.Plan)
	a.Answered++
}

// Told reports whether a gateway has answered that it began the stream.
func (a *Answers) Told() bool { return a.told != "" }

// agree reports whether all other gateways have answered that they did not begin the stream and know no later plan than that of the given number. The
// stream of a caller that does not name it may be any that a gateway with an earlier plan began.
func (a *Answers) agree(plan uint64, named bool) bool {
	return a.Listed && a.Answered >= a.Others && !a.incomplete && !a.doubted && a.latest <= plan && (named || a.Answered == 0 || a.oldest == plan)
}

// Finding is what a gateway itself knows about a stream that is taken up.
type Finding struct {
	// Build and Knowledge are what Book.TakeUp returned.
	Build     string
	Knowledge Knowledge
	// Plan is the number of the plan by which it did. Confirmed is set if that was the latest one after the stream was taken up, and Settled is what
	// Book.Settled returned.
	Plan      uint64
	Confirmed bool
	Settled   bool
	// Named is set if the caller states which stream it takes up.
	Named bool
}

// NeedsOthers reports whether what the other gateways answer may let the stream go on.
func (f *Finding) NeedsOthers() bool {
	switch f.Knowledge {
	case Uncertain, Unnamed:
		return false
	case Behind, Lost, Unplanned:
		return f.Named
	}
	return !f.Confirmed && (f.Named || f.Settled)
}

// Resolve returns the build that began a stream, and how that is known, by what this gateway knows and what the others answered. A build that is
// determined by a plan that is not confirmed counts only if all others have answered: one that is not heard may know a later plan.
func (f *Finding) Resolve(a *Answers) (build string, k Knowledge) {
	recorded := f.Knowledge == Own || f.Knowledge == Reported
	switch {
	case f.Knowledge == Uncertain && (f.Confirmed || a.Told()):
		return "", Uncertain
	case a.disagreed || (a.Told() && recorded && f.Build != a.told):
		return "", Uncertain
	case a.Told() && !(recorded && f.Confirmed):
		return a.told, Told
	case f.Confirmed || (f.Settled && a.agree(f.Plan, f.Named)):
		return f.Build, f.Knowledge
	}
	return "", Behind
}
