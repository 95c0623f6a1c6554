// Package orders is a stand-in for a service that runs orders, with the HTTP interface that package
// internal/process/service documents. Like the real services it does not deduplicate: it runs an order each time that it
// receives it. Tests read from its ledger how often an order ran.
//
// # Usage
//
//	s := orders.Service{Latency: 5 * time.Millisecond}
//	server := httptest.NewServer(s.Handler())
//	runs := s.Ledger()
package orders
