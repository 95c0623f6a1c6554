// Command primrose-standin runs a stand-in for one of the outside systems: the platform, a model engine, a KV store, the
// weight store or an order service. Tests use it in place of the real system.
//
// # Usage
//
//	primrose-standin -Kind platform -Listen 127.0.0.1:7000
package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	kind := flag.String("Kind", "", "stand-in to run: platform, engine, kvstore, weights or orders")
	listen := flag.String("Listen", "127.0.0.1:0", "address to listen on")
	flag.Parse()
	addr, err := netip.ParseAddrPort(*listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, "primrose-standin: -Listen:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *kind, addr); err != nil {
		fmt.Fprintln(os.Stderr, "primrose-standin:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, kind string, addr netip.AddrPort) error {
	serve, ok := kinds[kind]
	if !ok {
		return fmt.Errorf("-Kind %q: allowed are platform, engine, kvstore, weights, orders", kind)
	}
	return serve(ctx, addr)
}
