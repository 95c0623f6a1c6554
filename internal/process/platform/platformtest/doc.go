// Package platformtest contains the conformance suite for the platform's object API and an in-memory fake that passes it.
//
// # Usage
//
//	fake := &platformtest.Fake{}
//	fake.Faults.Set(fault.Rule{Kind: fault.ReplyLost, Method: "PUT", Count: 1})
//	_, err := fake.Put(ctx, obj) // errors.Is(err, platform.ErrUncertain), and obj is stored
//
// The fault rules of the fake use HTTP methods and paths, so that a test can apply the same rules to a process that serves
// the API over HTTP.
package platformtest
