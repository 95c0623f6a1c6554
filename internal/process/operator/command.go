package operator

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"primrosecourse/pkg/settings"
)

// Files names the settings files of a command: the base and, if not empty, the overlay of a site.
type Files struct{ Base, Overlay string }

// loadFiles reads the settings files. Failure domains keep the ReturnedAt that they have in current, and failure
// domains and endpoints keep their State in current unless a file sets it. The problems of the files are stored in r.
func loadFiles(r *Report, current settings.Deployment, files Files) (settings.Deployment, error) {
	d, err := settings.LoadUpdate(current, files.Base, files.Overlay)
	if errors.As(err, &r.Problems) {
		err = errors.Newf("%d problems in the settings", len(r.Problems))
	}
	return d, mark(err, ErrRejected)
}

// Check reports the problems of settings files. It does not contact the platform.
func (o *Operator) Check(files Files) (r Report, err error) {
	d, err := loadFiles(&r, settings.Deployment{}, files)
	if err == nil {
		err = validate(d)
	}
	return r, err
}

// Diff reports what applying the files would change.
func (o *Operator) Diff(ctx context.Context, files Files) (Report, error) {
	return o.Apply(ctx, files, ApplyOptions{Options: Options{DryRun: true}})
}

// ApplyOptions are the options of Apply.
type ApplyOptions struct {
	Options
	// ChangeClaimShards permits a change of ClaimShards, the number of claim logs. The change is safe only before the first
	// order: an order whose key moves to another log could run again.
	ChangeClaimShards bool
}

// Apply accepts the configuration in the files. Failure domains and endpoints keep the state that earlier commands set,
// unless the files set it.
func (o *Operator) Apply(ctx context.Context, files Files, options ApplyOptions) (r Report, err error) {
	// The files are checked first, so that their problems are reported even if the platform does not respond.
	if _, err = loadFiles(&r, settings.Deployment{}, files); err != nil {
		return r, err
	}
	old, err := o.read(ctx)
	if err != nil {
		return r, err
	}
	next, err := loadFiles(&r, old.Accepted.Deployment, files)
	if err != nil {
		return r, err
	}
	o.markReturned(old.Accepted.Deployment, &next)
	before, after := old.Accepted.Deployment.Limits.ClaimShards, next.Limits.ClaimShards
	if old.Version != 0 && before != after && !options.ChangeClaimShards {
		r.Changes = settings.Diff(old.Accepted.Deployment, next)
		return r, mark(errors.Newf("ClaimShards would change from %d to %d, after which an order could run again; "+
			"before the first order, use -ChangeClaimShards", before, after), ErrRejected)
	}
	return o.change(ctx, old, next, options.Options)
}

// markReturned sets ReturnedAt of each failure domain that changes from Leaving to Active. Its share of the load ramps up
// from that time.
func (o *Operator) markReturned(old settings.Deployment, next *settings.Deployment) {
	leaving := map[string]bool{}
	for _, f := range old.FailureDomains {
		leaving[f.Name] = f.State == settings.Leaving
	}
	for i := range next.FailureDomains {
		if f := &next.FailureDomains[i]; leaving[f.Name] && f.State == settings.Active {
			f.ReturnedAt = o.now().UTC().Round(0)
		}
	}
}

// LeaveDomain takes a failure domain out of service: its agents refuse new work and finish the running requests.
func (o *Operator) LeaveDomain(ctx context.Context, name string, options Options) (Report, error) {
	return o.setDomainState(ctx, name, settings.Leaving, options)
}

// ReturnDomain returns a failure domain to service. Its share of the load grows over Limits.RampTime.
func (o *Operator) ReturnDomain(ctx context.Context, name string, options Options) (Report, error) {
	return o.setDomainState(ctx, name, settings.Active, options)
}

func (o *Operator) setDomainState(ctx context.Context, name string, state settings.TargetState, options Options) (
	Report, error,
) {
	return o.edit(ctx, options, func(old settings.Deployment, next *settings.Deployment) error {
		i := slices.IndexFunc(next.FailureDomains, func(f settings.FailureDomain) bool { return f.Name == name })
		if i < 0 {
			return unknownName("failure domain", name, names(next.FailureDomains,
				func(f settings.FailureDomain) string { return f.Name }))
		}
		next.FailureDomains[i].State = state
		o.markReturned(old, next)
		return nil
	})
}

// DrainEndpoint takes an endpoint out of service: its agent refuses new work and finishes the running requests.
func (o *Operator) DrainEndpoint(ctx context.Context, name string, options Options) (Report, error) {
	return o.setEndpointState(ctx, name, settings.Leaving, options)
}

// ReturnEndpoint returns an endpoint to service.
func (o *Operator) ReturnEndpoint(ctx context.Context, name string, options Options) (Report, error) {
	return o.setEndpointState(ctx, name, settings.Active, options)
}

func (o *Operator) setEndpointState(ctx context.Context, name string, state settings.TargetState, options Options) (
	Report, error,
) {
	return o.edit(ctx, options, func(_ settings.Deployment, next *settings.Deployment) error {
		i := slices.IndexFunc(next.Endpoints, func(e settings.Endpoint) bool { return e.Name == name })
		if i < 0 {
			return unknownName("endpoint", name, names(next.Endpoints, func(e settings.Endpoint) string { return e.Name }))
		}
		next.Endpoints[i].State = state
		return nil
	})
}

// SwapVersion changes the weight version of a model.
func (o *Operator) SwapVersion(ctx context.Context, model, version string, options Options) (Report, error) {
	return o.edit(ctx, options, func(_ settings.Deployment, next *settings.Deployment) error {
		i := slices.IndexFunc(next.Models, func(m settings.Model) bool { return m.Name == model })
		if i < 0 {
			return unknownName("model", model, names(next.Models, func(m settings.Model) string { return m.Name }))
		}
		next.Models[i].Version = version
		return nil
	})
}

// edit applies change to a copy of the accepted deployment and accepts the result.
func (o *Operator) edit(ctx context.Context, options Options,
	change func(old settings.Deployment, next *settings.Deployment) error,
) (Report, error) {
	old, err := o.readExisting(ctx)
	if err != nil {
		return Report{}, err
	}
	next := settings.Normalise(old.Accepted.Deployment)
	if err := change(old.Accepted.Deployment, &next); err != nil {
		return Report{Version: old.Version}, err
	}
	return o.change(ctx, old, next, options)
}

func names[T any](list []T, name func(T) string) []string {
	all := make([]string, len(list))
	for i, x := range list {
		all[i] = name(x)
	}
	return all
}

// unknownName returns the error for a name that is not in the configuration. It lists at most 20 of the known names, so
// that the message stays readable for a deployment of the full size.
func unknownName(kind, name string, known []string) error {
	const maxListed = 20
	text := strings.Join(known[:min(len(known), maxListed)], ", ")
	if len(known) > maxListed {
		text += ", ..."
	}
	return mark(errors.Newf("there is no %s %q; allowed: %s", kind, name, text), ErrRejected)
}

// Get returns the accepted configuration in Report.Deployment.
func (o *Operator) Get(ctx context.Context) (r Report, err error) {
	c, err := o.readExisting(ctx)
	if err != nil {
		return r, err
	}
	return Report{Version: c.Version, Operator: c.Accepted.Operator, At: c.Accepted.At,
		Deployment: &c.Accepted.Deployment}, nil
}
