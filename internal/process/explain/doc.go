// Package explain asks a gateway where a request would go now and why, without sending the request. The gateway answers at Path of its
// address for metrics.
//
// # Usage
//
//	x, err := explain.Ask(ctx, netip.MustParseAddrPort("10.0.1.1:9109"), &explain.Question{Host: "h", Path: "/chat/", Model: "m"})
//	x.WriteText(os.Stdout)
package explain
