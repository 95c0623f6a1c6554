// Package platformtest holds the conformance suite of the platform's object API and an in-memory fake that passes it.
//
// # Usage
//
//	fake := &platformtest.Fake{}
//	fake.Faults.Set(fault.Rule{Kind: fault.ReplyLost, Method: "PUT", Count: 1})
//	_, err := fake.Put(ctx, obj) // errors.Is(err, platform.ErrUncertain), and obj is stored
//
// The rules of the fake name methods and paths as on HTTP, so that a test can use the same rules on a real process.
package platformtest
