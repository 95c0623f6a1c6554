package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/pkg/wire"
)

const dialTimeout = 2 * time.Second

// Dial opens a TCP connection to a peer address.
func Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr.String())
}

// Client is one subscription to a peer. Its fields must be set before Run.
type Client struct {
	Name          string
	FailureDomain string
	Incarnation   uint64
	Address       netip.AddrPort
	Config        Config
	// Marks forwards marks between the connections of this process; it may be nil.
	Marks *Relay
	Log   logr.Logger
	// Dial opens the connection. Default: the function Dial.
	Dial func(context.Context, netip.AddrPort) (net.Conn, error)
	// OnHello is called with the peer's Hello, and OnPush with each push after it was offered to Config. Both may be nil
	// and must not block.
	OnHello func(wire.Hello)
	OnPush  func(wire.ConfigPush)
}

// Run connects once and serves the connection until it ends or ctx is done. It returns the cause of the end, which is never
// nil: an error of the dial, ErrGoodbye, ErrProtocol, ErrSlow, an error of the connection, or ctx.Err if ctx is done during
// the handshake.
func (c *Client) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "peer: %s", c.Address) }()
	dial := c.Dial
	if dial == nil {
		dial = Dial
	}
	netConn, err := dial(ctx, c.Address)
	if err != nil {
		return err
	}
	conn := wire.NewConn(netConn)
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	ownHello := wire.Hello{
		Protocol: wire.ProtocolVersion, Name: c.Name, FailureDomain: c.FailureDomain, Incarnation: c.Incarnation,
		ConfigVersion: c.Config.Version(),
	}
	hello, err := handshake(conn, ownHello, true)
	if !stop() {
		return errors.WithStack(ctx.Err())
	}
	if err != nil {
		return err
	}
	if c.OnHello != nil {
		c.OnHello(hello)
	}
	session := &session{
		conn: conn, peer: hello, config: c.Config, relay: c.Marks, log: c.Log, onPush: c.OnPush,
	}
	return session.run(ctx)
}
