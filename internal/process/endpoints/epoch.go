package endpoints

import (
	"context"
	"encoding/json"
	"math"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/process/platform"
)

// Kind is the kind of the objects.
const Kind = "Endpoints"

// Endpoint is the value of an object.
type Endpoint struct {
	// Epoch is the fencing token of the agent that started last, counted from 1.
	Epoch uint64
	// Incarnation identifies the start that raised the epoch.
	Incarnation uint64
}

// Platform is the part of the platform's API that the package uses.
type Platform interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, obj platform.Object) (uint64, error)
}

// RaiseEpoch raises the epoch of an endpoint and returns it. The epoch is higher than that of every earlier call and
// belongs to this incarnation alone, which must be a random number that is drawn at each start and is not 0. It tries
// until ctx is done; another error means that the object is malformed.
func RaiseEpoch(ctx context.Context, p Platform, name string, incarnation uint64) (epoch uint64, err error) {
	defer func() { err = errors.Wrapf(err, "raise epoch of endpoint %s", name) }()
	if incarnation == 0 {
		return 0, errors.New("no incarnation")
	}
	var backoff platform.Backoff
	for {
		epoch, err = raise(ctx, p, name, incarnation)
		if err == nil || !platform.Retryable(err) {
			return epoch, err
		}
		backoff.Wait(ctx, nil)
		if ctx.Err() != nil {
			return 0, errors.CombineErrors(ctx.Err(), err)
		}
	}
}

// raise reads the object and raises its epoch once. If an earlier write of the same incarnation had its reply lost, the
// object shows it; if it arrives only later, it carries the same epoch on the same version, so one of both writes fails
// and the next reading finds the other.
func raise(ctx context.Context, p Platform, name string, incarnation uint64) (epoch uint64, err error) {
	obj, err := p.Get(ctx, Kind, name)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		obj = platform.Object{Kind: Kind, Name: name}
	case err != nil:
		return 0, err
	}
	var e Endpoint
	if obj.Version > 0 {
		if err = json.Unmarshal(obj.Value, &e); err != nil {
			return 0, err
		}
	}
	if e.Incarnation == incarnation {
		return e.Epoch, nil
	}
	if e.Epoch == math.MaxUint64 {
		return 0, errors.New("epoch is exhausted")
	}
	e = Endpoint{Epoch: e.Epoch + 1, Incarnation: incarnation}
	if obj.Value, err = json.Marshal(e); err != nil {
		return 0, err
	}
	_, err = p.Put(ctx, obj)
	return e.Epoch, err
}
