package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Encode returns the canonical JSON of d: defaults are applied, order, times and addresses are as Normalise returns
// them, enums are written by name, durations in nanoseconds, and there is no white space. Equivalent deployments have the
// same encoding.
func Encode(d Deployment) (content []byte, err error) {
	defer func() { err = errors.Wrap(err, "settings: encode") }()
	return json.Marshal(canonical(d))
}

// Decode decodes the JSON of a deployment and applies the defaults. It rejects unknown fields, undefined enum names,
// trailing data and times that Encode cannot encode. It does not call Check, since a stored configuration passed Check
// before it was accepted.
func Decode(content []byte) (d Deployment, err error) {
	defer func() { err = errors.Wrap(err, "settings: decode") }()
	if err = decodeStrict(content, &d); err != nil {
		return Deployment{}, err
	}
	return finishDecode(d)
}

// finishDecode returns the canonical form of a decoded deployment. It rejects times outside the years 0 to 9999 in UTC: JSON
// can contain them with another UTC offset, but they cannot be encoded again in UTC.
func finishDecode(d Deployment) (Deployment, error) {
	d = canonical(d)
	for _, f := range d.FailureDomains {
		if !encodable(f.ReturnedAt) {
			return Deployment{}, errors.Newf("ReturnedAt of %q is out of range", f.Name)
		}
	}
	return d, nil
}

// encodable reports whether the JSON encoding of t in UTC succeeds, which needs a year from 0 to 9999.
func encodable(t time.Time) bool {
	year := t.UTC().Year()
	return year >= 0 && year <= 9999
}

// canonical returns a copy of d in canonical order with its defaults applied. It does not change the argument.
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
