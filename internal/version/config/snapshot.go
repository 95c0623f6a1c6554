package config

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/process/platform"
	"primrosecourse/pkg/settings"
)

// ObjectKind and ObjectName identify the platform object that holds the configuration.
const (
	ObjectKind = "Config"
	ObjectName = "Current"
)

// Snapshot is one immutable version of the configuration. Callers must not modify the values that it points to.
type Snapshot struct {
	// Version is the version of the object Config/Current.
	Version uint64
	// Accepted is the decoded object. Deployment points into it.
	Accepted   settings.Accepted
	Deployment *settings.Deployment

	// raw is the JSON from which deltas are computed.
	raw []byte
	// stored returns the form that the platform stores and that pushes of the whole content carry.
	stored func() []byte
}

// decode decodes and validates the stored form of a version.
func decode(version uint64, content []byte) (s *Snapshot, err error) {
	defer func() { err = errors.Wrapf(err, "configuration version %d", version) }()
	if len(content) > platform.MaxValueBytes {
		return nil, platform.ErrTooLarge
	}
	raw, err := decompress(content)
	if err != nil {
		return nil, err
	}
	return decodeJSON(version, raw, func() []byte { return content })
}

// decodeJSON decodes and validates the JSON of a version. If stored is nil, the stored form is computed on demand.
func decodeJSON(version uint64, raw []byte, stored func() []byte) (*Snapshot, error) {
	accepted, err := settings.DecodeAccepted(raw)
	if err != nil {
		return nil, err
	}
	if accepted.Deployment.Site == "" {
		return nil, errors.New("deployment has no Site")
	}
	if stored == nil {
		// A version received as a delta is compressed only if a peer requests the whole content.
		stored = sync.OnceValue(func() []byte { return compress(raw) })
	}
	s := &Snapshot{Version: version, Accepted: accepted, raw: raw, stored: stored}
	s.Deployment = &s.Accepted.Deployment
	return s, nil
}

// decompress returns the JSON of the stored form, which is gzip-compressed or plain.
func decompress(content []byte) ([]byte, error) {
	if !bytes.HasPrefix(content, []byte{0x1f, 0x8b}) {
		return content, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxJSONBytes+1))
	if err == nil && len(raw) > maxJSONBytes {
		err = errors.Newf("decompressed configuration exceeds %d bytes", maxJSONBytes)
	}
	return raw, err
}

// compress returns the stored form of JSON. It uses the fastest gzip level because every process may run it.
func compress(raw []byte) []byte {
	if len(raw) <= settings.CompressAboveBytes {
		return raw
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return raw
	}
	// Writes to a bytes.Buffer never fail.
	_, _ = w.Write(raw)
	_ = w.Close()
	return b.Bytes()
}
