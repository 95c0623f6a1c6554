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

// callTimeout bounds the exchange with one entry or agent. A healthy one answers within ms; a paused one must not hold
// up the others.
const callTimeout = 2 * time.Second

// target is an entry or agent to talk to.
type target struct {
	kind    string
	name    string
	address netip.AddrPort
}

// entries returns the entries of both deployments, each address once. An entry that the new one drops is told too, so
// that it does not go on with the old version.
func entries(old, next settings.Deployment) (targets []target) {
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

// everyone returns all entries and then all agents of d.
func everyone(d settings.Deployment) []target {
	targets := make([]target, 0, len(d.Entries)+len(d.Endpoints))
	for _, e := range d.Entries {
		targets = append(targets, target{kind: "Entry", name: e.Name, address: e.Address})
	}
	for _, e := range d.Endpoints {
		targets = append(targets, target{kind: "Endpoint", name: e.Name, address: e.Address})
	}
	return targets
}

// part describes the target after an exchange.
func (t target) part(version uint64, err error) Part {
	p := Part{Kind: t.kind, Name: t.name, Address: t.address.String(), ConfigVersion: version}
	if err != nil {
		p.Error = err.Error()
	}
	return p
}

// each calls f for all targets, at most mostCalls at a time, and waits for the calls to end.
func each(targets []target, f func(i int, t target)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, mostCalls)
	for i, t := range targets {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(i, t)
		})
	}
	wg.Wait()
}

// session is a connection to an entry or agent after the exchange of Hello.
type session struct {
	conn    *wire.Conn
	current Current
	hello   wire.Hello
	now     func() time.Time
}

