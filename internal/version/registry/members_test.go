package registry

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/pkg/site"
)

// TestLeaders guards against readers in other failure domains where each domain may have one, against more readers than are allowed,
// and against a gateway that reads neither itself nor through another one.
func TestLeaders(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	const domains, perDomain = 3, 4
	var gateways []*Registry
	for i := range domains * perDomain {
		r := &Registry{Name: fmt.Sprintf("G%02d", i), FailureDomain: string(rune('a' + i%domains)), Log: logr.Discard()}
		r.init()
		for j := range domains * perDomain {
			r.members[fmt.Sprintf("G%02d", j)] = member{lastSeen: now, revision: 1, gateway: site.Gateway{
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(j % domains), byte(j)}), 7000), FailureDomain: string(rune('a' + j%domains))}}
		}
		gateways = append(gateways, r)
	}
	for allowed, want := range map[int]int{1: 1, 2: 2, 3: 3, 5: 3, 6: 6, 100: 12} {
		readers := 0
		for _, r := range gateways {
			addresses, self := r.Leaders("store", allowed)
			if self {
				readers++
				continue
			}
			is.True(len(addresses) > 0)
			for _, a := range addresses {
				if allowed >= domains {
					is.Equal(a.As4()[2], r.FailureDomain[0]-'a') // passed on within the domain
				}
			}
		}
		is.Equal(readers, want) // of so many that are allowed
	}
}

// TestPresence guards against a gateway that relies on being counted by the others for longer than they count it, or without a break after one.
func TestPresence(t *testing.T) {
	is := is.New(t)
	p := &presence{}
	check := func(anew, wantAnew bool, since, until time.Duration) {
		t.Helper()
		is.Equal(anew, wantAnew)
		at, ok := p.at(until - 1)
		is.True(ok)
		is.Equal(at, since)
		_, ok = p.at(until)
		is.True(!ok)
	}
	check(p.extend(time.Second, 2*time.Second), true, 2*time.Second, time.Second+presenceTime)
	check(p.extend(20*time.Second, 21*time.Second), false, 2*time.Second, 20*time.Second+presenceTime)
	late := 20*time.Second + presenceTime
	check(p.extend(late-time.Second, late), true, late, late-time.Second+presenceTime) // acknowledged when it had ended
	p.end()
	_, ok := p.at(late)
	is.True(!ok)
	is.True(presenceTime < memberTimeout)
}
