package operator

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/process/platform"
	"primrosecourse/pkg/settings"
)

// Options are common to the commands that change the configuration.
type Options struct {
	// DryRun reports the changes and accepts nothing.
	DryRun bool
	// Wait waits until every entry and agent reports the version.
	Wait bool
}

// change accepts next in place of old, pushes it and, if asked, waits for it. Without any difference it accepts
// nothing, so that a command can be repeated after an unknown outcome.
func (o *Operator) change(ctx context.Context, old Current, next settings.Deployment, options Options) (
	r Report, err error,
) {
	r = Report{Version: old.Version, Operator: old.Accepted.Operator, At: old.Accepted.At, DryRun: options.DryRun}
	r.Changes = settings.Diff(old.Accepted.Deployment, next)
	if err = refuse(next); err != nil || options.DryRun {
		return r, err
	}
	current := old
	if len(r.Changes) > 0 || old.Version == 0 {
		if current, r.Winner, err = o.accept(ctx, old, next); err != nil {
			return r, err
		}
		r.Version, r.Operator, r.At = current.Version, current.Accepted.Operator, current.Accepted.At
		r.NotPushed = o.spread(ctx, current, entries(old.Accepted.Deployment, next))
	}
	if options.Wait {
		r.NotInForce, err = o.wait(ctx, current)
		r.InForce = err == nil
	}
	return r, err
}

// refuse returns why next must not be accepted, whatever the command.
func refuse(next settings.Deployment) (err error) {
	if err = settings.Check(next); err != nil {
		return mark(err, ErrRejected)
	}
	for _, domain := range next.FailureDomains {
		if domain.State == settings.Active {
			return nil
		}
	}
	return mark(errors.New("no failure domain would be Active, so every request would be refused"), ErrRejected)
}

// accept writes next over old with a conditional update. It returns the accepted configuration, or the winner if
// another operator's change came first.
func (o *Operator) accept(ctx context.Context, old Current, next settings.Deployment) (
	c Current, winner *Winner, err error,
) {
	defer func() { err = errors.Wrap(err, "accept the configuration") }()
	ctx, cancel := context.WithTimeout(ctx, o.timeout())
	defer cancel()
	accepted := settings.Accepted{Operator: o.Name, At: o.now().UTC().Round(0), Deployment: next}
	content, err := accepted.Encode()
	if err != nil {
		return Current{}, nil, mark(err, ErrRejected)
	}
	object := platform.Object{Kind: ConfigKind, Name: ConfigName, Version: old.Version, Value: content}
	// sent is true once a write may have taken effect without a reply.
	sent := false
	for attempt := 0; ; attempt++ {
		version, failure := o.put(ctx, object)
		if failure == nil {
			return o.confirmed(version, content, accepted), nil, nil
		}
		if errors.Is(failure, platform.ErrTooLarge) {
			return Current{}, nil, mark(failure, ErrRejected)
		}
		uncertain := errors.Is(failure, platform.ErrUncertain)
		sent = sent || uncertain
		if uncertain || errors.Is(failure, platform.ErrConflict) {
			version, winner, err = o.compare(ctx, old, content, sent)
			if err != nil || version != 0 {
				return o.confirmed(version, content, accepted), winner, err
			}
		}
		if !pause(ctx, attempt) {
			return Current{}, nil, mark(failure, outcome(sent, ErrUnavailable))
		}
	}
}

func (o *Operator) confirmed(version uint64, content []byte, accepted settings.Accepted) Current {
	return Current{Version: version, Content: content, Accepted: accepted, ConfirmedAt: o.now()}
}

// outcome is ErrUnknown if a write may have taken effect, otherwise the given one.
func outcome(sent bool, otherwise error) error {
	if sent {
		return ErrUnknown
	}
	return otherwise
}

// compare reads the object after a write that failed. It returns the version if the stored value is content, the
// winner if it is another's, and neither if the object is unchanged, so that the write can be repeated.
func (o *Operator) compare(ctx context.Context, old Current, content []byte, sent bool) (
	version uint64, winner *Winner, err error,
) {
	for attempt := 0; ; attempt++ {
		object, err := o.get(ctx)
		switch {
		case err == nil && bytes.Equal(object.Value, content):
			return object.Version, nil, nil
		case err == nil && object.Version == old.Version, errors.Is(err, platform.ErrNotFound) && old.Version == 0:
			return 0, nil, nil
		case err == nil:
			return o.lost(old, object, sent)
		}
		if !pause(ctx, attempt) {
			return 0, nil, mark(errors.Wrap(err, "read who came first"), outcome(sent, ErrRejected))
		}
	}
}

// lost describes the winner. If a write of ours had no reply, it may have been accepted before the winner's.
func (o *Operator) lost(old Current, object platform.Object, sent bool) (uint64, *Winner, error) {
	c, err := decode(object)
	if err != nil {
		return 0, nil, mark(err, outcome(sent, ErrRejected))
	}
	winner := &Winner{Version: c.Version, Operator: c.Accepted.Operator, At: c.Accepted.At,
		Changes: settings.Diff(old.Accepted.Deployment, c.Accepted.Deployment)}
	if sent {
		err = errors.Newf("%s accepted version %d; whether this change was in force before it is unknown",
			winner.Operator, winner.Version)
	} else {
		err = errors.Newf("%s accepted version %d first", winner.Operator, winner.Version)
	}
	return 0, winner, mark(err, outcome(sent, ErrRejected))
}
