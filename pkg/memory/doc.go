// Package memory bounds the memory that several users of a resource take up together, such as the answers that a process holds for all of
// its requests. Each user has a small allowance of its own, so that the budget matters only for the few that need more.
//
// The package counts what it is told. It measures and allocates nothing.
//
// # Usage
//
//	budget := memory.New(8 << 20)
//	answer := budget.Hold(16 << 10)
//	defer answer.Release()
//	if !answer.Grow(len(buffer)) {
//		// There is no room for a buffer of this length.
//	}
package memory
