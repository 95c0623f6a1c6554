package main

import (
	"context"
	"net/netip"

	"primrosecourse/internal/standin/orders"
)

func serveOrders(ctx context.Context, addr netip.AddrPort) error {
	var s orders.Service
	return serveHTTP(ctx, addr, s.Handler())
}
