package operator

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/version/config"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// callTimeout limits the exchange with one entry or agent. A healthy one responds within milliseconds; a paused one must
// not delay the exchanges with the others.
const callTimeout = 2 * time.Second

// target is an entry or agent that a command connects to.
type target struct {
	kind    string
	name    string
	address netip.AddrPort
}

// entryTargets returns the entries of both deployments, each address once. An entry that is missing in next also gets the
// new version, so that it does not keep the old one in force.
func entryTargets(old, next settings.Deployment) (targets []target) {
	seen := map[netip.AddrPort]bool{}
	for _, d := range []settings.Deployment{next, old} {
		for _, e := range d.Entries {
			if !seen[e.Address] {
				seen[e.Address] = true
				targets = append(targets, target{kind: "Entry", name: e.Name, address: e.Address})
			}
		}
	}
	return targets
}

// allTargets returns all entries of d, followed by all agents.
func allTargets(d settings.Deployment) []target {
	targets := make([]target, 0, len(d.Entries)+len(d.Endpoints))
	for _, e := range d.Entries {
		targets = append(targets, target{kind: "Entry", name: e.Name, address: e.Address})
	}
	for _, e := range d.Endpoints {
		targets = append(targets, target{kind: "Endpoint", name: e.Name, address: e.Address})
	}
	return targets
}

// part returns the Part that describes the target after an exchange.
func (t target) part(version uint64, err error) Part {
	p := Part{Kind: t.kind, Name: t.name, Address: t.address.String(), ConfigVersion: version}
	if err != nil {
		p.Error = err.Error()
	}
	return p
}

// forEach calls f for all targets, at most maxConcurrentCalls at a time, and waits for the calls to return.
func forEach(targets []target, f func(i int, t target)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for i, t := range targets {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(i, t)
		})
	}
	wg.Wait()
}

// session is a connection to an entry or agent on which Hello has been exchanged.
type session struct {
	conn    *wire.Conn
	current Current
	hello   wire.Hello
	now     func() time.Time
}

