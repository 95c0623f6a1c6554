package tiering_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"primrosecourse/pkg/site"
	"primrosecourse/pkg/tiering"
)

// learner is a gateway that learns of weight versions late, or not of all.
type learner struct {
	namings site.Namings
	contact time.Duration
}

// learn records a contact with the platform's store, which states the version that was named last.
func (l *learner) learn(version uint64, now time.Duration) {
	if known := l.named(); version > known {
		l.namings = l.namings.Add(site.Naming{Version: version, NamedAt: now, UnnamedAt: l.contact})
	}
	l.contact = now
}

func (l *learner) named() uint64 {
	if len(l.namings) == 0 {
		return 1
	}
	return l.namings[len(l.namings)-1].Version
}

// TestSuccessiveVersions guards against freeing a part that a gateway may still let an engine fetch, whichever of several versions that are named one
// after the other each gateway has learned of, and against parts that are never freed.
func TestSuccessiveVersions(t *testing.T) {
	const step = 250 * time.Millisecond
	lifetimes := tiering.Lifetimes{Longest: 16 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		var namedAt []time.Duration // of versions 2, 3 and so on
		at := time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "versions") {
			namedAt = append(namedAt, at)
			at += time.Duration(rapid.IntRange(1, 80).Draw(t, "pause")) * step
		}
		id, part := fmt.Sprint("part", rapid.IntRange(0, 50).Draw(t, "part")), uint64(rapid.IntRange(1, len(namedAt)).Draw(t, "version of the part"))
		user, freer := &learner{contact: -step}, &learner{contact: -step}
		lastFetch := time.Duration(-1)
		for now := time.Duration(0); now < at+time.Minute; now += step {
			version := uint64(1 + len(slices.DeleteFunc(slices.Clone(namedAt), func(named time.Duration) bool { return named > now })))
			for _, l := range []*learner{user, freer} {
				if rapid.IntRange(0, 9).Draw(t, "contact") == 0 || now > at {
					l.learn(version, now)
				}
			}
			if lifetimes.MayUsePart(part, user.named(), id, now-user.contact, user.namings.MaxReplacedFor(part, now)) {
				lastFetch = now
			}
			retired := lifetimes.Retired(part, freer.named(), id, freer.namings.MinReplacedFor(part, now))
			if retired && lastFetch >= 0 && now <= lastFetch+tiering.TransferTimeout {
				t.Fatalf("part of version %d is freed at %v, fetched from %v on; versions named at %v; known: %v and %v", part, now, lastFetch, namedAt, user.namings, freer.namings)
			}
			if now >= at+time.Minute-step && !retired {
				t.Fatalf("part of version %d is not freed; versions named at %v", part, namedAt)
			}
		}
	})
}
