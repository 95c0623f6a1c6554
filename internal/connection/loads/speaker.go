package loads

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosecourse/pkg/site"
)

// speakerTimeout is how long after its last message a gateway of the domain counts as able to speak for it.
const speakerTimeout = 1200 * time.Millisecond

// speakers finds out whether this gateway speaks for its failure domain: whether no gateway of the domain that was heard recently comes
// before it in the order of a hash. Two gateways may both take themselves for the speaker while they do not hear each other; the summaries
// of both are complete as far as each knows, and the later one replaces the other.
type speakers struct {
	own   netip.AddrPort
	heard map[netip.AddrPort]time.Time
}

// hear records a message of a gateway of the same domain.
func (s *speakers) hear(from netip.AddrPort, now time.Time) {
	if s.heard == nil {
		s.heard = map[netip.AddrPort]time.Time{}
	}
	s.heard[from] = now
}

// speaks reports whether this gateway speaks for its domain, of which members are the other gateways.
func (s *speakers) speaks(members []site.Gateway, now time.Time) bool {
	rank := speakerRank(s.own)
	for _, m := range members {
		if at, heard := s.heard[m.Address]; heard && now.Sub(at) < speakerTimeout && speakerRank(m.Address) < rank {
			return false
		}
	}
	return true
}

func speakerRank(a netip.AddrPort) uint64 {
	address := a.Addr().As16()
	return xxhash.Sum64(binary.BigEndian.AppendUint16(address[:], a.Port()))
}

// split divides the other gateways into those of a failure domain and, by their domains, the others.
func split(peers []site.Gateway, domain string) (same []site.Gateway, others map[string][]site.Gateway) {
	others = map[string][]site.Gateway{}
	for _, p := range peers {
		if p.FailureDomain == domain {
			same = append(same, p)
		} else {
			others[p.FailureDomain] = append(others[p.FailureDomain], p)
		}
	}
	return same, others
}

// draw returns one gateway of each domain. It is drawn anew for each message, so that no gateway of a domain must be known to work and
// the effort of passing on is shared.
func draw(others map[string][]site.Gateway) (recipients []site.Gateway) {
	for _, gateways := range others {
		recipients = append(recipients, gateways[rand.IntN(len(gateways))])
	}
	return recipients
}
