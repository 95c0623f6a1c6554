package ports

import (
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestNoAddressTwice guards against two parts of a system that get the same port: a port that is looked up with port 0 and then
// closed is assigned again after a few hundred further look-ups.
func TestNoAddressTwice(t *testing.T) {
	is := is.New(t)
	b, err := Reserve()
	is.NoErr(err)
	defer b.Close()
	seen := map[uint16]bool{}
	for n := range 3000 {
		address, err := b.Draw(b.Host(byte(1 + n%3)))
		is.NoErr(err)
		is.True(!seen[address.Port()]) // a port was handed out twice
		is.True(address.Port() < 32768)
		seen[address.Port()] = true
	}
}

// TestBlocksAreDisjoint guards against two processes that get the same addresses.
func TestBlocksAreDisjoint(t *testing.T) {
	is := is.New(t)
	hosts := map[netip.Addr]bool{}
	for range 8 {
		b, err := Reserve()
		is.NoErr(err)
		defer b.Close()
		is.True(!hosts[b.Host(1)])
		hosts[b.Host(1)] = true
	}
}

// TestExhaustedBlock guards against an endless search, and against handing out ports that the kernel assigns.
func TestExhaustedBlock(t *testing.T) {
	is := is.New(t)
	b, err := Reserve()
	is.NoErr(err)
	defer b.Close()
	b.next = lastPort - 1
	_, err = b.Draw(b.Host(1))
	is.NoErr(err)
	_, err = b.Draw(b.Host(1))
	is.True(errors.Is(err, ErrExhausted))
}
