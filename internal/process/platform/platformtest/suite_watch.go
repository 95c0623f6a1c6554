package platformtest

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/standin/fault"
)

func testWatchOrder(ctx context.Context, is *is.I, p Target) {
	first, err := p.API.Put(ctx, object("A", 0, "one"))
	is.NoErr(err)
	_, err = p.API.Put(ctx, platform.Object{Kind: "Other", Name: "A"})
	is.NoErr(err)
	second, err := p.API.Put(ctx, object("A", first, "two"))
	is.NoErr(err)
	is.NoErr(p.API.Delete(ctx, "Kind", "A", second))
	events, revision, err := p.API.Watch(ctx, "Kind", 0, time.Second)
	is.NoErr(err)
	is.Equal(len(events), 3)
	is.Equal(string(events[0].Object.Value), "one")
	is.Equal(events[1].Object.Version, second)
	is.True(events[0].Revision < events[1].Revision && events[1].Revision < events[2].Revision)
	is.True(events[2].Deleted)
	is.True(revision >= events[2].Revision)
	events, nextRevision, err := p.API.Watch(ctx, "Kind", revision, 0)
	is.NoErr(err)
	is.Equal(len(events), 0)
	is.Equal(nextRevision, revision)
	events, _, err = p.API.Watch(ctx, "Kind", first, 0)
	is.NoErr(err)
	is.Equal(len(events), 2)
}

func testWatchWait(ctx context.Context, is *is.I, p Target) {
	_, revision, err := p.API.Watch(ctx, "Kind", 0, 0)
	is.NoErr(err)
	type result struct {
		events []platform.Event
		err    error
	}
	done := make(chan result, 1)
	go func() {
		events, _, err := p.API.Watch(ctx, "Kind", revision, 20*time.Second)
		done <- result{events, err}
	}()
	_, err = p.API.Put(ctx, platform.Object{Kind: "Other", Name: "A"})
	is.NoErr(err)
	_, err = p.API.Put(ctx, object("A", 0, "one"))
	is.NoErr(err)
	got := <-done
	is.NoErr(got.err)
	is.Equal(len(got.events), 1)
	is.Equal(got.events[0].Object.Name, "A")
}

func testWatchGap(ctx context.Context, is *is.I, p Target) {
	version := uint64(0)
	for range p.Window + 2 {
		var err error
		version, err = p.API.Put(ctx, object("A", version, "x"))
		is.NoErr(err)
	}
	_, revision, err := p.API.Watch(ctx, "Kind", 1, 0)
	is.True(errors.Is(err, platform.ErrWatchGap))
	_, nextRevision, err := p.API.Watch(ctx, "Kind", revision, 0)
	is.NoErr(err)
	is.Equal(nextRevision, revision)
	_, _, err = p.API.Watch(ctx, "Kind", revision+1000, 0)
	is.True(errors.Is(err, platform.ErrWatchGap))
	p.Faults.Set(fault.Rule{Kind: fault.WatchGap, Route: "/watch/Kind", Count: 1})
	_, nextRevision, err = p.API.Watch(ctx, "Kind", revision, 0)
	is.True(errors.Is(err, platform.ErrWatchGap))
	is.Equal(nextRevision, revision)
}

func testFailures(ctx context.Context, is *is.I, p Target) {
	for _, c := range []struct {
		name   string
		rule   fault.Rule
		read   error
		write  error
		effect bool
	}{
		{"outage", fault.Rule{Kind: fault.Outage}, platform.ErrUnavailable, platform.ErrUnavailable, false},
		{"rate limit", fault.Rule{Kind: fault.RateLimit}, platform.ErrRateLimited, platform.ErrRateLimited, false},
		{"reply lost", fault.Rule{Kind: fault.ReplyLost}, platform.ErrUnavailable, platform.ErrUncertain, true},
		{"connection closed", fault.Rule{Kind: fault.Refuse}, platform.ErrUnavailable, platform.ErrUncertain, false},
	} {
		id := p.Faults.Set(c.rule)
		_, err := p.API.Get(ctx, "Kind", c.name)
		is.True(errors.Is(err, c.read)) // read
		is.True(!errors.Is(err, platform.ErrUncertain))
		_, err = p.API.List(ctx, "Kind", "")
		is.True(errors.Is(err, c.read)) // list
		_, err = p.API.Put(ctx, object(c.name, 0, "x"))
		is.True(errors.Is(err, c.write)) // write
		is.Equal(errors.Is(err, platform.ErrUnavailable), c.write == platform.ErrUnavailable)
		p.Faults.Clear(id)
		obj, err := p.API.Get(ctx, "Kind", c.name)
		is.Equal(err == nil, c.effect) // effect of the write
		if !c.effect {
			continue
		}
		p.Faults.Set(fault.Rule{Kind: c.rule.Kind, Method: "DELETE", Count: 1})
		err = p.API.Delete(ctx, "Kind", c.name, obj.Version)
		is.True(errors.Is(err, c.write))
		_, err = p.API.Get(ctx, "Kind", c.name)
		is.True(errors.Is(err, platform.ErrNotFound))
	}
}

func testHang(ctx context.Context, is *is.I, p Target) {
	p.Faults.Set(fault.Rule{Kind: fault.Pause})
	shortCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, err := p.API.Put(shortCtx, object("A", 0, "x"))
	is.True(errors.Is(err, platform.ErrUncertain))
	is.True(errors.Is(err, context.DeadlineExceeded))
	_, err = p.API.Get(shortCtx, "Kind", "A")
	is.True(errors.Is(err, platform.ErrUnavailable))
	p.Faults.ClearAll()
	_, err = p.API.Instances(ctx)
	is.NoErr(err)
}
