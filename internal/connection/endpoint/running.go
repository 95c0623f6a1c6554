package endpoint

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// repeatPause is the time between two questions to an endpoint that accepts connections and does not respond: the first one may have reached
// it while it ended.
const repeatPause = 20 * time.Millisecond

// Running returns nil if an endpoint runs, as far as it tells, and when it started, zero if it does not state that. The endpoint is asked on a
// connection of its own. One that responds in another way, or resets or closes the connection twice, counts as running. One that accepts the
// connection and sends nothing is asked again until ctx is done.
func (p *Pool) Running(ctx context.Context, t Target) (startedAt time.Time, err error) {
	defer func() { err = errors.Wrapf(err, "endpoint %s at %s is not known to run", t.ID, t.Address) }()
	if p.Identity == nil {
		return startedAt, nil
	}
	last := false
	for {
		startedAt, err = p.askElsewhere(ctx, t, key{id: t.ID, addr: t.Address})
		switch {
		case err == nil:
			return startedAt, nil
		case errors.Is(err, ErrOtherEndpoint), ctx.Err() != nil, errors.Is(err, errNotConnected) && !errors.Is(err, syscall.ECONNRESET):
			return startedAt, err
		case errors.Is(err, context.DeadlineExceeded):
			last = false
			continue
		case last:
			return time.Time{}, nil
		}
		timer := time.NewTimer(repeatPause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		last = true
	}
}
