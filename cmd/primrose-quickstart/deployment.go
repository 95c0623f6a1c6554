package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"

	"primrosecourse/pkg/settings"
)

const (
	organisation = "Lakeside"
	credential   = "quickstart-credential"
	modelName    = "Cards"
)

// deployment returns the configuration of a small site with three failure domains.
func deployment(store netip.AddrPort) settings.Deployment {
	domains := []string{"East", "South", "West"}
	sum := sha256.Sum256([]byte(credential))
	d := settings.Deployment{
		Site:     "Quickstart",
		Models:   []settings.Model{{Name: modelName, Version: "V1", BlockTokens: blockTokens, PrefillTokensPerSecond: prefillRate, BytesPerToken: 64}},
		Services: []settings.Service{{Name: "Orders"}},
		Stores:   []settings.Store{{Name: "Store1", Address: store, FailureDomain: domains[0]}},
		Organisations: []settings.Organisation{{
			Name: organisation, CredentialHash: hex.EncodeToString(sum[:]), SharedBlocks: 2, Models: []string{modelName},
			Services: []string{"Orders"},
		}},
	}
	for _, name := range domains {
		d.FailureDomains = append(d.FailureDomains, settings.FailureDomain{Name: name, Region: "Home"})
	}
	for i := range 2 {
		d.Entries = append(d.Entries, settings.Entry{
			Name: fmt.Sprintf("Entry%d", i+1), Address: freeAddress(), FailureDomain: domains[i],
		})
	}
	for i := range 3 {
		d.Endpoints = append(d.Endpoints, settings.Endpoint{
			Name: fmt.Sprintf("Model%d", i+1), Address: freeAddress(), FailureDomain: domains[i], Model: modelName,
			ChecksFencing: true,
		})
	}
	for i := range 2 {
		d.Endpoints = append(d.Endpoints, settings.Endpoint{
			Name: fmt.Sprintf("Order%d", i+1), Kind: settings.ServiceEndpoint, Address: freeAddress(),
			FailureDomain: domains[i], Service: "Orders",
		})
	}
	settings.ApplyDefaults(&d)
	return d
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // no loopback port is free
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}
