package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"

	"primrosecourse/pkg/settings"
)

const (
	organisation = "Lakeside"
	credential   = "quickstart-credential"
	modelName    = "Cards"
)

// entryCount, modelCount and serviceCount are the numbers of entries, of model endpoints and of endpoints of the order service.
const entryCount, modelCount, serviceCount = 2, 3, 2

// deployment returns the configuration of a small site with three failure domains. addresses are those of the entries, the model
// endpoints and the service endpoints, in this order.
func deployment(store netip.AddrPort, addresses []netip.AddrPort) settings.Deployment {
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
	for i := range entryCount {
		d.Entries = append(d.Entries, settings.Entry{
			Name: fmt.Sprintf("Entry%d", i+1), Address: addresses[i], FailureDomain: domains[i],
		})
	}
	for i := range modelCount {
		d.Endpoints = append(d.Endpoints, settings.Endpoint{
			Name: fmt.Sprintf("Model%d", i+1), Address: addresses[entryCount+i], FailureDomain: domains[i], Model: modelName,
			ChecksFencing: true,
		})
	}
	for i := range serviceCount {
		d.Endpoints = append(d.Endpoints, settings.Endpoint{
			Name: fmt.Sprintf("Order%d", i+1), Kind: settings.ServiceEndpoint, Address: addresses[entryCount+modelCount+i],
			FailureDomain: domains[i], Service: "Orders",
		})
	}
	settings.ApplyDefaults(&d)
	return d
}
