package main

import (
	"context"
	"net/netip"

	"primrosecourse/internal/standin/fault"
	"primrosecourse/internal/standin/kvstore"
)

func serveKVStore(ctx context.Context, addr netip.AddrPort) error {
	var faults fault.Hook
	return serveHTTP(ctx, addr, faults.Wrap(kvstore.New().Handler(), "/ledger"))
}
