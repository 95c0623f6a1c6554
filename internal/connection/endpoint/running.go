package endpoint

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// rebootPause is the time between two questions to an endpoint that accepts connections and does not respond: the first one may have reached
// it while it ended.
const rebootPause = 20 * time.Millisecond

// Running returns nil if an endpoint runs, as far as it tells, and is the incarnation that started at the given time, zero for any. The
// endpoint is asked on a connection of its own; one that responds in another way, or resets the connection twice, counts as running.
func (p *Pool) Running(ctx context.Context, t Target, startedAt time.Time) (err error) {
	defer func() { err = errors.Wrapf(err, "endpoint %s at %s is not known to run", t.ID, t.Address) }()
	if p.Identity == nil {
		return nil
	}
	k := key{id: t.ID, addr: t.Address}
	for last := false; ; last = true {
		stated, err := p.askElsewhere(ctx, t, k)
		switch {
		case err == nil && !startedAt.IsZero() && !stated.IsZero() && !stated.Equal(startedAt):
			return &IncarnationError{Wanted: startedAt, StartedAt: stated}
		case err == nil:
			return nil
		case errors.Is(err, errNotConnected), errors.Is(err, ErrOtherEndpoint), errors.Is(err, context.DeadlineExceeded), ctx.Err() != nil:
			return err
		case last:
			return nil
		}
		timer := time.NewTimer(rebootPause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}
