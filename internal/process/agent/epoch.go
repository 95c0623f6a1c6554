package agent

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/platform"
)

// EndpointsKind is the kind of the objects that hold the epochs of endpoints; they are named as the endpoints.
const EndpointsKind = "Endpoints"

// endpointObject is the value of an object of EndpointsKind.
type endpointObject struct {
	// Epoch is the fencing number of the latest agent, and Incarnation that agent's.
	Epoch       uint64
	Incarnation uint64
}

// raiseEpoch raises the fencing number for this start of the agent, for as long as it takes. In an outage of the
// platform the agent serves prompts without, and gives no orders.
func (a *Agent) raiseEpoch(ctx context.Context) {
	for wait := 50 * time.Millisecond; ; wait = min(2*wait, 5*time.Second) {
		epoch, err := a.tryRaise(ctx)
		if err == nil {
			a.epoch = epoch
			close(a.epochOK)
			event.Info(a.Log, event.EpochRaised, "Epoch", epoch)
			tell(a.recheck)
			return
		}
		if ctx.Err() != nil {
			return
		}
		event.Error(a.Log, err, event.EpochNotRaised)
		pause(ctx, wait/2+rand.N(wait))
	}
}

// tryRaise is one attempt. After a write whose outcome is unknown, the next attempt finds out by the incarnation.
func (a *Agent) tryRaise(ctx context.Context) (epoch uint64, err error) {
	defer func() { err = errors.Wrap(err, "raise epoch") }()
	object, err := a.Platform.Get(ctx, EndpointsKind, a.Name)
	if errors.Is(err, platform.ErrNotFound) {
		object, err = platform.Object{Kind: EndpointsKind, Name: a.Name}, nil
	}
	if err != nil {
		return 0, err
	}
	var value endpointObject
	if len(object.Value) > 0 {
		if err = json.Unmarshal(object.Value, &value); err != nil {
			return 0, err
		}
	}
	if value.Incarnation == a.Incarnation {
		return value.Epoch, nil
	}
	value = endpointObject{Epoch: value.Epoch + 1, Incarnation: a.Incarnation}
	if object.Value, err = json.Marshal(value); err != nil {
		return 0, err
	}
	_, err = a.Platform.Put(ctx, object)
	return value.Epoch, err
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
