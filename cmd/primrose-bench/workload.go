package main

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/settings"
)

// class is the kind of a request: a long prompt of a conversation or a short request.
type class int

const (
	long class = iota
	short
)

func (c class) String() string { return [...]string{"Long", "Short"}[c] }

// arrival is a request as its caller sends it. All runs share it, so it must not be modified.
type arrival struct {
	sentAt time.Duration // virtual time
	number int           // position among all arrivals
	class  class
	org    *settings.Organisation
	model  string
	chain  []prefix.ID // whole blocks of the prompt
	tokens int         // length of the prompt
	// seenTokens is the number of leading prompt tokens that count as the beginning of an earlier prompt: the previous prompt
	// of the conversation, or the story or shared prefix. They count even if no earlier arrival of the run has them.
	seenTokens   int
	answerTokens int
	random       uint64 // selects the entry, and serves strategies that need a random number
}

// story is the text with which all prompts of a conversation begin, such as a document or a style guide.
type story struct {
	org    *settings.Organisation
	tokens int
	chain  []prefix.ID
}

// workload returns the arrivals of the warm-up and the measured time, in the order of their times.
func workload(d *settings.Deployment, p *plan, seed uint64) []*arrival {
	g := &generator{deployment: d, plan: p, random: rand.New(rand.NewPCG(seed, 1))}
	g.addStories()
	g.addConversations()
	g.addShortRequests()
	slices.SortStableFunc(g.arrivals, func(a, b *arrival) int { return int(a.sentAt - b.sentAt) })
	for i, a := range g.arrivals {
		a.number = i
	}
	return g.arrivals
}

// generator draws the arrivals of a workload.
type generator struct {
	deployment *settings.Deployment
	plan       *plan
	random     *rand.Rand
	arrivals   []*arrival
	// orgs contains each organisation once for each whole unit of its share, so that a uniform draw follows the shares.
	orgs    []*settings.Organisation
	stories map[string][]*story
}

func (g *generator) addStories() {
	g.stories = make(map[string][]*story)
	for i := range g.deployment.Organisations {
		o := &g.deployment.Organisations[i]
		for range int(o.Share) {
			g.orgs = append(g.orgs, o)
		}
		n := g.plan.SmallStories
		if isLarge(o) {
			n = g.plan.LargeStories
		}
		for s := range n {
			// 16 to 47 full blocks, and usually a part of another one.
			tokens := (16+g.random.IntN(32))*g.plan.blockTokens + g.random.IntN(g.plan.blockTokens)
			st := &story{org: o, tokens: tokens}
			for b := range tokens / g.plan.blockTokens {
				if b < o.SharedBlocks {
					st.chain = append(st.chain, blockID(o.Name, g.plan.LongModel, 0, b))
				} else {
					st.chain = append(st.chain, blockID(o.Name, g.plan.LongModel, uint64(s)+1, b))
				}
			}
			g.stories[o.Name] = append(g.stories[o.Name], st)
		}
	}
}

// addConversations draws conversations that start up to History before the run, so that the interval between two prompts
// may be longer than the run. Intervals are log-normal with a median of 20 minutes and a mean of 72 minutes, and at most
// three days.
func (g *generator) addConversations() {
	startsPerSecond := g.plan.LongPerSecond / g.plan.Turns
	end := g.plan.WarmUp + g.plan.Measured
	for start := -g.plan.History; start < end; start += exponentialInterval(g.random, startsPerSecond) {
		o := g.orgs[g.random.IntN(len(g.orgs))]
		stories := g.stories[o.Name]
		// Popularity falls with the square root of the rank.
		u := g.random.Float64()
		st := stories[min(int(u*u*float64(len(stories))), len(stories)-1)]
		id, tokens, sentAt := g.random.Uint64()|1<<63, st.tokens, start
		for {
			seenTokens := tokens
			tokens += 40 + g.random.IntN(160)
			if sentAt >= 0 && sentAt < end {
				chain := st.chain
				if n := tokens / g.plan.blockTokens; n > len(chain) {
					chain = slices.Clone(chain)
					for b := len(chain); b < n; b++ {
						chain = append(chain, blockID(o.Name, g.plan.LongModel, id, b))
					}
				}
				g.arrivals = append(g.arrivals, &arrival{sentAt: sentAt, class: long, org: o, model: g.plan.LongModel,
					chain: chain, tokens: tokens, seenTokens: seenTokens, answerTokens: 80 + g.random.IntN(160), random: g.random.Uint64()})
			}
			if g.random.Float64() < 1/g.plan.Turns {
				break
			}
			minutes := 20 * math.Exp(1.6*g.random.NormFloat64())
			sentAt += time.Duration(min(minutes, 3*24*60) * float64(time.Minute))
			if sentAt >= end {
				break
			}
		}
	}
}

// addShortRequests draws short requests. Three in five are shorter than a block, and the others have a prefix of one to
// three blocks, but at most SharedBlocks, that is common to the requests of their organisation to the same model. Three in four go
// to the short model.
func (g *generator) addShortRequests() {
	end := g.plan.WarmUp + g.plan.Measured
	for sentAt := exponentialInterval(g.random, g.plan.ShortPerSecond); sentAt < end; sentAt += exponentialInterval(g.random,
		g.plan.ShortPerSecond) {
		o := g.orgs[g.random.IntN(len(g.orgs))]
		a := &arrival{sentAt: sentAt, class: short, org: o, model: g.plan.ShortModel, tokens: 40 + g.random.IntN(860),
			answerTokens: 24 + g.random.IntN(24), random: g.random.Uint64()}
		if g.random.IntN(4) == 0 {
			a.model = g.plan.LongModel
		}
		if g.random.IntN(5) >= 3 {
			for b := range min(1+g.random.IntN(3), o.SharedBlocks) {
				a.chain = append(a.chain, blockID(o.Name, a.model, 0, b))
			}
			a.seenTokens = len(a.chain) * g.plan.blockTokens
			a.tokens += a.seenTokens
		}
		g.arrivals = append(g.arrivals, a)
	}
}

func isLarge(o *settings.Organisation) bool { return o.Share > 1 }

// blockID replaces the SHA-256 identities of package prefix: blocks of equal content have equal identities.
func blockID(organisation, model string, content uint64, block int) (id prefix.ID) {
	b := append([]byte(organisation+"/"+model+"/"), make([]byte, 16)...)
	binary.BigEndian.PutUint64(b[len(b)-16:], content)
	binary.BigEndian.PutUint64(b[len(b)-8:], uint64(block))
	binary.BigEndian.PutUint64(id[:8], xxhash.Sum64(b))
	binary.BigEndian.PutUint64(id[8:], xxhash.Sum64(append(b, 1)))
	return id
}

// exponentialInterval draws the time between two events of a Poisson process.
func exponentialInterval(r *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
}
