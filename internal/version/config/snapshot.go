package config

import (
	"encoding/json"

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
	Version    uint64
	Deployment *settings.Deployment

	content []byte
}

// decode checks the content of a version.
func decode(version uint64, content []byte) (*Snapshot, error) {
	if len(content) > platform.MaxValueBytes {
		return nil, platform.ErrTooLarge
	}
	var d settings.Deployment
	if err := json.Unmarshal(content, &d); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	if d.Site == "" {
		return nil, errors.New("decode configuration: no Site")
	}
	return &Snapshot{Version: version, Deployment: &d, content: content}, nil
}
