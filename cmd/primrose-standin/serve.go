package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// serveHTTP serves h at addr until ctx is done. It prints the address once it listens, so that the port is known if addr has
// port 0.
func serveHTTP(ctx context.Context, addr netip.AddrPort, h http.Handler) error {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	fmt.Println("listening", l.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(l) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	err = server.Close()
	<-serveErr
	return err
}
