package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// serveHTTP serves h at addr until ctx is done. It prints the address once it listens, so that a test that gave port 0
// learns the port.
func serveHTTP(ctx context.Context, addr netip.AddrPort, h http.Handler) error {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	fmt.Println("listening", l.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	err = server.Close()
	<-ended
	return err
}
