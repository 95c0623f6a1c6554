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

// class tells the two kinds of requests apart.
type class int

const (
	long class = iota
	short
)

func (c class) String() string { return [...]string{"Long", "Short"}[c] }

// arrival is a request as its caller sends it. It is shared by all runs and never changed.
type arrival struct {
	at     time.Duration
	number int
	class  class
	org    *settings.Organisation
	model  string
	chain  []prefix.ID
	tokens int
	// prior is the number of leading prompt tokens that an earlier prompt had.
	prior  int
	answer int
	random uint64
}

// story is a shared story or style guide.
type story struct {
	org    *settings.Organisation
	tokens int
	chain  []prefix.ID
}

// workload returns the arrivals of the warm-up and the measured time, in order.
func workload(d *settings.Deployment, p *plan, seed uint64) []*arrival {
	g := &generator{d: d, p: p, random: rand.New(rand.NewPCG(seed, 1))}
	g.prepare()
	g.conversations()
	g.shorts()
	slices.SortStableFunc(g.list, func(a, b *arrival) int { return int(a.at - b.at) })
	for i, a := range g.list {
		a.number = i
	}
	return g.list
}

type generator struct {
	d      *settings.Deployment
	p      *plan
	random *rand.Rand
	list   []*arrival
	// orgs holds each organisation once for each unit of its share.
	orgs    []*settings.Organisation
	stories map[string][]*story
}

func (g *generator) prepare() {
	g.stories = make(map[string][]*story)
	for i := range g.d.Organisations {
		o := &g.d.Organisations[i]
		for range int(o.Share) {
			g.orgs = append(g.orgs, o)
		}
		n := g.p.SmallStories
		if large(o) {
			n = g.p.LargeStories
		}
		for s := range n {
			// From 16 to 48 blocks, the last one rarely full.
			tokens := (16+g.random.IntN(32))*g.p.block + g.random.IntN(g.p.block)
			st := &story{org: o, tokens: tokens}
			for b := range tokens / g.p.block {
				if b < o.SharedBlocks {
					st.chain = append(st.chain, blockID(o.Name, g.p.LongModel, 0, b))
				} else {
					st.chain = append(st.chain, blockID(o.Name, g.p.LongModel, uint64(s)+1, b))
				}
			}
			g.stories[o.Name] = append(g.stories[o.Name], st)
		}
	}
}

// conversations draws conversations from long before the run on, so that a prompt may return after a gap that is longer
// than the run. Gaps are log-normal with a median of 20 minutes and a mean of 72 minutes, cut at three days.
func (g *generator) conversations() {
	births := g.p.LongPerSecond / g.p.Turns
	end := g.p.WarmUp + g.p.Measured
	for born := -g.p.History; born < end; born += exponential(g.random, births) {
		o := g.orgs[g.random.IntN(len(g.orgs))]
		list := g.stories[o.Name]
		// Popularity falls with the square root of the rank.
		u := g.random.Float64()
		st := list[min(int(u*u*float64(len(list))), len(list)-1)]
		id, tokens, at := g.random.Uint64()|1<<63, st.tokens, born
		for {
			prior := tokens
			tokens += 40 + g.random.IntN(160)
			if at >= 0 && at < end {
				chain := st.chain
				if n := tokens / g.p.block; n > len(chain) {
					chain = slices.Clone(chain)
					for b := len(chain); b < n; b++ {
						chain = append(chain, blockID(o.Name, g.p.LongModel, id, b))
					}
				}
				g.list = append(g.list, &arrival{at: at, class: long, org: o, model: g.p.LongModel, chain: chain, tokens: tokens,
					prior: prior, answer: 80 + g.random.IntN(160), random: g.random.Uint64()})
			}
			if g.random.Float64() < 1/g.p.Turns {
				break
			}
			gap := 20 * math.Exp(1.6*g.random.NormFloat64())
			at += time.Duration(min(gap, 3*24*60) * float64(time.Minute))
			if at >= end {
				break
			}
		}
	}
}

// shorts draws short requests: three in five below a block, the others with one to three blocks that their organisation
// shares, three in four for the short model.
func (g *generator) shorts() {
	end := g.p.WarmUp + g.p.Measured
	for at := exponential(g.random, g.p.ShortPerSecond); at < end; at += exponential(g.random, g.p.ShortPerSecond) {
		o := g.orgs[g.random.IntN(len(g.orgs))]
		a := &arrival{at: at, class: short, org: o, model: g.p.ShortModel, tokens: 40 + g.random.IntN(860),
			answer: 24 + g.random.IntN(24), random: g.random.Uint64()}
		if g.random.IntN(4) == 0 {
			a.model = g.p.LongModel
		}
		if g.random.IntN(5) >= 3 {
			for b := range min(1+g.random.IntN(3), o.SharedBlocks) {
				a.chain = append(a.chain, blockID(o.Name, a.model, 0, b))
			}
			a.prior = len(a.chain) * g.p.block
			a.tokens += a.prior
		}
		g.list = append(g.list, a)
	}
}

func large(o *settings.Organisation) bool { return o.Share > 1 }

// blockID stands in for the SHA-256 of package prefix: equal content has an equal identity.
func blockID(organisation, model string, content uint64, block int) (id prefix.ID) {
	b := append([]byte(organisation+"/"+model+"/"), make([]byte, 16)...)
	binary.BigEndian.PutUint64(b[len(b)-16:], content)
	binary.BigEndian.PutUint64(b[len(b)-8:], uint64(block))
	binary.BigEndian.PutUint64(id[:8], xxhash.Sum64(b))
	binary.BigEndian.PutUint64(id[8:], xxhash.Sum64(append(b, 1)))
	return id
}

func exponential(r *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
}
