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

// TestRestartReadsAllSegments guards against an owner that knows the last segment only: it would run older orders again.
func TestRestartReadsAllSegments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &site{t: t, preferred: "A"}
		defer s.close()
		s.service.pad = 3000
		o, stop := s.owner("A")
		synctest.Wait()
		for i := range 20 {
			is.Equal(brief(o.Execute(context.Background(), order(fmt.Sprint(i), "")))[:3], "201")
		}
		stop()
		is.True(len(s.platform.Store.List(claim.ObjectKind, claim.Prefix("Orders", 0))) >= 4)
		o, _ = s.owner("A")
		synctest.Wait()
		for i := range 20 {
			got := brief(o.Execute(context.Background(), order(fmt.Sprint(i), "")))
			is.Equal(got[:len("replayed 201")], "replayed 201")
			is.Equal(s.service.count(fmt.Sprint(i)), 1)
		}
	})
}

// TestStaleOwnerTakesTheShardAgain guards against an owner that slept for longer than the retention, right after it
// sealed a segment. The segment that it would create next was created by its successor and has expired since, so the
// creation would succeed and fence nobody.
func TestStaleOwnerTakesTheShardAgain(t *testing.T) {
	t.Run("idle", func(t *testing.T) { testStaleOwner(t, false) })
	t.Run("with a record that waits", func(t *testing.T) { testStaleOwner(t, true) })
}

func testStaleOwner(t *testing.T, waiting bool) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		s := &site{t: t, preferred: "A"}
		defer s.close()
		retention := func(o *Owner) { o.Retention = time.Hour }
		a, _ := s.owner("A", retention)
		synctest.Wait()
		a.Execute(ctx, order("first", ""))
		time.Sleep(time.Second) // nothing is pending

		shard := a.shardsOf("Orders")[0]
		shard.mu.Lock()
		sealed := shard.tail
		sealed.Segment.Sealed = true
		value, err := sealed.Segment.Encode()
		is.NoErr(err)
		sealed.Version, err = s.platform.Store.Put(platform.Object{Kind: claim.ObjectKind,
			Name: claim.Name("Orders", 0, sealed.Number), Version: sealed.Version, Value: value})
		is.NoErr(err)
		shard.advance(sealed, nil, time.Now())
		shard.mu.Unlock()

		s.prefer("B")
		b, _ := s.owner("B", retention)
		synctest.Wait()
		s.service.pad = 4000
		for i := range 10 {
			b.Execute(ctx, order(fmt.Sprint(i), ""))
		}
		time.Sleep(2 * time.Hour) // the successor deletes what expired
		_, err = s.platform.Store.Get(claim.ObjectKind, claim.Name("Orders", 0, sealed.Number+1))
		is.True(err != nil)
		b.Execute(ctx, order("k", "one"))
		time.Sleep(time.Second) // the result is recorded after the caller got it
		s.prefer("A")
		if waiting {
			r := claim.NewClaim(claim.KeyOf("Org1", "earlier"), claim.Digest{}, claim.Nonce{Incarnation: 1, Sequence: 99}, time.Now())
			shard.mu.Lock()
			shard.pending = append(shard.pending, pending{record: r.Abandon(time.Now())})
			shard.mu.Unlock()
		}
		is.Equal(brief(a.Execute(ctx, order("k", "one")))[:len("replayed 201 k run 1")], "replayed 201 k run 1")
		is.Equal(s.service.count("k"), 1)
		is.Equal(brief(a.Execute(ctx, order("first", "")))[:len("201 first run 2")], "201 first run 2") // forgotten
	})
}
