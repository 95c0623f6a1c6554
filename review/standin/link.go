package main

import (
	"net"
	"sync"
	"time"
)

// link is the network interface of a machine: it forwards connections to a server in this process. While the machine is dark nothing passes.
// After its return, connections from before are unknown to it: whoever sends on them gets a reset.
type link struct {
	listener net.Listener
	upstream string

	// answering is called before bytes are passed on to a client, with the upstream address of the connection; it may be nil.
	answering func(conn string)

	mu   sync.Mutex
	age  int
	dark bool
	back chan struct{}
}

func newLink(address, upstream string) (*link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, upstream: upstream, back: make(chan struct{})}
	close(k.back)
	go k.run()
	return k, nil
}

func (k *link) addr() string { return k.listener.Addr().String() }

func (k *link) run() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

// goDark drops all connections silently.
func (k *link) goDark() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dark, k.back = true, make(chan struct{})
	k.age++
}

// comeBack lets new connections pass again.
func (k *link) comeBack() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dark = false
	close(k.back)
}

func (k *link) state() (age int, back chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.age, k.back
}

func (k *link) serve(c net.Conn) {
	age, back := k.state()
	<-back
	up, err := net.DialTimeout("tcp", k.upstream, time.Second)
	if err != nil {
		reset(c)
		return
	}
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := up.Read(buffer)
			if now, _ := k.state(); now != age {
				_ = up.Close()
				return
			}
			if n > 0 {
				if k.answering != nil {
					k.answering(up.LocalAddr().String())
				}
				if _, werr := c.Write(buffer[:n]); werr != nil {
					_ = up.Close()
					return
				}
			}
			if err != nil {
				_ = c.Close()
				return
			}
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := c.Read(buffer)
		if now, back := k.state(); now != age {
			if err != nil {
				_ = c.Close()
				return
			}
			<-back
			reset(c)
			return
		}
		if err != nil {
			_ = up.Close()
			_ = c.Close()
			return
		}
		if _, err := up.Write(buffer[:n]); err != nil {
			_ = c.Close()
			return
		}
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
