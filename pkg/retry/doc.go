// Package retry bounds the retries of a process to a share of its requests, so that an outage does not multiply the load.
//
// Every request adds Ratio to the budget and every retry takes 1. A small floor by time lets a process with few requests
// retry at all. What is unused is kept up to Burst, so that a quiet hour does not pay for a storm of retries.
//
// The package decides neither what may be retried nor when. Time is passed in; a Budget is safe for concurrent use.
//
// # Usage
//
//	b := &retry.Budget{Ratio: 0.1}
//	b.Request(time.Now())
//	if failed && b.Retry(time.Now()) { ... }
package retry
