// Package retry limits the retries of a process to a share of its requests, so that an outage does not multiply the load.
//
// Every request adds Ratio to the retry budget and every retry takes 1. A small amount added per second, PerSecond, lets a
// process with few requests retry at all. The unused budget accumulates only up to Burst, so that an hour with few
// retries does not allow a retry storm. A Window limits the retries to one service within a sliding window by a limit that
// several processes share.
//
// The package decides neither what may be retried nor when. It reads no clock: times are passed in. A Budget and a Window
// are safe for concurrent use.
//
// # Usage
//
//	b := &retry.Budget{Ratio: 0.1}
//	b.Request(time.Now())
//	if failed && b.Retry(time.Now()) { ... }
package retry
