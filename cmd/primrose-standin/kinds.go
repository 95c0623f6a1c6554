package main

import (
	"context"
	"net/netip"
)

// kinds maps each -Kind to the function that serves it until ctx is done.
var kinds = map[string]func(ctx context.Context, addr netip.AddrPort) error{
	"kvstore": serveKVStore,
	"orders":  serveOrders,
	"weights": serveWeights,
}
