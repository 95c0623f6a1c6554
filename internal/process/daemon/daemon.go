// Package daemon runs a process and handles its signals: the first signal starts a graceful shutdown, a second one aborts it.
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

// Process is a server whose lifetime Run controls.
type Process interface {
	// Run serves until ctx is done and then shuts down gracefully. It returns when all goroutines of the process have ended.
	Run(ctx context.Context) error
	// Abort makes Run return without waiting for work in progress. It may be called more than once.
	Abort()
}

// Run runs p until p.Run returns, and returns its error. The first signal cancels the context of p.Run, later ones call
// p.Abort.
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
