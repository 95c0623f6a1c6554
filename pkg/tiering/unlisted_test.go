package tiering_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/pkg/tiering"
)

// user is a gateway that may let engines fetch parts of version 1. Its incarnation is 0 until its first start.
type user struct {
	learner

	name        string
	incarnation uint64
	running     bool
	floors      *tiering.Floors
	// since and until are the time in which it knows that lists of the gateways have it; wroteAt is when its object was last written.
	since, until, wroteAt time.Duration
	listed                bool
	lastFetch             time.Duration // the latest end of its fetches, also of earlier incarnations
}

const (
	listedTime  = 32 * time.Second // without a write, after which a gateway on a list counts as absent
	presentTime = 30 * time.Second // after a write, for which a gateway takes itself for listed
)

func (u *user) start() {
	u.running, u.incarnation, u.floors, u.since, u.until = true, u.incarnation+1, &tiering.Floors{}, 0, -time.Hour
	u.learner = learner{contact: -time.Hour}
}

func (u *user) write(now time.Duration) {
	if now >= u.until {
		u.since = now
	}
	u.until, u.wroteAt, u.listed = now+presentTime, now, true
}

// uses reports whether the gateway lets engines fetch a part of version 1.
func (u *user) uses(now time.Duration) bool {
	replacedFor := u.namings.MaxReplacedFor(1, now)
	return u.running && u.floors.Uses("M", 1) && (tiering.Lifetimes{}).MayUse(1, u.named(), now-u.contact, replacedFor) &&
		(replacedFor == 0 || (now < u.until && replacedFor <= now-u.since))
}

// TestUnlistedGateways guards against freeing a part by version floors that a gateway may still let an engine fetch, whichever gateways start, stop, are
// killed, learn of the naming late, or can't write their objects, and whenever the gateways are listed. Parts must be freed in the end.
func TestUnlistedGateways(t *testing.T) {
	for seed := range uint64(4000) {
		if err := playUnlisted(rand.New(rand.NewPCG(seed, 1))); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func playUnlisted(random *rand.Rand) error {
	const step = 250 * time.Millisecond
	// Each kind of event has a rate of its own.
	oneIn := map[string]int{}
	for _, what := range []string{"start", "stop", "kill", "write", "contact", "raise", "send", "free", "list"} {
		oneIn[what] = []int{2, 6, 20, 60, 200}[random.IntN(5)]
	}
	draw := func(what string) bool { return random.IntN(oneIn[what]) == 0 }
	users := []*user{{name: "a"}, {name: "b"}}
	freer, floors := &learner{contact: -time.Hour}, &tiering.Floors{}
	var names []string
	listedAt := -time.Hour
	freed := false
	for now := -45 * time.Second; now < 80*time.Second; now += step {
		calm := now > 30*time.Second
		version := uint64(1)
		if now >= 0 {
			version = 2
		}
		for _, u := range users {
			switch {
			case !u.running && draw("start"):
				u.start()
			case u.running && !calm && draw("stop"):
				u.running, u.listed = false, false
			case u.running && !calm && draw("kill"):
				u.running = false
			}
			if !u.running {
				continue
			}
			if draw("write") {
				u.write(now)
			}
			if calm || draw("contact") {
				u.learn(version, now)
			}
			if u.named() > 1 && (calm || draw("raise")) {
				u.floors.Raise("M", 2, now)
			}
			if calm || draw("send") {
				floors.SetPeer(u.name, u.incarnation, u.floors.Own(), now)
			}
			if u.uses(now) {
				u.lastFetch = now + tiering.TransferTimeout
			}
		}
		if freer.learn(version, now); now >= 0 && (calm || draw("free")) {
			floors.Raise("M", 2, now)
		}
		if calm && int(now/step)%16 == 0 || !calm && draw("list") {
			names, listedAt = nil, now
			for _, u := range users {
				if u.listed && now-u.wroteAt <= listedTime {
					names = append(names, u.name)
				}
			}
		}
		if !tiering.MayFree(freer.namings.MinReplacedFor(1, now), now-listedAt) || !floors.Unused("M", 1, names, now) {
			continue
		}
		freed = true
		for _, u := range users {
			if now <= u.lastFetch {
				return errors.Newf("parts are freed at %v, listed were %v at %v, a fetch for %s may run until %v", now, names, listedAt, u.name, u.lastFetch)
			}
		}
	}
	if !freed {
		return errors.New("the parts are not freed")
	}
	return nil
}
