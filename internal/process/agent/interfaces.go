package agent

import (
	"context"

	"primrosecourse/internal/connection/entry"
	"primrosecourse/internal/process/engine"
	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/version/config"
	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/wire"
)

// Engine is the model engine beside the agent; engine.Client implements it.
type Engine interface {
	Health(ctx context.Context) (engine.Health, error)
	// Generate submits a request and returns once the engine has accepted or refused it.
	Generate(ctx context.Context, req engine.Request) (*engine.Run, error)
	Cancel(ctx context.Context, requestID string) error
	// Order sends a command that changes what the engine serves, and returns once the engine has executed or refused it.
	Order(ctx context.Context, o engine.Order) error
}

// Platform is the part of the platform's API that the agent uses.
type Platform interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, obj platform.Object) (version uint64, err error)
	Delete(ctx context.Context, kind, name string, version uint64) error
	List(ctx context.Context, kind, prefix string) ([]platform.Object, error)
}

// Configuration provides the configuration in force; config.Tracker implements it.
type Configuration interface {
	entry.Configuration
	// Current returns the version in force, nil if there is none.
	Current() *config.Snapshot
	// Changed returns a channel that is closed when the version in force rises. Callers must call it before Current, so
	// that they miss no change.
	Changed() <-chan struct{}
}

// Orders executes the calls that must not be retried.
type Orders interface {
	// Execute runs a call at most once for its organisation and idempotency key, and returns wire.Reply or wire.Refused.
	// Once the call was sent to the service, it is not abandoned when ctx ends.
	Execute(ctx context.Context, call wire.Call) wire.Message
	// Ready reports whether Execute accepts calls. Until it does, the agent's state is wire.StateUnknown.
	Ready() bool
}

// Service executes the calls that may be retried.
type Service interface {
	Do(ctx context.Context, call wire.Call) (wire.Reply, error)
}

// Permits limits the concurrent weight loads in the site.
type Permits interface {
	// Acquire waits for a permit until ctx is done. The caller must call release.
	Acquire(ctx context.Context) (release func(), err error)
}

// Blocks transfers cache blocks between the engine and the stores.
type Blocks interface {
	// CachedTokens returns the number of leading tokens of a prompt that are in the engine's cache according to its cache
	// events.
	CachedTokens(weightVersion string, ids []prefix.ID) (tokens int)
	// Prepare imports blocks of a prompt that the engine lacks, and returns the number of their tokens.
	Prepare(ctx context.Context, weightVersion, organisation string, ids []prefix.ID) (fetchedTokens int)
	// RecordUse records the use of blocks by a run and queues those worth exporting.
	RecordUse(weightVersion, organisation string, ids []prefix.ID)
}
