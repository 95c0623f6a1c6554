package tiering

import (
	"slices"
	"sync"
	"time"
)

// Links finds out which stores deliver late, from the first tokens of prompts whose parts were fetched there. It answers the load of a
// link that has become slow: transfers from its store queue, prompts wait for parts that their engine would have read sooner, and runs
// of all kinds wait behind them. All gateways together know within about a second; one alone sees too few fetches.
//
// The delay of a store is how much later than expected first tokens came after fetches from it, less what is usual: the same for the median
// of the stores, and for prompts without a fetch, which the load of the engines causes. It is forgotten after a while without fetches, so that a store that is avoided is tried again.
// The zero value is ready for use. It is safe for concurrent use.
type Links struct {
	mu    sync.Mutex
	own   []linkSample
	peers map[string]peerLinks
	// delays is what Delays returned last, at delaysAt.
	delays   map[string]time.Duration
	delaysAt time.Time
}

// LinkReport sums up the delays of the first tokens after fetches from a store.
type LinkReport struct {
	// Sum is the sum of Count delays.
	Sum   time.Duration
	Count int
}

type linkSample struct {
	at    time.Time
	store string
	late  time.Duration
}

type peerLinks struct {
	receivedAt time.Time
	reports    map[string]LinkReport
}

const (
	// NoFetch stands for prompts without a fetch.
	NoFetch = ""
	// linkMemory is how long a delay counts.
	linkMemory = 2 * time.Second
	// minLinkSamples is the number of fetches from which a store is judged.
	minLinkSamples = 3
	// minLinkDelay, and half of what is usual, is the delay below which a store counts as sound: the pace of the engines differs by as
	// much.
	minLinkDelay = 80 * time.Millisecond
	// delaysPeriod is how long a result of Delays is used again.
	delaysPeriod = 50 * time.Millisecond
	// maxLinkSamples bounds the samples that are kept, and maxLinkDelay a single one: later first tokens have other causes.
	maxLinkSamples = 512
	maxLinkDelay   = 2 * time.Second
)

// Observe records how much later than expected, or sooner if negative, the first token of a prompt came of which parts were fetched from
// a store, or none for NoFetch.
func (l *Links) Observe(now time.Time, store string, late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if len(l.own) < maxLinkSamples {
		l.own = append(l.own, linkSample{at: now, store: store, late: min(maxLinkDelay, max(-maxLinkDelay, late))})
	}
}

// expire drops the samples and reports that no longer count. The caller must hold mu.
func (l *Links) expire(now time.Time) {
	old := 0
	for old < len(l.own) && now.Sub(l.own[old].at) >= linkMemory {
		old++
	}
	l.own = append(l.own[:0], l.own[old:]...)
	for peer, p := range l.peers {
		if now.Sub(p.receivedAt) >= linkMemory {
			delete(l.peers, peer)
		}
	}
}

// SetPeer records what another gateway, or group of gateways, reports.
func (l *Links) SetPeer(now time.Time, peer string, reports map[string]LinkReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers == nil {
		l.peers = map[string]peerLinks{}
	}
	l.peers[peer] = peerLinks{receivedAt: now, reports: reports}
}

// Reports returns what this gateway and the named others observed.
func (l *Links) Reports(now time.Time, peers map[string]bool) map[string]LinkReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum(now, func(peer string) bool { return peers[peer] })
}

// sum adds up this gateway's samples and the reports of some others. The caller must hold mu.
func (l *Links) sum(now time.Time, include func(peer string) bool) map[string]LinkReport {
	l.expire(now)
	sums := map[string]LinkReport{}
	for _, s := range l.own {
		sums[s.store] = sums[s.store].add(LinkReport{Sum: s.late, Count: 1})
	}
	for peer, p := range l.peers {
		if include(peer) {
			for store, r := range p.reports {
				sums[store] = sums[store].add(r)
			}
		}
	}
	return sums
}

func (r LinkReport) add(other LinkReport) LinkReport {
	return LinkReport{Sum: r.Sum + other.Sum, Count: r.Count + max(0, other.Count)}
}

func (r LinkReport) mean() time.Duration {
	if r.Count == 0 {
		return 0
	}
	return r.Sum / time.Duration(r.Count)
}

// Delays returns the stores that deliver late, and by how much, as of at most 50 ms ago. The result must not be changed.
func (l *Links) Delays(now time.Time) map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.delays != nil && now.Sub(l.delaysAt) < delaysPeriod {
		return l.delays
	}
	sums := l.sum(now, func(string) bool { return true })
	usual := max(0, sums[NoFetch].mean(), medianStore(sums))
	delays := map[string]time.Duration{}
	for store, r := range sums {
		if late := r.mean() - usual; store != NoFetch && r.Count >= minLinkSamples && late >= max(minLinkDelay, usual/2) {
			delays[store] = late
		}
	}
	l.delays, l.delaysAt = delays, now
	return delays
}

// medianStore returns the median of the mean delays of the stores that can be judged, 0 if there are none.
func medianStore(sums map[string]LinkReport) time.Duration {
	var means []time.Duration
	for store, r := range sums {
		if store != NoFetch && r.Count >= minLinkSamples {
			means = append(means, r.mean())
		}
	}
	if len(means) == 0 {
		return 0
	}
	slices.Sort(means)
	return means[(len(means)-1)/2]
}

// readingWeight is how much the time of reading counts against that of a fetch: it is time of the engine, for which other prompts wait.
const readingWeight = 2

// Worthwhile reports whether a fetch, which the delay of its store holds up, costs less than reading the part does on an engine that reads a
// number of tokens a second.
func Worthwhile(p Part, s *Store, tokenBytes int, tokensPerSecond float64, delay time.Duration) bool {
	if delay <= 0 || tokensPerSecond <= 0 {
		return true
	}
	fetch := FetchTime([]Part{p}, []Action{{Fetch: s}}, tokenBytes) + delay
	return fetch <= time.Duration(readingWeight*float64(p.Tokens)/tokensPerSecond*float64(time.Second))
}
