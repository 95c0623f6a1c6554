package config

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"primrosecourse/pkg/settings"
)

// DefaultWatchersPerDomain is the number of entries of a failure domain that watch the platform.
const DefaultWatchersPerDomain = 2

// subscriptions is the number of peers that a process takes its configuration from.
const subscriptions = 2

// rank orders names by rendezvous hashing with a key: the order of two names depends on no other name.
func rank(key string, entries []settings.Entry) []settings.Entry {
	weight := func(e settings.Entry) uint64 { return xxhash.Sum64String(key + "\x00" + e.Name) }
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b settings.Entry) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// byDomain returns the entries of each failure domain in the order in which they watch, and the names of the domains.
func byDomain(d *settings.Deployment) (ranked map[string][]settings.Entry, domains []string) {
	ranked = map[string][]settings.Entry{}
	for _, e := range d.Entries {
		ranked[e.FailureDomain] = append(ranked[e.FailureDomain], e)
	}
	for name := range ranked {
		ranked[name] = rank(name, ranked[name])
		domains = append(domains, name)
	}
	slices.Sort(domains)
	return ranked, domains
}

func watchers(d *settings.Deployment, ranked []settings.Entry) []settings.Entry {
	n := d.Limits.WatchersPerDomain
	if n <= 0 {
		n = DefaultWatchersPerDomain
	}
	return ranked[:min(n, len(ranked))]
}

// Watchers returns the entries that watch the platform, of all failure domains.
func Watchers(d *settings.Deployment) (entries []settings.Entry) {
	ranked, domains := byDomain(d)
	for _, domain := range domains {
		entries = append(entries, watchers(d, ranked[domain])...)
	}
	return entries
}

// watches tells whether the entry is one of those that watch the platform for their failure domain.
func watches(d *settings.Deployment, name, domain string) bool {
	ranked, _ := byDomain(d)
	return position(watchers(d, ranked[domain]), name) >= 0
}

func position(entries []settings.Entry, name string) int {
	return slices.IndexFunc(entries, func(e settings.Entry) bool { return e.Name == name })
}

// parents returns the addresses that a process subscribes to, best first. Entries follow the ones before them in their
// domain, so that the subscriptions of a domain lead to its watchers and never in a circle that hears from nobody.
func parents(d *settings.Deployment, name, domain string) (addrs []netip.AddrPort) {
	ranked, domains := byDomain(d)
	own := ranked[domain]
	var order []settings.Entry
	place := position(own, name)
	switch {
	case place < 0:
		order = rank(name, own)
	case place >= len(watchers(d, own)):
		order = own[:place]
	}
	// The watchers of the domains that follow in the order of names, which closes a ring over all domains.
	next, _ := slices.BinarySearch(domains, domain)
	var far []settings.Entry
	for i := range domains {
		other := domains[(next+i)%len(domains)]
		if other != domain {
			// Which watcher of the other domain comes first differs from process to process.
			far = append(far, rank(name, watchers(d, ranked[other]))...)
		}
	}
	if place >= 0 && place < len(watchers(d, own)) {
		far = oneEach(far)
	} else {
		far = rank(name, far)
	}
	for _, e := range append(order, far...) {
		addrs = append(addrs, e.Address)
	}
	return addrs
}

// oneEach moves the first entry of each domain to the front.
func oneEach(entries []settings.Entry) []settings.Entry {
	var first, rest []settings.Entry
	seen := map[string]bool{}
	for _, e := range entries {
		if seen[e.FailureDomain] {
			rest = append(rest, e)
			continue
		}
		seen[e.FailureDomain] = true
		first = append(first, e)
	}
	return append(first, rest...)
}
