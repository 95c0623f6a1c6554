package tiering_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/tiering"
)

// TestSlowLink plays a store whose link turns slow and sound again, beside sound ones and busy engines, seen by four gateways that tell
// each other: the slow one is found within a second and tried again after it, and no other is avoided.
func TestSlowLink(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	gateways := make([]*tiering.Links, 4)
	for i := range gateways {
		gateways[i] = &tiering.Links{}
	}
	names := []string{"g0", "g1", "g2", "g3"}
	found, avoided := time.Duration(0), map[string]int{}
	for n := range 400 { // 40 fetches a second over four stores, for 10 s; store s0 is slow from 2 to 6 s
		now = now.Add(25 * time.Millisecond)
		at := time.Duration(n) * 25 * time.Millisecond
		g := gateways[n%4]
		store := []string{"s0", "s1", "s2", "s3"}[(n/4)%4]
		slow := store == "s0" && at >= 2*time.Second && at < 6*time.Second
		busy := time.Duration(n%7) * 20 * time.Millisecond // what the load of the engines adds to each
		delays := g.Delays(now)
		for s := range delays {
			avoided[s]++
		}
		if delays["s0"] > 0 && found == 0 {
			found = at
		}
		if delays[store] == 0 {
			late := busy
			if slow {
				late += 400 * time.Millisecond
			}
			g.Observe(now, store, late)
		}
		g.Observe(now, tiering.NoFetch, busy)
		if n%8 == 0 {
			for i, from := range gateways {
				for j, to := range gateways {
					if i != j {
						to.SetPeer(now, names[i], from.Reports(now, nil))
					}
				}
			}
		}
	}
	is.True(found >= 2*time.Second && found <= 3*time.Second)
	is.True(avoided["s0"] > 0)
	is.Equal(avoided["s1"]+avoided["s2"]+avoided["s3"], 0)
	is.Equal(len(gateways[0].Delays(now)), 0) // sound again since 6 s
}

// TestOverloadIsNoSlowLink guards against avoiding all stores while the engines are overloaded: long prompts, which are fetched, wait
// longer than short ones, which are not.
func TestOverloadIsNoSlowLink(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	links := &tiering.Links{}
	for n := range 200 {
		now = now.Add(10 * time.Millisecond)
		links.Observe(now, []string{"s0", "s1", "s2", "s3"}[n%4], 900*time.Millisecond+time.Duration(n%5)*50*time.Millisecond)
		links.Observe(now, tiering.NoFetch, 30*time.Millisecond)
	}
	is.Equal(len(links.Delays(now)), 0)
}

// TestWorthwhile guards against reading what comes sooner by a fetch, and against waiting for a fetch that takes much longer than reading.
func TestWorthwhile(t *testing.T) {
	is := is.New(t)
	store := &tiering.Store{Name: "s", BitsPerSecond: 67e9, FirstByte: time.Millisecond}
	part := tiering.Part{ID: "p", Tokens: 12800} // 226 ms to read, 29 ms to fetch
	is.True(tiering.Worthwhile(part, store, 18432, 56_600, 0))
	is.True(tiering.Worthwhile(part, store, 18432, 56_600, 150*time.Millisecond))
	is.True(!tiering.Worthwhile(part, store, 18432, 56_600, 450*time.Millisecond))
	is.True(!tiering.Worthwhile(tiering.Part{ID: "q", Tokens: 1000}, store, 18432, 56_600, 100*time.Millisecond))
}
