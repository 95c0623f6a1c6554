// Package daemon runs a process until a signal: the first one starts a graceful shutdown, a second one ends it at once.
//
// # Usage
//
//	signals := make(chan os.Signal, 2)
//	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
//	err := daemon.Run(process, signals)
package daemon

import (
	"context"
	"os"
)

// Process is what a program runs.
type Process interface {
	// Run serves until ctx is done and shuts down gracefully. It returns once all goroutines of the process ended.
	Run(ctx context.Context) error
	// Abort makes Run end without waiting for what is under way. It may be called more than once.
	Abort()
}

// Run runs p until it ends and returns its error.
func Run(p Process, signals <-chan os.Signal) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	for {
		select {
		case <-signals:
			if ctx.Err() != nil {
				p.Abort()
			}
			stop()
		case err := <-ended:
			return err
		}
	}
}
