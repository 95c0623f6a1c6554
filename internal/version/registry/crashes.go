package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"primrosecourse/internal/process/platform"
	"primrosecourse/pkg/quarantine"
)

// crashName returns the name of the shared object of a crash.
func crashName(endpoint string) string {
	return fmt.Sprintf("%s%016x", crashPrefix, xxhash.Sum64String(endpoint))
}

func (r *Registry) applyCrash(c Change[json.RawMessage]) error {
	var value quarantine.Crash
	if !c.Removed {
		if err := json.Unmarshal(c.Value, &value); err != nil {
			return err
		}
		if crashName(value.Endpoint) != c.Name {
			return errors.New("name is not that of the endpoint")
		}
	}
	crashes := maps.Clone(r.next.Crashes)
	if crashes == nil {
		crashes = map[string]quarantine.Crash{}
	}
	maps.DeleteFunc(crashes, func(endpoint string, _ quarantine.Crash) bool { return crashName(endpoint) == c.Name })
	if !c.Removed {
		crashes[value.Endpoint] = value
	}
	r.next.Crashes = crashes
	r.next.CrashesRevision++
	return nil
}

// RecordParts adds the candidates of a crash to its shared object, so that all gateways know them.
func (r *Registry) RecordParts(ctx context.Context, crash quarantine.Crash) (err error) {
	defer func() { err = errors.Wrapf(err, "parts at the crash of endpoint %s", crash.Endpoint) }()
	return r.updateCrash(ctx, crash.Endpoint, func(c *quarantine.Crash) bool {
		if c.Endpoint == "" {
			c.Endpoint, c.At = crash.Endpoint, crash.At
		}
		c.Cold = c.Cold || crash.Cold
		return c.Add(crash.Candidates)
	})
}

// ClearParts records that answers have begun on parts since the crash of an endpoint. Only Part and Organisation of each are used.
func (r *Registry) ClearParts(ctx context.Context, endpoint string, cleared []quarantine.Candidate) (err error) {
	defer func() { err = errors.Wrapf(err, "parts cleared of the crash of endpoint %s", endpoint) }()
	return r.updateCrash(ctx, endpoint, func(c *quarantine.Crash) (changed bool) {
		for _, p := range cleared {
			changed = c.Clear(p.Part, p.Organisation) || changed
		}
		return changed
	})
}

// updateCrash changes the object of a crash, and deletes it if no candidate is left. It writes nothing if change returns false.
func (r *Registry) updateCrash(ctx context.Context, endpoint string, change func(*quarantine.Crash) bool) (err error) {
	name := crashName(endpoint)
	for range maxMarkAttempts {
		var c quarantine.Crash
		value, revision, getErr := r.Shared.Get(ctx, name)
		switch {
		case errors.Is(getErr, platform.ErrNotFound):
		case getErr != nil:
			return getErr
		default:
			if json.Unmarshal(value, &c) != nil {
				c = r.Current().Crashes[endpoint]
				c.Candidates = slices.Clone(c.Candidates)
			}
		}
		if !change(&c) {
			return nil
		}
		if len(c.Candidates) == 0 {
			err = r.Shared.Delete(ctx, name, revision)
		} else {
			_, err = r.Shared.Put(ctx, name, revision, c)
		}
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return err
}
