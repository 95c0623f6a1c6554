package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/builds"
)

// takeUp finds which build began a stream that is taken up.
type takeUp struct {
	req *request
	// build and knowledge are the result, and wait is the time after which more may be known.
	build     string
	knowledge builds.Knowledge
	wait      time.Duration
	// confirmed is set if the plan of the result was the latest one after the arrival, as the platform's store stated. err is why it could not tell.
	confirmed bool
	err       error
	// stored is the number of the plan that the store had after the arrival, 0 if it could not tell.
	stored uint64
	// answers are those of the other gateways, and asked is for how long they were asked.
	answers builds.Answers
	asked   time.Duration
}

// confirmation is what the platform's store tells about the plan.
type confirmation struct {
	latest bool
	number uint64
	err    error
}

// pinTakeUp binds a stream that is taken up to the build that began it.
func (req *request) pinTakeUp() bool {
	p, book := &req.pinned, req.handler.Builds
	t := &takeUp{req: req}
	t.find()
	if t.knowledge == builds.Unplanned { // the endpoints that are listed now may not be those that were there when the stream began
		t.knowledge = builds.Uncertain
	}
	if t.knowledge == builds.Planned && !req.mayHaveBegunHere(t.build) {
		t.build, t.knowledge = "", builds.Uncertain
	}
	known := t.knowledge == builds.Own || t.knowledge == builds.Reported || t.knowledge == builds.Planned || t.knowledge == builds.Told
	p.build, p.active = t.build, known
	served := known && len(req.endpointsOfBuild(time.Now())) > 0
	event.Info(req.handler.Log, event.StreamTakenUp, "request", req.meta.ID, "resumes", req.meta.Resumes, "after", req.meta.LastEvent,
		"service", req.service, "build", t.build, "knowledge", t.knowledge.String(), "served", served, "plan", book.Plan().Revision(),
		"confirmed", t.confirmed, "error", message(t.err), "waitMs", t.wait.Milliseconds(), "others", t.answers.Others, "asked", t.answers.Asked,
		"answered", t.answers.Answered, "askedMs", t.asked.Milliseconds())
	switch {
	case !known:
		req.handler.count("Builds.Unknown")
		if t.knowledge == builds.Behind && book.PlanAge(time.Now()) > reportPatience {
			t.wait = buildGonePause
		}
		pause := max(t.wait, minBuildPause)
		req.refuse(http.StatusServiceUnavailable, "BuildUnknown", "the build that began the stream is not known", pause/2+rand.N(pause))
		return false
	case !served:
		req.handler.count("Builds.Gone")
		req.refuse(http.StatusServiceUnavailable, "BuildGone", "no endpoint has the build that began the stream", buildGonePause/2+rand.N(buildGonePause))
		return false
	}
	req.handler.count("Builds.TakenUp")
	return true
}

// find finds the build. What this gateway has recorded itself holds whatever the plan is. Otherwise the plan is confirmed by the platform's store and,
// if that takes long or does not suffice, the other gateways are asked at the same time.
func (t *takeUp) find() {
	req := t.req
	if build, _ := req.handler.Builds.Began(time.Now(), req.pinned.stream.ID); build != "" {
		t.build, t.knowledge = build, builds.Own
		return
	}
	ctx, cancel := context.WithTimeout(req.ctx, takeUpPatience)
	confirmed := make(chan confirmation, 1)
	go func() { confirmed <- t.confirm(ctx) }()
	asks := t.newAsks()
	defer func() {
		cancel()
		if confirmed != nil {
			<-confirmed
		}
		asks.end()
	}()
	delay := askDelay
	if own := t.finding(true); own.NeedsOthers() { // even if the plan is the latest one
		delay = 0
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			asks.start(ctx)
		case c := <-confirmed:
			t.confirmed, t.stored, t.err, confirmed = c.latest, c.number, c.err, nil
			if t.finding(t.confirmed).NeedsOthers() {
				asks.start(ctx)
			}
		case t.answers = <-asks.answers:
			t.asked = asks.ended()
		}
		if f := t.finding(t.confirmed); t.answers.Told() || (confirmed == nil && !(asks.running() && f.NeedsOthers())) {
			t.resolve(f)
			return
		}
	}
}

// finding returns what this gateway itself knows.
func (t *takeUp) finding(confirmed bool) *builds.Finding {
	book, now, stream := t.req.handler.Builds, time.Now(), t.req.pinned.stream
	// If the plan changes meanwhile, the service is not settled.
	f := &builds.Finding{Plan: book.Plan().Revision(), Confirmed: confirmed, Named: stream.ID != 0}
	f.Build, f.Knowledge, t.wait = book.TakeUp(now, stream)
	f.Settled = f.Plan >= t.stored && book.Settled(now, t.req.service)
	return f
}

func (t *takeUp) resolve(f *builds.Finding) {
	if t.req.handler.TakeUps == nil {
		t.answers.Listed = true
	}
	t.build, t.knowledge = f.Resolve(&t.answers)
	if t.knowledge == builds.Told {
		t.req.handler.count("Builds.Told")
	}
	if t.knowledge != f.Knowledge {
		t.wait = 0
	}
}

// confirm waits until this gateway knows the latest plan, and the others have reported on it, and reports whether it knows the plan.
func (t *takeUp) confirm(ctx context.Context) (c confirmation) {
	book := t.req.handler.Builds
	latest, cancel := context.WithTimeout(ctx, planPatience)
	defer cancel()
	number, err := t.req.handler.Plans.Latest(latest)
	if err != nil {
		return confirmation{err: err}
	}
	if !await(ctx, func() bool { return book.Plan().Revision() >= number }) {
		return confirmation{number: number}
	}
	await(ctx, func() bool {
		now := time.Now()
		_, knowledge, _ := book.TakeUp(now, t.req.pinned.stream)
		// A gateway that takes longer to report is gone or cut off.
		return knowledge != builds.Behind || book.PlanAge(now) > reportPatience
	})
	return confirmation{latest: true, number: number}
}

// asks is the question to the other gateways about a stream that is taken up.
type asks struct {
	takeUp *takeUp
	// answers gets the answers once; it is nil while nobody is asked.
	answers chan builds.Answers
	since   time.Time
}

func (t *takeUp) newAsks() *asks { return &asks{takeUp: t} }

// start asks, unless that was done before or there is nobody to ask.
func (a *asks) start(ctx context.Context) {
	h := a.takeUp.req.handler
	if h.TakeUps == nil || !a.since.IsZero() {
		return
	}
	h.count("Builds.Asked")
	a.answers, a.since = make(chan builds.Answers, 1), time.Now()
	go func() { a.answers <- h.TakeUps.Ask(ctx, a.takeUp.req.pinned.stream.ID) }()
}

func (a *asks) running() bool { return a.answers != nil }

// ended records that the answers were received, and returns for how long they were waited for.
func (a *asks) ended() time.Duration {
	a.answers = nil
	return time.Since(a.since)
}

// end waits for the answers if they were not received.
func (a *asks) end() {
	if a.answers != nil {
		<-a.answers
	}
}
