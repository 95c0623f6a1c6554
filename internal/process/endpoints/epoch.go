package endpoints

import (
	"context"
	"encoding/json"
	"math"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/process/platform"
)

// Kind is the kind of the endpoints' objects in the platform.
const Kind = "Endpoints"

// Endpoint is the value of an endpoint's object.
type Endpoint struct {
	// Epoch is the fencing token of the agent that started last. The first one is 1.
	Epoch uint64
	// Incarnation identifies the start of the agent that raised the epoch.
	Incarnation uint64
}

// Platform is the part of the platform's API that the package uses.
type Platform interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, obj platform.Object) (uint64, error)
}

// RaiseEpoch raises the epoch of an endpoint and returns it. The epoch is higher than that of every earlier call with another
// incarnation and is used by this incarnation only. The incarnation must be a random number other than 0, chosen at each start;
// 0 is an error. RaiseEpoch retries until ctx is done. It also fails if the object is malformed, the epochs are exhausted, or
// the platform reports an error that is not retryable.
func RaiseEpoch(ctx context.Context, p Platform, name string, incarnation uint64) (epoch uint64, err error) {
	defer func() { err = errors.Wrapf(err, "raise epoch of endpoint %s", name) }()
	if incarnation == 0 {
		return 0, errors.New("incarnation is 0")
	}
	var backoff platform.Backoff
	for {
		epoch, err = tryRaise(ctx, p, name, incarnation)
		if err == nil || !platform.Retryable(err) {
			return epoch, err
		}
		backoff.Wait(ctx, nil)
		if ctx.Err() != nil {
			return 0, errors.CombineErrors(ctx.Err(), err)
		}
	}
}

// tryRaise reads the object and raises its epoch once. If the response to an earlier write of the same incarnation was lost, the
// object already contains that incarnation. If the earlier write takes effect only after this read, both writes have the same
// epoch and expect the same object version, so only one of them takes effect. If it is the earlier one, the later one fails and
// the next attempt finds the epoch in the object.
func tryRaise(ctx context.Context, p Platform, name string, incarnation uint64) (epoch uint64, err error) {
	obj, err := p.Get(ctx, Kind, name)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		obj = platform.Object{Kind: Kind, Name: name}
	case err != nil:
		return 0, err
	}
	var value Endpoint
	if obj.Version > 0 {
		if err = json.Unmarshal(obj.Value, &value); err != nil {
			return 0, err
		}
	}
	if value.Incarnation == incarnation {
		return value.Epoch, nil
	}
	if value.Epoch == math.MaxUint64 {
		return 0, errors.New("epoch is exhausted")
	}
	value = Endpoint{Epoch: value.Epoch + 1, Incarnation: incarnation}
	if obj.Value, err = json.Marshal(value); err != nil {
		return 0, err
	}
	_, err = p.Put(ctx, obj)
	return value.Epoch, err
}
