package registry_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/process/bootclock"
	"primrosecourse/internal/version/registry"
	"primrosecourse/pkg/site"
)

// lateSource is a source of which the first answer without a change is held back.
type lateSource struct {
	*source[site.ModelVersion]
	// given is closed when that answer is given, release to let it arrive.
	given, release chan struct{}
	held           bool
}

func (s *lateSource) Watch(ctx context.Context, after uint64, wait time.Duration) ([]registry.Change[site.ModelVersion], uint64, error) {
	changes, revision, err := s.source.Watch(ctx, after, wait)
	if err == nil && len(changes) == 0 && !s.held {
		s.held = true
		close(s.given)
		<-s.release
	}
	return changes, revision, err
}

// TestNamingBeforeLateAnswer guards against cached parts of a replaced weight version that are used for too long by a gateway which receives an answer
// from before the naming after it.
func TestNamingBeforeLateAnswer(t *testing.T) {
	is := is.New(t)
	versions := &lateSource{source: newSource[site.ModelVersion](), given: make(chan struct{}), release: make(chan struct{})}
	versions.put("M", site.ModelVersion{Model: "M", Version: 1}, nil)
	r := &registry.Registry{Name: "G1", Configurations: newSource[*site.Configuration](), Endpoints: newSource[*site.Endpoint](),
		Evacuations: newSource[struct{}](), Versions: versions, Shared: shared{newSource[json.RawMessage]()},
		Members: shared{newSource[json.RawMessage]()}, Log: logr.Discard()}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	defer func() {
		cancel()
		is.NoErr(<-ended)
	}()
	<-versions.given
	versions.put("M", site.ModelVersion{Model: "M", Version: 2}, nil)
	named := bootclock.Now()
	time.Sleep(time.Second)
	close(versions.release)
	for r.Current().Versions["M"] != 2 {
		time.Sleep(time.Millisecond)
	}
	now, namings := bootclock.Now(), r.Current().Namings["M"]
	is.True(namings.MaxReplacedFor(1, now) >= now-named)
	is.True(namings.MinReplacedFor(1, now) <= now-named)
}
