package agent

import (
	"context"
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/endpoints"
	"primrosecourse/internal/process/loadpermits"
)

// epochLogDelay is the time after which an epoch that is still not raised is logged; a healthy platform answers in
// milliseconds.
const epochLogDelay = 500 * time.Millisecond

// raiseEpoch raises the epoch, the fencing token of orders, once for this start of the agent, and retries while the
// platform is down. Until it succeeds, the agent serves prompts but sends no orders.
func (a *Agent) raiseEpoch(ctx context.Context) {
	slow := time.AfterFunc(epochLogDelay, func() { event.Info(a.Log, event.EpochNotRaised) })
	defer slow.Stop()
	epoch, err := endpoints.RaiseEpoch(ctx, a.Platform, a.Name, a.Incarnation)
	if err != nil {
		if ctx.Err() == nil {
			event.Error(a.Log, err, event.EpochNotRaised)
		}
		return
	}
	a.epoch = epoch
	close(a.epochRaised)
	event.Info(a.Log, event.EpochRaised, "Epoch", epoch)
	notify(a.recheck)
}

// sitePermits implements Permits with the load permits of the site.
type sitePermits struct{ loadpermits.Permits }

// releaseTimeout bounds the release of a permit; a permit that is not released expires.
const releaseTimeout = 2 * time.Second

// Acquire implements Permits.
func (p *sitePermits) Acquire(ctx context.Context) (release func(), err error) {
	permit, err := p.Permits.Acquire(ctx)
	if err != nil {
		return nil, err
	}
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		_ = permit.Release(ctx)
	}, nil
}

// acquireLoadPermit waits for a load permit. If a read from the platform fails meanwhile, the load starts without one:
// concurrent loads are only slower, while an endpoint without weights would serve nothing for the whole outage.
func (a *Agent) acquireLoadPermit(ctx context.Context) (release func(), err error) {
	waitCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		release, err = a.Permits.Acquire(waitCtx)
	}()
	for {
		select {
		case <-done:
			return release, err
		case <-time.After(a.PermitPatience):
		}
		if ctx.Err() != nil || a.platformReachable(ctx) {
			continue
		}
		stop()
		<-done
		if err != nil && ctx.Err() == nil {
			event.Info(a.Log, event.LoadPermitMissing)
			return func() {}, nil
		}
		return release, err
	}
}

func (a *Agent) platformReachable(ctx context.Context) bool {
	if a.Platform == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, a.PermitPatience)
	defer cancel()
	_, err := a.Platform.List(ctx, loadpermits.Kind, "")
	return err == nil
}
