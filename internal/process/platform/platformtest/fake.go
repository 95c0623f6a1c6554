package platformtest

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/standin/fault"
	standin "primrosecourse/internal/standin/platform"
)

// Fake is an in-memory platform. The zero value is empty and ready to use. It starts no goroutines and can be used with
// testing/synctest.
type Fake struct {
	Store standin.Store
	// Faults contains the faults that are injected into calls. A write that is suspended by Pause or Delay when its context
	// ends has no effect.
	Faults fault.Hook
}

// Get implements API.
func (f *Fake) Get(ctx context.Context, kind, name string) (obj platform.Object, err error) {
	if _, err = f.beforeCall(ctx, http.MethodGet, "/objects/"+kind+"/"+name); err != nil {
		return platform.Object{}, err
	}
	return f.Store.Get(kind, name)
}

// Put implements API.
func (f *Fake) Put(ctx context.Context, obj platform.Object) (version uint64, err error) {
	rule, err := f.beforeCall(ctx, http.MethodPut, "/objects/"+obj.Kind+"/"+obj.Name)
	if err != nil {
		return 0, err
	}
	version, err = f.Store.Put(obj)
	if rule.Kind == fault.ReplyLost {
		return 0, platform.ErrUncertain
	}
	return version, err
}

// Delete implements API.
func (f *Fake) Delete(ctx context.Context, kind, name string, version uint64) error {
	rule, err := f.beforeCall(ctx, http.MethodDelete, "/objects/"+kind+"/"+name)
	if err != nil {
		return err
	}
	err = f.Store.Delete(kind, name, version)
	if rule.Kind == fault.ReplyLost {
		return platform.ErrUncertain
	}
	return err
}

// List implements API.
func (f *Fake) List(ctx context.Context, kind, prefix string) ([]platform.Object, error) {
	if _, err := f.beforeCall(ctx, http.MethodGet, "/objects/"+kind); err != nil {
		return nil, err
	}
	return f.Store.List(kind, prefix), nil
}

// Watch implements API.
func (f *Fake) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (
	[]platform.Event, uint64, error,
) {
	path := "/watch/" + kind
	rule, err := f.beforeCall(ctx, http.MethodGet, path)
	if err != nil {
		return nil, 0, err
	}
	if rule.Kind == fault.WatchGap {
		return nil, f.Store.Revision(), platform.ErrWatchGap
	}
	events, revision, err := f.Store.Watch(ctx, kind, after, wait)
	if err == nil && f.Faults.Active(fault.Outage, http.MethodGet, path) {
		return nil, 0, platform.ErrUnavailable
	}
	return events, revision, err
}

// Instances implements API.
func (f *Fake) Instances(ctx context.Context) ([]platform.Instance, error) {
	if _, err := f.beforeCall(ctx, http.MethodGet, "/instances"); err != nil {
		return nil, err
	}
	return f.Store.Instances(), nil
}

// beforeCall applies the fault rule of a call. A failed read had no effect, so its outcome is never uncertain.
func (f *Fake) beforeCall(ctx context.Context, method, path string) (fault.Rule, error) {
	if err := ctx.Err(); err != nil {
		return fault.Rule{}, errors.Mark(err, platform.ErrUnavailable)
	}
	lostErr := platform.ErrUncertain
	if method == http.MethodGet {
		lostErr = platform.ErrUnavailable
	}
	rule, err := f.Faults.Before(ctx, method, path)
	if err != nil {
		return rule, errors.Mark(err, lostErr)
	}
	switch rule.Kind {
	case fault.Outage:
		return rule, platform.ErrUnavailable
	case fault.RateLimit:
		return rule, platform.ErrRateLimited
	case fault.Refuse:
		return rule, lostErr
	case fault.ReplyLost:
		if method == http.MethodGet {
			return rule, lostErr
		}
	}
	return rule, nil
}
