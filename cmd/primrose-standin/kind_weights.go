package main

import (
	"context"
	"net/netip"

	"primrosecourse/internal/standin/fault"
	"primrosecourse/internal/standin/weights"
)

func serveWeights(ctx context.Context, addr netip.AddrPort) error {
	var faults fault.Hook
	return serveHTTP(ctx, addr, faults.Wrap(weights.New().Handler(), "/ledger"))
}
