package config

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"primrosecourse/pkg/settings"
)

// DefaultWatchersPerDomain is the default number of entries that watch the platform in each failure domain.
const DefaultWatchersPerDomain = 2

// subscriptions is the number of peers that a process subscribes to, unless it needs more for BootstrapPeers.
const subscriptions = 2

// rank sorts entries by rendezvous hashing of their names with a key. The relative order of two entries does not depend
// on the other entries.
func rank(key string, entries []settings.Entry) []settings.Entry {
	weight := func(e settings.Entry) uint64 { return xxhash.Sum64String(key + "\x00" + e.Name) }
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b settings.Entry) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// byDomain returns the entries of each failure domain in rendezvous order, and the sorted names of the domains.
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

// domainWatchers returns the watchers of one failure domain, given its ranked entries.
func domainWatchers(d *settings.Deployment, ranked []settings.Entry) []settings.Entry {
	n := d.Limits.WatchersPerDomain
	if n <= 0 {
		n = DefaultWatchersPerDomain
	}
	return ranked[:min(n, len(ranked))]
}

// Watchers returns the entries of all failure domains that watch the platform.
func Watchers(d *settings.Deployment) (entries []settings.Entry) {
	ranked, domains := byDomain(d)
	for _, domain := range domains {
		entries = append(entries, domainWatchers(d, ranked[domain])...)
	}
	return entries
}

// isWatcher reports whether the named entry watches the platform for its failure domain.
func isWatcher(d *settings.Deployment, name, domain string) bool {
	ranked, _ := byDomain(d)
	return indexOf(domainWatchers(d, ranked[domain]), name) >= 0
}

// indexOf returns the index of the entry with a name, or -1 if there is none.
func indexOf(entries []settings.Entry, name string) int {
	return slices.IndexFunc(entries, func(e settings.Entry) bool { return e.Name == name })
}

// upstreams returns the peer addresses that a process may subscribe to, in order of preference. An entry prefers the
// entries that precede it in the order of its domain, so that the subscriptions of a domain lead to its watchers and
// cannot form a cycle that no new version enters.
func upstreams(d *settings.Deployment, name, domain string) (addrs []netip.AddrPort) {
	ranked, domains := byDomain(d)
	own := ranked[domain]
	var local []settings.Entry
	index := indexOf(own, name)
	switch {
	case index < 0:
		local = rank(name, own)
	case index >= len(domainWatchers(d, own)):
		local = own[:index]
	}
	// Watchers of the other domains follow. For a watcher, they start with the next domain in the order of names, wrapping
	// around, with one watcher of each domain first. For any other process, their order is random but always the same.
	domainIndex, _ := slices.BinarySearch(domains, domain)
	var remote []settings.Entry
	for i := range domains {
		other := domains[(domainIndex+i)%len(domains)]
		if other != domain {
			// Ranking by the name of the process spreads the subscriptions over the watchers of the other domain.
			remote = append(remote, rank(name, domainWatchers(d, ranked[other]))...)
		}
	}
	if index >= 0 && index < len(domainWatchers(d, own)) {
		remote = onePerDomainFirst(remote)
	} else {
		remote = rank(name, remote)
	}
	for _, e := range append(local, remote...) {
		addrs = append(addrs, e.Address)
	}
	return addrs
}

// onePerDomainFirst moves the first entry of each domain to the front and keeps the order otherwise.
func onePerDomainFirst(entries []settings.Entry) []settings.Entry {
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
