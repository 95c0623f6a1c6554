package main

import (
	"context"
	"net/netip"

	"primrosecourse/internal/standin/kvstore"
)

func serveKVStore(ctx context.Context, addr netip.AddrPort) error {
	return serveHTTP(ctx, addr, kvstore.New().Handler())
}