// connect dials a target and exchanges Hello. Hello carries the version of current, so that the peer neither sends its
// own configuration nor requests this one needlessly. The connection is closed when ctx ends, after callTimeout, or when
// done is called.
func (o *Operator) connect(ctx context.Context, address netip.AddrPort, current Current) (s *session, done func(), err error) {
	defer func() { err = errors.Wrapf(err, "connect to %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	netConn, err := o.dial(ctx, address.String())
	if err != nil {
		cancel()
		return nil, nil, err
	}
	s = &session{conn: wire.NewConn(netConn), current: current, now: o.now}
	stop := context.AfterFunc(ctx, func() { _ = netConn.Close() })
	done = func() {
		stop()
		cancel()
		_ = netConn.Close()
	}
	if err = s.conn.Write(wire.Hello{Protocol: wire.ProtocolVersion, Name: "primrosectl", Incarnation: rand.Uint64(),
		ConfigVersion: current.Version}); err == nil {
		s.hello, err = s.readHello()
	}
	if err != nil {
		done()
		return nil, nil, err
	}
	return s, done, nil
}

func (s *session) readHello() (wire.Hello, error) {
	m, err := s.conn.Read()
	if err != nil {
		return wire.Hello{}, err
	}
	switch m := m.(type) {
	case wire.Hello:
		if m.Protocol != wire.ProtocolVersion {
			_ = s.conn.Write(wire.Goodbye{Reason: "protocol version"})
			return wire.Hello{}, errors.Newf("peer has protocol version %d, not %d", m.Protocol, wire.ProtocolVersion)
		}
		return m, nil
	case wire.Goodbye:
		return wire.Hello{}, errors.Newf("peer closed the connection: %s", m.Reason)
	}
	return wire.Hello{}, errors.Newf("peer sent %s before Hello", m.MessageType())
}

// push sends the current configuration.
func (s *session) push() error {
	return s.conn.Write(wire.ConfigPush{Version: s.current.Version, Content: s.current.Content,
		ConfirmedAgo: max(0, s.now().Sub(s.current.ConfirmedAt))})
}

// ping sends a Ping and returns the load state in the response. Until the response arrives, it pushes the current configuration
// to a peer that sends ConfigWant with an older version. A Goodbye ends it with an error; other messages are ignored.
func (s *session) ping() (wire.LoadState, error) {
	if err := s.conn.Write(wire.Ping{Stream: 1, ConfigVersion: s.current.Version}); err != nil {
		return wire.LoadState{}, err
	}
	for {
		m, err := s.conn.Read()
		if err != nil {
			return wire.LoadState{}, err
		}
		switch m := m.(type) {
		case wire.Load:
			return m.Load, nil
		case wire.Goodbye:
			return wire.LoadState{}, errors.Newf("peer closed the connection: %s", m.Reason)
		case wire.ConfigWant:
			if m.Version < s.current.Version {
				if err := s.push(); err != nil {
					return wire.LoadState{}, err
				}
			}
		}
	}
}

// ping connects to a target and returns its load state.
func (o *Operator) ping(ctx context.Context, t target, current Current) (wire.LoadState, error) {
	s, done, err := o.connect(ctx, t.address, current)
	if err != nil {
		return wire.LoadState{}, err
	}
	defer done()
	return s.ping()
}

// deltaPropagationTime is the time within which the watchers relay a new version, as a delta, to the other entries.
const deltaPropagationTime = 500 * time.Millisecond

// distribute pushes the accepted version to the watchers of each failure domain and, after deltaPropagationTime, to those
// other entries that do not have it yet. Pushing the whole content to every entry would exceed the entries' byte budget
// for control traffic.
func (o *Operator) distribute(ctx context.Context, current Current, targets []target) (failed []Part) {
	isWatcher := map[netip.AddrPort]bool{}
	for _, e := range config.Watchers(&current.Accepted.Deployment) {
		isWatcher[e.Address] = true
	}
	var watchers, others []target
	for _, t := range targets {
		if isWatcher[t.address] {
			watchers = append(watchers, t)
		} else {
			others = append(others, t)
		}
	}
	failed = o.push(ctx, current, watchers)
	if len(others) == 0 {
		return failed
	}
	select {
	case <-time.After(deltaPropagationTime):
	case <-ctx.Done():
	}
	return append(failed, o.push(ctx, current, others)...)
}

// push sends the accepted version to the targets and returns those with which the exchange failed. A target that already has
// the version or a newer one, from the platform or from a peer, is skipped.
func (o *Operator) push(ctx context.Context, current Current, targets []target) (failed []Part) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout())
	defer cancel()
	parts := make([]Part, len(targets))
	forEach(targets, func(i int, t target) {
		s, done, err := o.connect(ctx, t.address, current)
		if err != nil {
			parts[i] = t.part(0, err)
			return
		}
		defer done()
		if s.hello.ConfigVersion >= current.Version {
			return
		}
		if err = s.push(); err == nil {
			// The response to the ping shows that the peer has read the push. If the connection were closed before that, the push
			// could be lost.
			_, err = s.ping()
		}
		if err != nil {
			parts[i] = t.part(s.hello.ConfigVersion, err)
		}
	})
	for _, part := range parts {
		if part.Name != "" {
			failed = append(failed, part)
		}
	}
	return failed
}

// wait pings each entry and agent until it reports the accepted version. If some of them do not report it within the timeout,
// wait returns those with an error marked ErrNotInForce.
func (o *Operator) wait(ctx context.Context, current Current) (lagging []Part, err error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout())
	defer cancel()
	remaining := allTargets(current.Accepted.Deployment)
	lastParts := map[target]Part{}
	for attempt := 0; ; attempt++ {
		parts := make([]Part, len(remaining))
		forEach(remaining, func(i int, t target) {
			load, err := o.ping(ctx, t, current)
			parts[i] = t.part(load.ConfigVersion, err)
		})
		var next []target
		lagging = nil
		for i, t := range remaining {
			if parts[i].ConfigVersion >= current.Version {
				continue
			}
			// The timeout interrupts the last round, so the result of the round before is more accurate.
			if previous, ok := lastParts[t]; ok && ctx.Err() != nil {
				parts[i] = previous
			}
			lastParts[t] = parts[i]
			lagging = append(lagging, parts[i])
			next = append(next, t)
		}
		if len(lagging) == 0 {
			return nil, nil
		}
		if remaining = next; !backOff(ctx, attempt) {
			return lagging, mark(errors.Newf("version %d is accepted, but %d entries and agents do not report it",
				current.Version, len(lagging)), ErrNotInForce)
		}
	}
}
