package buildplan_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"primrosecourse/pkg/builds"
	"primrosecourse/pkg/site"
)

// TestTakeUpFromGatewayThatStopped guards against streams of a gateway that stopped after a calm minute, or is starting again, which are looked for
// at the build of the next plan, since its report is gone.
func TestTakeUpFromGatewayThatStopped(t *testing.T) {
	for _, c := range []struct {
		name string
		// again is how long after the stop the gateway starts again.
		again time.Duration
	}{{"for good", time.Hour}, {"starts again", 13 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlatformSim()
				for i := range 4 {
					p.list(fmt.Sprint("e", i), "old", site.Ready)
				}
				var gateways []*instance
				for i := range 3 {
					gateways = append(gateways, p.start(fmt.Sprint("g", i), uint64(i)))
				}
				time.Sleep(2 * time.Second)
				long := func(id uint64) builds.Stream {
					s := stream(id)
					s.Until = time.Now().Add(40 * time.Second)
					return s
				}
				_, _ = gateways[1].begin(long(1000), 0) // its report then covers streams of this length
				time.Sleep(2 * time.Minute)
				var streams []builds.Stream
				for id := range uint64(64) {
					s := long(id + 1)
					if build, ok := gateways[1].begin(s, 0); ok && build == "old" {
						streams = append(streams, s)
					}
				}
				p.end(gateways[1])
				start := time.Now()
				time.Sleep(min(c.again, 14*time.Second))
				if c.again < time.Minute {
					gateways[1] = p.start("g1", 3)
				}
				time.Sleep(time.Until(start.Add(15 * time.Second)))
				for i := range 4 {
					p.list(fmt.Sprint("new", i), "new", site.Ready)
					p.list(fmt.Sprint("e", i), "old", site.Draining)
				}
				time.Sleep(3 * time.Second)
				wrong := map[builds.Knowledge]int{}
				for _, g := range gateways {
					for _, s := range streams {
						if build, k, confirmed := g.takeUp(s); confirmed && build != "old" && (k == builds.Planned || k == builds.Reported || k == builds.Own) {
							wrong[k]++
						}
					}
				}
				if len(streams) < 64 || len(wrong) > 0 {
					t.Errorf("of %d streams that began at the old build, take-ups at the new one by knowledge: %v", len(streams), wrong)
				}
				for _, g := range gateways {
					g.stop()
				}
				p.tasks.Wait()
			})
		})
	}
}

// TestTakeUpFromGatewayThatReturned guards against streams of a gateway that was away and is back, which are looked for at the build of the next plan
// by a gateway that has not seen it return: it was cut off from the store itself, or has not listed the gateways since.
func TestTakeUpFromGatewayThatReturned(t *testing.T) {
	for _, c := range []struct {
		name string
		// before is for how long the other gateway sees that the gateway is away, cut whether it is then cut off.
		before time.Duration
		cut    bool
	}{{"cut off at once", 6 * time.Second, true}, {"cut off later", 20 * time.Second, true}, {"not listed yet", 20 * time.Second, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlatformSim()
				for i := range 4 {
					p.list(fmt.Sprint("e", i), "old", site.Ready)
				}
				var gateways []*instance
				for i := range 3 {
					gateways = append(gateways, p.start(fmt.Sprint("g", i), uint64(i)))
				}
				time.Sleep(5 * time.Second)
				p.end(gateways[1])
				time.Sleep(c.before)
				if c.cut {
					gateways[2].path.set(func() { gateways[2].path.condition = refusing })
					time.Sleep(10 * time.Second)
				}
				gateways[1] = p.start("g1", 3)
				time.Sleep(500 * time.Millisecond)
				var streams []builds.Stream
				for id := range uint64(64) {
					s := stream(id + 1)
					if build, ok := gateways[1].begin(s, 0); ok && build == "old" {
						streams = append(streams, s)
					}
				}
				p.kill(gateways[1])
				for i := range 4 {
					p.list(fmt.Sprint("new", i), "new", site.Ready)
					p.list(fmt.Sprint("e", i), "old", site.Draining)
				}
				time.Sleep(500 * time.Millisecond)
				gateways[2].path.set(func() { gateways[2].path.condition = reachable })
				wrong := make(chan builds.Knowledge, len(streams))
				for _, s := range streams {
					p.tasks.Go(func() {
						for range 10 {
							if build, k, confirmed := gateways[2].takeUp(s); confirmed && build == "new" && time.Now().Before(s.Until) {
								wrong <- k
								return
							}
							time.Sleep(100 * time.Millisecond)
						}
					})
				}
				time.Sleep(10 * time.Second)
				for _, g := range gateways {
					g.stop()
				}
				p.tasks.Wait()
				if len(streams) < 64 || len(wrong) > 0 {
					t.Errorf("of %d streams that began at the old build, %d were taken up at the new one", len(streams), len(wrong))
				}
			})
		})
	}
}
