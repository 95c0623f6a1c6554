package budget

import (
	"testing"

	"github.com/matryer/is"
)

// TestBudget guards against bounds that together exceed the allowed memory, on the smallest and the largest machines on which
// a gateway runs and on an even smaller one.
func TestBudget(t *testing.T) {
	for name, limits := range map[string]struct{ megabytes, descriptors int }{
		"smallest": {112, 4100},
		"largest":  {536, 8192},
		"tiny":     {16, 256},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, memory := New(limits.megabytes, limits.descriptors), int64(limits.megabytes)<<20
			is.True(b.Connections >= 1 && b.Connections <= limits.descriptors-fileReserve)
			is.True(int64(b.Connections)*connectionBytes+b.HeldBytes <= memory/2)
			is.True(b.KVParts >= 1 && int64(b.Connections)*connectionBytes+b.HeldBytes+int64(b.KVParts)*kvPartBytes+b.AnswerBytes <= b.MemoryLimitBytes)
			is.True(b.AnswerBytes > 0)
			is.True(b.MemoryLimitBytes < memory)
		})
	}
}

// TestBudgetWithoutBounds guards against a bound of one connection where the settings do not bound memory or descriptors.
func TestBudgetWithoutBounds(t *testing.T) {
	is := is.New(t)
	is.Equal(New(0, 0), Budget{})
	is.Equal(New(0, 1200), Budget{Connections: 600})
}

// TestReadinessBudget guards against a readiness port without bounds, or with so few connections that a load balancer gets none, and against one
// that takes more than a small part of the memory and descriptors.
func TestReadinessBudget(t *testing.T) {
	for name, limits := range map[string]struct{ megabytes, descriptors int }{
		"smallest": {112, 4100},
		"tiny":     {16, 256},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := New(limits.megabytes, limits.descriptors)
			r := b.Readiness()
			is.True(r.Connections >= 8 && r.HeldBytes > 0 && r.Turns > 0 && r.SocketBytes > 0)
			is.True(b.Connections+r.Connections <= limits.descriptors-fileReserve)
			is.True(int64(r.Connections)*connectionBytes+r.HeldBytes <= int64(limits.megabytes)<<20/8)
		})
	}
}
