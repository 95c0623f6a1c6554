// Package link plays a network path between two processes on one machine: a TCP proxy on the loopback interface that delays,
// resets, cuts one way or falls silent, while the processes at its ends know nothing of it.
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
	"net"
	"net/netip"
	"sync"
	"time"
)

// Condition is the state of a path. The zero value is a sound one.
type Condition struct {
	// Delay is added to each read in both directions.
	Delay time.Duration
	// LoseThere drops what goes to the server, LoseBack what comes from it. Both together make the path silent: connections
	// stay open, and new ones are made, but nothing arrives.
	LoseThere, LoseBack bool
}

// Link is a path to one server.
type Link struct {
	listener net.Listener
	server   netip.AddrPort
	work     sync.WaitGroup

	mu        sync.Mutex
	condition Condition
	open      map[*net.TCPConn]bool
}

// New opens a path to a server until Close or the end of ctx.
func New(ctx context.Context, server netip.AddrPort) (l *Link, err error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l = &Link{listener: listener, server: server, open: map[*net.TCPConn]bool{}}
	l.work.Go(l.accept)
	return l, nil
}

// Address is where clients connect.
func (l *Link) Address() netip.AddrPort { return l.listener.Addr().(*net.TCPAddr).AddrPort() }

// Set changes the condition of the path. What was lost before stays lost.
func (l *Link) Set(c Condition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.condition = c
}

// Reset resets all connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	clear(l.open)
}

// Close ends the path and its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Reset()
	l.work.Wait()
}

func (l *Link) state() Condition {
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
		l.work.Go(func() { l.carry(client.(*net.TCPConn)) })
	}
}

func (l *Link) carry(client *net.TCPConn) {
	defer client.Close()
	conn, err := net.DialTimeout("tcp", l.server.String(), time.Second)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	server := conn.(*net.TCPConn)
	defer server.Close()
	l.mu.Lock()
	l.open[client], l.open[server] = true, true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.open, client)
		delete(l.open, server)
	}()
	var back sync.WaitGroup
	back.Go(func() { l.copy(client, server, func(c Condition) bool { return c.LoseBack }) })
	l.copy(server, client, func(c Condition) bool { return c.LoseThere })
	back.Wait()
}

// copy carries bytes from one end to the other and ends both with the first of them.
func (l *Link) copy(to, from *net.TCPConn, lost func(Condition) bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		c := l.state()
		if c.Delay > 0 {
			time.Sleep(c.Delay)
		}
		if n > 0 && !lost(c) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			// A connection that ends on a path that loses everything looks open to the other end.
			for lost(l.state()) && l.isOpen(to) {
				time.Sleep(10 * time.Millisecond)
			}
			return
		}
	}
}

// isOpen reports whether a connection has not been reset.
func (l *Link) isOpen(c *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[c]
}
