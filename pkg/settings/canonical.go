package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Encode returns the canonical JSON of d: defaults applied, slices sorted by Name, enums by name, durations in
// nanoseconds, no white space. Two deployments that mean the same have the same encoding.
func Encode(d Deployment) (content []byte, err error) {
	defer func() { err = errors.Wrap(err, "settings: encode") }()
	return json.Marshal(canonical(d))
}

// Decode reads the JSON of a deployment. It rejects unknown fields, undefined enum names and trailing data, and
// applies the defaults. It does not repeat the checks of Check, which an accepted configuration has passed.
func Decode(content []byte) (d Deployment, err error) {
	defer func() { err = errors.Wrap(err, "settings: decode") }()
	if err = decodeStrict(content, &d); err != nil {
		return Deployment{}, err
	}
	return decoded(d)
}

// decoded returns the canonical form of a decoded deployment. A time that leaves the years 0 to 9999 when it is brought
// to UTC could be read but not written again.
func decoded(d Deployment) (Deployment, error) {
	d = canonical(d)
	for _, f := range d.FailureDomains {
		if !encodable(f.ReturnedAt) {
			return Deployment{}, errors.Newf("ReturnedAt of %q is out of range", f.Name)
		}
	}
	return d, nil
}

func encodable(at time.Time) bool {
	year := at.UTC().Year()
	return year >= 0 && year <= 9999
}

// canonical returns d in canonical order with its defaults applied; the argument is left as it is.
func canonical(d Deployment) Deployment {
	d = Normalise(d)
	ApplyDefaults(&d)
	return d
}

func decodeStrict(content []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(content))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.New("data after the JSON value")
	}
	return nil
}
