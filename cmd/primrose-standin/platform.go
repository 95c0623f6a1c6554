package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"primrosecourse/internal/standin/platform"
)

func init() {
	kinds["platform"] = func(ctx context.Context, addr netip.AddrPort) error {
		listener, err := net.Listen("tcp", addr.String())
		if err != nil {
			return err
		}
		fmt.Println("listening", listener.Addr())
		return platform.NewServer().Run(ctx, listener)
	}
}
