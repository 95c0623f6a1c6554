package config

import (
	"bytes"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"primrosecourse/pkg/wire"
)

// TestDiff guards against a difference that leads to other content, and a malformed one that does harm.
func TestDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SampledFrom([]string{"{a}", "{bb}", "{ccc}", ",", "{}", "{d", "[", "]"})
		text := rapid.Custom(func(t *rapid.T) []byte {
			var b []byte
			for _, s := range rapid.SliceOfN(part, 0, 30).Draw(t, "parts") {
				b = append(b, s...)
			}
			return b
		})
		base, next := text.Draw(t, "base"), text.Draw(t, "next")
		d := delta{Base: 1, Version: 2, Sum: xxhash.Sum64(next), Hunk: diff(base, next)}
		got, err := patch(base, d)
		if err != nil || !bytes.Equal(got, next) {
			t.Fatalf("patch: %q, %v, want %q", got, err, next)
		}
		for i := range d.Hunk {
			d.Hunk[i].Offset += rapid.IntRange(-50, 50).Draw(t, "offset")
			d.Hunk[i].Length += rapid.IntRange(-50, 50).Draw(t, "length")
		}
		if got, err := patch(base, d); err == nil && !bytes.Equal(got, next) {
			t.Fatalf("malformed patch gave %q", got)
		}
	})
}

// TestChainSince guards against a chain that skips a version or grows without bound.
func TestChainSince(t *testing.T) {
	is := is.New(t)
	var c chain
	text := []byte("v")
	texts := [][]byte{text}
	for v := range uint64(2 * maxChain) {
		next := append(bytes.Clone(text), byte(v))
		c = c.add(delta{Base: v + 1, Version: v + 2, Sum: xxhash.Sum64(next), Hunk: diff(text, next)})
		text = next
		texts = append(texts, text)
	}
	is.Equal(len(c), maxChain)
	last := uint64(len(texts))
	is.Equal(c.since(1), nil)
	is.Equal(c.since(last), nil)
	for v := last - maxChain; v < last; v++ {
		got, deltas, err := patchAll(texts[v-1], v, c.since(v), last)
		is.NoErr(err)
		is.Equal(got, text)
		is.Equal(uint64(len(deltas)), last-v)
	}
	_, _, err := patchAll(texts[0], 1, c.since(last-1), last)
	is.True(err != nil)
	c = c.add(delta{Base: last + 1, Version: last + 2})
	is.Equal(len(c), 1) // a version that came whole breaks the chain
	c = c.add(delta{Base: last + 2, Version: last + 3, Hunk: []hunk{{Literal: make([]byte, maxChainBytes+1)}}})
	is.Equal(len(c), 0)
}

// TestDelta guards against whole contents between peers that know the version before, and against a delta that replaces
// the configuration by something else or stops its spread.
func TestDelta(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 4, "A")
		defer s.stop()
		s.accept(1)
		var nodes []*node
		for i := range 4 {
			nodes = append(nodes, s.entry(i))
		}
		nodes = append(nodes, s.agent("Agent", "A"))
		s.reach(1, inForce, nodes...)
		version := s.accept(2)
		s.reach(version, inForce, nodes...)
		for _, n := range nodes {
			is.Equal(n.Push().Content, nodes[0].Push().Content)
			is.Equal(n.Current().Deployment.Policy.LinkWeight, 2.0)
		}
		push := nodes[4].PushSince(1)
		is.Equal(push.Base, uint64(1)) // the agent got the version as a delta and knows it
		is.Equal(nodes[4].PushSince(0).Base, uint64(0))

		// A delta that does not lead where it says is refused, and the whole content is asked for.
		bad, err := msgpack.Marshal([]delta{{Base: version, Version: version + 1, Sum: 1}})
		is.NoErr(err)
		agent := nodes[4]
		is.True(agent.Wants(version + 1))
		accepted, err := agent.Offer(wire.ConfigPush{Version: version + 1, Base: version, Content: bad})
		is.True(!accepted && err != nil)
		is.Equal(agent.Base(version+1), uint64(0))
		is.True(agent.Wants(version + 1))
		accepted, err = agent.Offer(wire.ConfigPush{Version: version + 1, Base: version - 1, Content: bad})
		is.True(!accepted && err == nil) // it is for another version
		is.Equal(agent.Version(), version)
		time.Sleep(wantAgain)
		s.reach(s.accept(3), inForce, nodes...)
	})
}
