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

// The object that holds the configuration.
const (
	Kind = "Config"
	Name = "Current"
)

// Snapshot is one version of the configuration. It never changes; callers must not change what it points to.
type Snapshot struct {
	// Version is the version of the object Config/Current.
	Version uint64
	// Accepted is the decoded object. Deployment points into it.
	Accepted   settings.Accepted
	Deployment *settings.Deployment

	// raw is the JSON, from which deltas are made.
	raw []byte
	// stored returns the form that the platform and whole pushes carry.
	stored func() []byte
}

// decode checks the stored form of a version.
func decode(version uint64, content []byte) (s *Snapshot, err error) {
	defer func() { err = errors.Wrapf(err, "configuration version %d", version) }()
	if len(content) > platform.MaxValueBytes {
		return nil, platform.ErrTooLarge
	}
	raw, err := expand(content)
	if err != nil {
		return nil, err
	}
	return decodeRaw(version, raw, func() []byte { return content })
}

// decodeRaw checks the JSON of a version.
func decodeRaw(version uint64, raw []byte, stored func() []byte) (*Snapshot, error) {
	accepted, err := settings.DecodeAccepted(raw)
	if err != nil {
		return nil, err
	}
	if accepted.Deployment.Site == "" {
		return nil, errors.New("no Site")
	}
	if stored == nil {
		// A version that came as a delta is compressed only if a peer needs all of it.
		stored = sync.OnceValue(func() []byte { return compress(raw) })
	}
	s := &Snapshot{Version: version, Accepted: accepted, raw: raw, stored: stored}
	s.Deployment = &s.Accepted.Deployment
	return s, nil
}

// expand returns the JSON of the stored form.
func expand(content []byte) ([]byte, error) {
	if !bytes.HasPrefix(content, []byte{0x1f, 0x8b}) {
		return content, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxExpanded+1))
	if err == nil && len(raw) > maxExpanded {
		err = errors.Newf("expands to more than %d bytes", maxExpanded)
	}
	return raw, err
}

// compress returns the stored form of JSON. It takes the fastest level, since every process pays for it.
func compress(raw []byte) []byte {
	if len(raw) <= settings.CompressAbove {
		return raw
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return raw
	}
	// A bytes.Buffer takes all writes.
	_, _ = w.Write(raw)
	_ = w.Close()
	return b.Bytes()
}
