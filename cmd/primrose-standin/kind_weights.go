package main

import (
	"context"
	"net/netip"

	"primrosecourse/internal/standin/weights"
)

func serveWeights(ctx context.Context, addr netip.AddrPort) error {
	return serveHTTP(ctx, addr, weights.New().Handler())
}
