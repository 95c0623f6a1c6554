package main

import (
	"context"
	"net/netip"
)

// kinds maps each value of -Kind to the function that runs the stand-in until ctx is done. Init functions add engine and platform.
var kinds = map[string]func(ctx context.Context, addr netip.AddrPort) error{
	"kvstore": serveKVStore,
	"orders":  serveOrders,
	"weights": serveWeights,
}
