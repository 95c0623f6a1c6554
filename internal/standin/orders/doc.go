// Package orders is the stand-in of a plain service that runs orders, with the interface that package
// internal/process/service states. Like the real ones it runs whatever it is sent, as often as it is sent; its ledger
// shows tests how often that was.
//
// # Usage
//
//	s := orders.Service{Latency: 5 * time.Millisecond}
//	server := httptest.NewServer(s.Handler())
//	runs := s.Ledger()
package orders
