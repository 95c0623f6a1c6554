// Package ports hands out loopback addresses for parts that must know their address before they listen.
//
// A port that was free when it was looked up is not reserved: the kernel may assign it to an outgoing connection or to another
// listener on port 0, and another process may look it up as well. A Block therefore has loopback hosts of its own, which no other
// process on the machine uses as long as it reserves its block here too, hands out ports below the range from which the kernel
// assigns them, and hands out none twice.
//
// The package does not prevent a program that draws its addresses elsewhere from listening on them; Draw leaves out a port on
// which something already listens.
//
// # Usage
//
//	block, err := ports.Reserve()
//	defer block.Close()
//	address, err := block.Draw(block.Host(1))
package ports

import (
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// lockPort is the port on which a process listens to reserve a block. It and the ports that are handed out are below 32768,
	// from which on Linux assigns ports by default.
	lockPort  = 19999
	firstPort = 20000
	lastPort  = 32000
	// firstBlock and lastBlock are the second bytes of the hosts of a block, 127.BLOCK.0.HOST.
	firstBlock = 64
	lastBlock  = 127
)

// ErrExhausted means that all blocks are reserved, or that all ports of a block have been handed out.
var ErrExhausted = errors.New("no loopback port is left")

// Block is a set of loopback addresses that is reserved for this process. It is safe for concurrent use.
type Block struct {
	number byte
	lock   net.Listener

	mu   sync.Mutex
	next uint16
}

// Reserve reserves a block until Close is called or the process ends. It returns ErrExhausted if all blocks are reserved.
func Reserve() (b *Block, err error) {
	defer func() { err = errors.Wrap(err, "reserve loopback ports") }()
	for number := byte(firstBlock); number <= lastBlock; number++ {
		b := &Block{number: number, next: firstPort}
		lock, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(b.Host(1), lockPort)))
		if err == nil {
			b.lock = lock
			return b, nil
		}
	}
	return nil, ErrExhausted
}

// Host returns the n-th loopback host of the block, from 1 to 254.
func (b *Block) Host(n byte) netip.Addr { return netip.AddrFrom4([4]byte{127, b.number, 0, n}) }

// Draw returns an address of a host of the block. Its port is new on all hosts of the block, so that it may be used on the others
// too. It returns ErrExhausted if all ports have been handed out.
func (b *Block) Draw(host netip.Addr) (address netip.AddrPort, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.next < lastPort {
		address := netip.AddrPortFrom(host, b.next)
		b.next++
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
		if err == nil {
			return address, l.Close()
		}
	}
	return netip.AddrPort{}, ErrExhausted
}

// Close gives the block up.
func (b *Block) Close() error { return b.lock.Close() }
