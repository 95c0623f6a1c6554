package config

import (
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

	content []byte
}

// decode checks the content of a version.
func decode(version uint64, content []byte) (s *Snapshot, err error) {
	defer func() { err = errors.Wrapf(err, "configuration version %d", version) }()
	if len(content) > platform.MaxValueBytes {
		return nil, platform.ErrTooLarge
	}
	accepted, err := settings.DecodeAccepted(content)
	if err != nil {
		return nil, err
	}
	if accepted.Deployment.Site == "" {
		return nil, errors.New("no Site")
	}
	s = &Snapshot{Version: version, Accepted: accepted, content: content}
	s.Deployment = &s.Accepted.Deployment
	return s, nil
}