// connect dials a target and exchanges Hello. Hello carries the version of current, so that the peer neither sends its
// own configuration nor asks for ours without need. The connection lives until ctx ends or done is called.
func (o *Operator) connect(ctx context.Context, address netip.AddrPort, current Current) (p *session, done func(), err error) {
	defer func() { err = errors.Wrapf(err, "connect to %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	conn, err := o.dial(ctx, address.String())
	if err != nil {
		cancel()
		return nil, nil, err
	}
	p = &session{conn: wire.NewConn(conn), current: current, now: o.now}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	done = func() {
		stop()
		cancel()
		_ = conn.Close()
	}
	if err = p.conn.Write(wire.Hello{Protocol: wire.ProtocolVersion, Name: "primrosectl", Incarnation: rand.Uint64(),
		ConfigVersion: current.Version}); err == nil {
		p.hello, err = p.readHello()
	}
	if err != nil {
		done()
		return nil, nil, err
	}
	return p, done, nil
}

func (p *session) readHello() (wire.Hello, error) {
	m, err := p.conn.Read()
	if err != nil {
		return wire.Hello{}, err
	}
	switch m := m.(type) {
	case wire.Hello:
		if m.Protocol != wire.ProtocolVersion {
			_ = p.conn.Write(wire.Goodbye{Reason: "protocol version"})
			return wire.Hello{}, errors.Newf("peer has protocol version %d, not %d", m.Protocol, wire.ProtocolVersion)
		}
		return m, nil
	case wire.Goodbye:
		return wire.Hello{}, errors.Newf("peer closed the connection: %s", m.Reason)
	}
	return wire.Hello{}, errors.Newf("peer sent %s before Hello", m.MessageType())
}

// push sends the accepted configuration.
func (p *session) push() error {
	return p.conn.Write(wire.ConfigPush{Version: p.current.Version, Content: p.current.Content,
		ConfirmedAgo: max(0, p.now().Sub(p.current.ConfirmedAt))})
}

// load pings the peer and returns its answer. It serves a ConfigWant and passes over other messages.
func (p *session) load() (wire.LoadState, error) {
	if err := p.conn.Write(wire.Ping{Stream: 1, ConfigVersion: p.current.Version}); err != nil {
		return wire.LoadState{}, err
	}
	for {
		m, err := p.conn.Read()
		if err != nil {
			return wire.LoadState{}, err
		}
		switch m := m.(type) {
		case wire.Load:
			return m.Load, nil
		case wire.Goodbye:
			return wire.LoadState{}, errors.Newf("peer closed the connection: %s", m.Reason)
		case wire.ConfigWant:
			if m.Version < p.current.Version {
				if err := p.push(); err != nil {
					return wire.LoadState{}, err
				}
			}
		}
	}
}

// ping returns the load of a target.
func (o *Operator) ping(ctx context.Context, t target, current Current) (wire.LoadState, error) {
	p, done, err := o.connect(ctx, t.address, current)
	if err != nil {
		return wire.LoadState{}, err
	}
	defer done()
	return p.load()
}

// spreadTime is the time in which the watchers pass a version on to the other entries as a difference.
const spreadTime = 500 * time.Millisecond

// spread pushes the accepted version to the watchers of each failure domain, and after spreadTime to those other entries
// that do not have it yet. Whole contents pushed to every entry would exceed the bytes that control may cost them.
func (o *Operator) spread(ctx context.Context, current Current, targets []target) (failed []Part) {
	watches := map[netip.AddrPort]bool{}
	for _, e := range config.Watchers(&current.Accepted.Deployment) {
		watches[e.Address] = true
	}
	var first, rest []target
	for _, t := range targets {
		if watches[t.address] {
			first = append(first, t)
		} else {
			rest = append(rest, t)
		}
	}
	failed = o.push(ctx, current, first)
	if len(rest) == 0 {
		return failed
	}
	select {
	case <-time.After(spreadTime):
	case <-ctx.Done():
	}
	return append(failed, o.push(ctx, current, rest)...)
}

// push sends the accepted version to the targets and returns those that it did not reach. A target that has the
// version by then, from the platform or from a peer, needs no push.
func (o *Operator) push(ctx context.Context, current Current, targets []target) (failed []Part) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout())
	defer cancel()
	parts := make([]Part, len(targets))
	each(targets, func(i int, t target) {
		p, done, err := o.connect(ctx, t.address, current)
		if err != nil {
			parts[i] = t.part(0, err)
			return
		}
		defer done()
		if p.hello.ConfigVersion >= current.Version {
			return
		}
		if err = p.push(); err == nil {
			// The answer shows that the peer read the push, which a closed connection could otherwise have lost.
			_, err = p.load()
		}
		if err != nil {
			parts[i] = t.part(p.hello.ConfigVersion, err)
		}
	})
	for _, part := range parts {
		if part.Name != "" {
			failed = append(failed, part)
		}
	}
	return failed
}

// wait asks every entry and agent for its version until all have the accepted one, or returns those that do not.
func (o *Operator) wait(ctx context.Context, current Current) (late []Part, err error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout())
	defer cancel()
	remaining := everyone(current.Accepted.Deployment)
	known := map[target]Part{}
	for attempt := 0; ; attempt++ {
		parts := make([]Part, len(remaining))
		each(remaining, func(i int, t target) {
			load, err := o.ping(ctx, t, current)
			parts[i] = t.part(load.ConfigVersion, err)
		})
		var next []target
		late = nil
		for i, t := range remaining {
			if parts[i].ConfigVersion >= current.Version {
				continue
			}
			// The last round is cut short by the timeout; what the round before found says more.
			if before, ok := known[t]; ok && ctx.Err() != nil {
				parts[i] = before
			}
			known[t] = parts[i]
			late = append(late, parts[i])
			next = append(next, t)
		}
		if len(late) == 0 {
			return nil, nil
		}
		if remaining = next; !pause(ctx, attempt) {
			return late, mark(errors.Newf("version %d is accepted, but %d entries and agents do not report it",
				current.Version, len(late)), ErrNotInForce)
		}
	}
}
