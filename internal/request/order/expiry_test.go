package order

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/process/platform"
	"primrosecourse/pkg/claim"
)

// TestRestartReadsAllSegments guards against an owner that reads only the last segment at start and so runs orders of
// earlier segments again.
func TestRestartReadsAllSegments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fixture{t: t, preferred: "A"}
		defer f.close()
		f.service.padding = 3000
		o, stop := f.startOwner("A")
		synctest.Wait()
		for i := range 20 {
			is.Equal(summary(o.Execute(context.Background(), newOrder(fmt.Sprint(i), "")))[:3], "201")
		}
		stop()
		is.True(len(f.platform.Store.List(claim.ObjectKind, claim.Prefix("Orders", 0))) >= 4)
		o, _ = f.startOwner("A")
		synctest.Wait()
		for i := range 20 {
			got := summary(o.Execute(context.Background(), newOrder(fmt.Sprint(i), "")))
			is.Equal(got[:len("replayed 201")], "replayed 201")
			is.Equal(f.service.runCount(fmt.Sprint(i)), 1)
		}
	})
}

// TestStaleOwnerRepeatsTakeover guards against a stale owner that runs an order again. The owner is idle for longer
// than the retention, right after it sealed a segment. Meanwhile its successor created the next segment, which then
// expired. If the stale owner created that segment again, the conditional update would succeed without fencing the
// successor.
func TestStaleOwnerRepeatsTakeover(t *testing.T) {
	t.Run("idle", func(t *testing.T) { testStaleOwner(t, false) })
	t.Run("with a pending record", func(t *testing.T) { testStaleOwner(t, true) })
}

func testStaleOwner(t *testing.T, withPending bool) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		f := &fixture{t: t, preferred: "A"}
		defer f.close()
		setRetention := func(o *Owner) { o.Retention = time.Hour }
		a, _ := f.startOwner("A", setRetention)
		synctest.Wait()
		a.Execute(ctx, newOrder("first", ""))
		time.Sleep(time.Second) // until nothing is pending

		shard := a.shardsOf("Orders")[0]
		shard.mu.Lock()
		sealed := shard.tail
		sealed.Segment.Sealed = true
		value, err := sealed.Segment.Encode()
		is.NoErr(err)
		sealed.Version, err = f.platform.Store.Put(platform.Object{Kind: claim.ObjectKind,
			Name: claim.Name("Orders", 0, sealed.Number), Version: sealed.Version, Value: value})
		is.NoErr(err)
		shard.advance(sealed, nil, time.Now())
		shard.mu.Unlock()

		f.setPreferred("B")
		b, _ := f.startOwner("B", setRetention)
		synctest.Wait()
		f.service.padding = 4000
		for i := range 10 {
			b.Execute(ctx, newOrder(fmt.Sprint(i), ""))
		}
		time.Sleep(2 * time.Hour) // the successor deletes expired segments
		_, err = f.platform.Store.Get(claim.ObjectKind, claim.Name("Orders", 0, sealed.Number+1))
		is.True(err != nil)
		b.Execute(ctx, newOrder("k", "one"))
		time.Sleep(time.Second) // the Completed record is written after the caller gets the response
		f.setPreferred("A")
		if withPending {
			r := claim.NewClaim(claim.KeyOf("Org1", "earlier"), claim.Digest{}, claim.Nonce{Incarnation: 1, Sequence: 99}, time.Now())
			shard.mu.Lock()
			shard.pending = append(shard.pending, pendingRecord{record: r.Abandon(time.Now())})
			shard.mu.Unlock()
		}
		is.Equal(summary(a.Execute(ctx, newOrder("k", "one")))[:len("replayed 201 k run 1")], "replayed 201 k run 1")
		is.Equal(f.service.runCount("k"), 1)
		is.Equal(summary(a.Execute(ctx, newOrder("first", "")))[:len("201 first run 2")], "201 first run 2") // record expired
	})
}
