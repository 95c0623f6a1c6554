package settings

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// CompressAbove is the size from which an Accepted value is stored compressed. At the full size the JSON is 2.2 MB,
// over the 1 MB that the platform stores; smaller deployments stay readable as they are.
const CompressAbove = 256 << 10

// maxContent bounds what a compressed value may expand to.
const maxContent = 32 << 20

// gzipMagic starts every gzip stream and no JSON.
var gzipMagic = []byte{0x1f, 0x8b}

// Accepted is the value of the object Config/Current: a deployment and who put it in force. The object's version on the
// platform is the configuration version. wire.ConfigPush carries the value as stored.
type Accepted struct {
	// Operator names who accepted the deployment, for an operator who lost a race.
	Operator string
	// At is when the operator's command sent it.
	At         time.Time
	Deployment Deployment
}

// Encode returns the stored form: JSON of the three fields with the deployment in its canonical form, as a gzip stream
// if it exceeds CompressAbove. Equal values have equal encodings.
func (a Accepted) Encode() (content []byte, err error) {
	defer func() { err = errors.Wrap(err, "settings: encode accepted") }()
	a.At = a.At.UTC().Round(0)
	a.Deployment = canonical(a.Deployment)
	content, err = json.Marshal(a)
	if err != nil || len(content) <= CompressAbove {
		return content, err
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err = w.Write(content); err != nil {
		return nil, err
	}
	if err = w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// DecodeAccepted reads the value of Config/Current or of a wire.ConfigPush. It is as strict as Decode.
func DecodeAccepted(content []byte) (a Accepted, err error) {
	defer func() { err = errors.Wrap(err, "settings: decode accepted") }()
	if bytes.HasPrefix(content, gzipMagic) {
		if content, err = expand(content); err != nil {
			return Accepted{}, err
		}
	}
	// The pointer tells a missing deployment from an empty one.
	var s struct {
		Operator   string
		At         time.Time
		Deployment *Deployment
	}
	if err = decodeStrict(content, &s); err != nil {
		return Accepted{}, err
	}
	if s.Deployment == nil {
		return Accepted{}, errors.New("no Deployment")
	}
	if !encodable(s.At) {
		return Accepted{}, errors.New("At is out of range")
	}
	d, err := decoded(*s.Deployment)
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{Operator: s.Operator, At: s.At.UTC(), Deployment: d}, nil
}

func expand(content []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	content, err = io.ReadAll(io.LimitReader(r, maxContent+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxContent {
		return nil, errors.Newf("expands to more than %d bytes", maxContent)
	}
	return content, nil
}
