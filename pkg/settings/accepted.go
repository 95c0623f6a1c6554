package settings

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// CompressAboveBytes is the size in bytes above which Accepted.Encode compresses the JSON. The JSON of a deployment of
// 10,000 endpoints takes 2.2 MB, more than the 1 MB that the platform stores; that of smaller deployments stays readable.
const CompressAboveBytes = 256 << 10

// maxExpandedBytes bounds the size of a decompressed value.
const maxExpandedBytes = 32 << 20

// gzipMagic is the prefix of every gzip stream and of no JSON text.
var gzipMagic = []byte{0x1f, 0x8b}

// Accepted is the value of the platform object Config/Current: the deployment in force and the operator who applied it.
// The version of the object on the platform is the configuration version. wire.ConfigPush carries the value as stored.
type Accepted struct {
	// Operator is the name of the operator who applied the deployment. It is shown to an operator whose concurrent change
	// was rejected.
	Operator string
	// At is the time at which the operator's command sent the deployment.
	At         time.Time
	Deployment Deployment
}

// Encode returns the stored form: the JSON of the three fields with the deployment in canonical form, as a gzip stream
// if the JSON is larger than CompressAboveBytes. Equal values have equal encodings.
func (a Accepted) Encode() (content []byte, err error) {
	defer func() { err = errors.Wrap(err, "settings: encode accepted") }()
	a.At = a.At.UTC().Round(0)
	a.Deployment = canonical(a.Deployment)
	content, err = json.Marshal(a)
	if err != nil || len(content) <= CompressAboveBytes {
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

// DecodeAccepted decodes the value of Config/Current, which is also the content of a wire.ConfigPush whose Base is 0. It is as
// strict as Decode, and rejects a value without a deployment.
func DecodeAccepted(content []byte) (a Accepted, err error) {
	defer func() { err = errors.Wrap(err, "settings: decode accepted") }()
	if bytes.HasPrefix(content, gzipMagic) {
		if content, err = decompress(content); err != nil {
			return Accepted{}, err
		}
	}
	// The pointer distinguishes a missing deployment from an empty one.
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
	d, err := finishDecode(*s.Deployment)
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{Operator: s.Operator, At: s.At.UTC(), Deployment: d}, nil
}

func decompress(content []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	content, err = io.ReadAll(io.LimitReader(r, maxExpandedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxExpandedBytes {
		return nil, errors.Newf("expands to more than %d bytes", maxExpandedBytes)
	}
	return content, nil
}
