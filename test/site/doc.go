// Package site starts the real programs on loopback, each as its own process, together with the stand-ins of the outside
// systems and one configuration. Only tests use it.
//
// # Usage
//
//	s := site.New(dir, binaries)
//	defer s.Down()
//	err := s.Define(site.Shape{Entries: 2, Models: 3, Orders: 2})
//	err = s.Up()
package site
