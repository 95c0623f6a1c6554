package agent

import (
	"context"
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/endpoints"
	"primrosecourse/internal/process/loadpermits"
)

// epochSlow is how long the epoch may take before it is logged; a healthy platform answers in milliseconds.
const epochSlow = 500 * time.Millisecond

// raiseEpoch raises the fencing number for this start of the agent, for as long as it takes. In an outage of the
// platform the agent serves prompts without it, and gives no orders.
func (a *Agent) raiseEpoch(ctx context.Context) {
	slow := time.AfterFunc(epochSlow, func() { event.Info(a.Log, event.EpochNotRaised) })
	defer slow.Stop()
	epoch, err := endpoints.RaiseEpoch(ctx, a.Platform, a.Name, a.Incarnation)
	if err != nil {
		if ctx.Err() == nil {
			event.Error(a.Log, err, event.EpochNotRaised)
		}
		return
	}
	a.epoch = epoch
	close(a.epochOK)
	event.Info(a.Log, event.EpochRaised, "Epoch", epoch)
	tell(a.recheck)
}

// sitePermits are the load permits of the site.
type sitePermits struct{ loadpermits.Permits }

// releaseTimeout bounds giving a permit back; it expires anyway.
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

// permit waits for a load permit. If the platform does not answer meanwhile, the load goes on without one: loads that
// run beside each other are only slower, while an endpoint without its weights serves nothing for the whole outage.
func (a *Agent) permit(ctx context.Context) (release func(), err error) {
	waiting, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		release, err = a.Permits.Acquire(waiting)
	}()
	for {
		select {
		case <-done:
			return release, err
		case <-time.After(a.PermitPatience):
		}
		if ctx.Err() != nil || a.platformAnswers(ctx) {
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

func (a *Agent) platformAnswers(ctx context.Context) bool {
	if a.Platform == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, a.PermitPatience)
	defer cancel()
	_, err := a.Platform.List(ctx, loadpermits.Kind, "")
	return err == nil
}
