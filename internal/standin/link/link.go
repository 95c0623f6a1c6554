// Package link simulates a network path between two processes on one machine with a TCP proxy on the loopback interface.
// The proxy can delay data, drop it in one or both directions, and reset connections. The processes are not aware of it.
//
// # Usage
//
//	l, err := link.New(ctx, serverAddress)
//	defer l.Close()
//	// clients connect to l.Address()
//	l.Set(link.Condition{Delay: 20 * time.Millisecond})
//	l.Reset()
package link

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Condition is the fault on a path. The zero value is a path without a fault.
type Condition struct {
	// Delay is the time that the proxy waits after each read, in both directions.
	Delay time.Duration
	// DropToServer drops the data to the server, DropFromServer the data from the server. With both, connections
	// stay open and new ones are accepted, but no data arrives.
	DropToServer, DropFromServer bool
}

// Link is a proxy to one server.
type Link struct {
	listener   net.Listener
	server     netip.AddrPort
	goroutines sync.WaitGroup

	mu        sync.Mutex
	condition Condition
	conns     map[*net.TCPConn]bool
}

// New starts a proxy to a server. It runs until Close is called; ctx only applies to opening the listener.
func New(ctx context.Context, server netip.AddrPort) (l *Link, err error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l = &Link{listener: listener, server: server, conns: map[*net.TCPConn]bool{}}
	l.goroutines.Go(l.accept)
	return l, nil
}

// Address returns the address to which clients connect.
func (l *Link) Address() netip.AddrPort { return l.listener.Addr().(*net.TCPAddr).AddrPort() }

// Set changes the condition of the path. Data that has been dropped is not sent again.
func (l *Link) Set(c Condition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.condition = c
}

// Reset resets all open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	clear(l.conns)
}

// Close stops the proxy and resets its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Reset()
	l.goroutines.Wait()
}

func (l *Link) currentCondition() Condition {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.condition
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.goroutines.Go(func() { l.forward(client.(*net.TCPConn)) })
	}
}

func (l *Link) forward(client *net.TCPConn) {
	defer client.Close()
	conn, err := net.DialTimeout("tcp", l.server.String(), time.Second)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	server := conn.(*net.TCPConn)
	defer server.Close()
	l.mu.Lock()
	l.conns[client], l.conns[server] = true, true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, client)
		delete(l.conns, server)
	}()
	var toClient sync.WaitGroup
	toClient.Go(func() { l.copy(client, server, func(c Condition) bool { return c.DropFromServer }) })
	l.copy(server, client, func(c Condition) bool { return c.DropToServer })
	toClient.Wait()
}

// copy forwards data from one connection to the other, unless drops returns true for the condition at the time of the
// read. It closes both connections when a read or write fails, but not before the path stops dropping data. The connection to is reset if
// from was, or if data for it was dropped, so that nothing looks complete that is not.
func (l *Link) copy(to, from *net.TCPConn, drops func(Condition) bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := from.Read(buffer)
		c := l.currentCondition()
		if c.Delay > 0 {
			time.Sleep(c.Delay)
		}
		if n > 0 && drops(c) {
			dropped = true
		} else if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			// While the path drops data, the process at the other end of to must not see that from has ended. The wait
			// also ends when the connections are reset.
			for drops(l.currentCondition()) && l.isOpen(to) {
				time.Sleep(10 * time.Millisecond)
			}
			if dropped || !errors.Is(err, io.EOF) {
				_ = to.SetLinger(0)
			}
			return
		}
	}
}

// isOpen reports whether a connection has not been reset.
func (l *Link) isOpen(c *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[c]
}
