package operator

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/process/platform"
	"primrosecourse/pkg/settings"
)

// ConfigKind and ConfigName identify the platform object that contains the accepted configuration.
const (
	ConfigKind = "Config"
	ConfigName = "Current"
)

const (
	defaultTimeout = 10 * time.Second
	// maxConcurrentCalls limits the concurrent connections to entries and agents. If a failure domain of a full-size
	// deployment, with about 435 entries and agents, is unreachable, each call to them takes callTimeout. With this limit
	// all of them end within about two callTimeouts; with fewer than 109 connections they would take five, which is
	// defaultTimeout, or more. The limit is well below the usual limit of 1,024 open files.
	maxConcurrentCalls = 256
)

// Platform is the subset of the platform's API that the package uses.
type Platform interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, obj platform.Object) (uint64, error)
}

// Operator runs commands. The exported fields are set before the first command.
type Operator struct {
	// Platform may be nil only for Check and, if Entry is valid, for commands that only read.
	Platform Platform
	// Name is recorded with each change.
	Name string
	// Timeout limits each phase of a command: the read of the configuration, its acceptance, the push to the watchers, the
	// push to the other entries, and the wait or the pings of Status. Default 10 s.
	Timeout time.Duration
	// Entry, if valid, is the address of the entry that the configuration is read from instead of the platform. It must be
	// set only for commands that only read. During an outage of the platform the entries still have the configuration.
	Entry netip.AddrPort
	// Dial connects to entries and agents. The default dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

func (o *Operator) timeout() time.Duration {
	if o.Timeout > 0 {
		return o.Timeout
	}
	return defaultTimeout
}

func (o *Operator) now() time.Time {
	if o.Now != nil {
		return o.Now()
	}
	return time.Now()
}

func (o *Operator) dial(ctx context.Context, address string) (net.Conn, error) {
	if o.Dial != nil {
		return o.Dial(ctx, address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Current is the accepted configuration: its version, the stored value and the decoded value.
type Current struct {
	// Version is 0 if no configuration has been accepted yet.
	Version  uint64
	Content  []byte
	Accepted settings.Accepted
	// ConfirmedAt is the time at which the platform last confirmed that Version is current.
	ConfirmedAt time.Time
}

// read returns the accepted configuration, with Version 0 if there is none.
func (o *Operator) read(ctx context.Context) (c Current, err error) {
	defer func() { err = errors.Wrap(err, "read the accepted configuration") }()
	ctx, cancel := context.WithTimeout(ctx, o.timeout())
	defer cancel()
	if o.Entry.IsValid() {
		return o.readEntry(ctx)
	}
	var object platform.Object
	for attempt := 0; ; attempt++ {
		object, err = o.get(ctx)
		if err == nil {
			break
		}
		if errors.Is(err, platform.ErrNotFound) {
			return Current{}, nil
		}
		if !backOff(ctx, attempt) {
			return Current{}, mark(err, ErrUnavailable)
		}
	}
	c, err = decode(object)
	c.ConfirmedAt = o.now()
	return c, err
}

// decode decodes the stored value. This version of primrosectl must not change a value that it cannot decode, so the
// error has no mark, which makes the outcome Rejected.
func decode(object platform.Object) (Current, error) {
	accepted, err := settings.DecodeAccepted(object.Value)
	if err != nil {
		return Current{}, err
	}
	return Current{Version: object.Version, Content: object.Value, Accepted: accepted}, nil
}

// readExisting returns the accepted configuration, or an error if there is none.
func (o *Operator) readExisting(ctx context.Context) (Current, error) {
	c, err := o.read(ctx)
	if err == nil && c.Version == 0 {
		err = mark(errors.New("no configuration was accepted yet; run apply first"), ErrRejected)
	}
	return c, err
}

// get reads the configuration object. Each call of get and put has a third of the timeout, so that a slow call leaves time
// for another attempt.
func (o *Operator) get(ctx context.Context) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout()/3)
	defer cancel()
	return o.Platform.Get(ctx, ConfigKind, ConfigName)
}

func (o *Operator) put(ctx context.Context, object platform.Object) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout()/3)
	defer cancel()
	return o.Platform.Put(ctx, object)
}

// backOff waits before the next attempt, 50 ms at first and up to 1 s. It reports whether the wait ended before ctx was
// done.
func backOff(ctx context.Context, attempt int) bool {
	wait := min(50*time.Millisecond<<min(attempt, 5), time.Second)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
