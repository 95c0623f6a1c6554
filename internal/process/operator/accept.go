package operator

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/process/platform"
	"primrosecourse/pkg/settings"
)

// Options are the options of all commands that change the configuration.
type Options struct {
	// DryRun reports the changes without accepting them.
	DryRun bool
	// Wait waits until every entry and agent reports the accepted version.
	Wait bool
}

// change accepts next in place of old, pushes it and, with options.Wait, waits until it is in force. With options.DryRun it
// only reports the changes. If next does not differ from an accepted old, nothing is written or pushed, so that a command can
// be retried safely after an unknown outcome.
func (o *Operator) change(ctx context.Context, old Current, next settings.Deployment, options Options) (
	r Report, err error,
) {
	r = Report{Version: old.Version, Operator: old.Accepted.Operator, At: old.Accepted.At, DryRun: options.DryRun}
	r.Changes = settings.Diff(old.Accepted.Deployment, next)
	if err = validate(next); err != nil || options.DryRun {
		return r, err
	}
	current := old
	if len(r.Changes) > 0 || old.Version == 0 {
		if current, r.Winner, err = o.accept(ctx, old, next); err != nil {
			return r, err
		}
		r.Version, r.Operator, r.At = current.Version, current.Accepted.Operator, current.Accepted.At
		r.NotPushed = o.distribute(ctx, current, entryTargets(old.Accepted.Deployment, next))
	}
	if options.Wait {
		r.NotInForce, err = o.wait(ctx, current)
		r.InForce = err == nil
	}
	return r, err
}

// validate returns an error if next must not be accepted. The check is the same for all commands.
func validate(next settings.Deployment) (err error) {
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

// accept replaces old by next with a conditional update. It returns the accepted configuration, or the winner if
// another operator's change was accepted first.
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
	// maybeWritten is true once a write without a response may have taken effect.
	maybeWritten := false
	for attempt := 0; ; attempt++ {
		version, failure := o.put(ctx, object)
		if failure == nil {
			return o.newCurrent(version, content, accepted), nil, nil
		}
		if errors.Is(failure, platform.ErrTooLarge) {
			return Current{}, nil, mark(failure, ErrRejected)
		}
		uncertain := errors.Is(failure, platform.ErrUncertain)
		maybeWritten = maybeWritten || uncertain
		if uncertain || errors.Is(failure, platform.ErrConflict) {
			version, winner, err = o.compareStored(ctx, old, content, maybeWritten)
			if err != nil || version != 0 {
				return o.newCurrent(version, content, accepted), winner, err
			}
		}
		if !backOff(ctx, attempt) {
			return Current{}, nil, mark(failure, outcome(maybeWritten, ErrUnavailable))
		}
	}
}

// newCurrent returns accepted as the configuration that the platform has confirmed just now.
func (o *Operator) newCurrent(version uint64, content []byte, accepted settings.Accepted) Current {
	return Current{Version: version, Content: content, Accepted: accepted, ConfirmedAt: o.now()}
}

// outcome returns ErrUnknown if a write may have taken effect, and otherwise the given error.
func outcome(maybeWritten bool, otherwise error) error {
	if maybeWritten {
		return ErrUnknown
	}
	return otherwise
}

// compareStored reads the object after a failed write. It returns the version if the stored value is content. If another
// new value is stored, it returns the winner, if the value can be decoded, with an error. If the object is unchanged, it returns
// neither, and the write can be retried.
func (o *Operator) compareStored(ctx context.Context, old Current, content []byte, maybeWritten bool) (
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
			return o.lostRace(old, object, maybeWritten)
		}
		if !backOff(ctx, attempt) {
			return 0, nil, mark(errors.Wrap(err, "read who came first"), outcome(maybeWritten, ErrRejected))
		}
	}
}

// lostRace returns the winner and an error that names it. If one of this command's writes had no response, it may have been
// accepted before the winner's, and the outcome is ErrUnknown.
func (o *Operator) lostRace(old Current, object platform.Object, maybeWritten bool) (uint64, *Winner, error) {
	c, err := decode(object)
	if err != nil {
		return 0, nil, mark(err, outcome(maybeWritten, ErrRejected))
	}
	winner := &Winner{Version: c.Version, Operator: c.Accepted.Operator, At: c.Accepted.At,
		Changes: settings.Diff(old.Accepted.Deployment, c.Accepted.Deployment)}
	if maybeWritten {
		err = errors.Newf("%s accepted version %d; whether this change was in force before it is unknown",
			winner.Operator, winner.Version)
	} else {
		err = errors.Newf("%s accepted version %d first", winner.Operator, winner.Version)
	}
	return 0, winner, mark(err, outcome(maybeWritten, ErrRejected))
}
