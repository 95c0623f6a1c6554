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

// TestDiff guards against a delta that produces other content, and against a malformed delta that is applied without
// an error.
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

// TestChainSince guards against a delta chain that skips a version or grows beyond its limits.
func TestChainSince(t *testing.T) {
	is := is.New(t)
	var c chain
	text := []byte("v")
	texts := [][]byte{text}
	for v := range uint64(2 * maxChainLength) {
		next := append(bytes.Clone(text), byte(v))
		c = c.add(delta{Base: v + 1, Version: v + 2, Sum: xxhash.Sum64(next), Hunk: diff(text, next)})
		text = next
		texts = append(texts, text)
	}
	is.Equal(len(c), maxChainLength)
	last := uint64(len(texts))
	is.Equal(c.since(1), nil)
	is.Equal(c.since(last), nil)
	for v := last - maxChainLength; v < last; v++ {
		got, deltas, err := applyDeltas(texts[v-1], v, c.since(v), last)
		is.NoErr(err)
		is.Equal(got, text)
		is.Equal(uint64(len(deltas)), last-v)
	}
	_, _, err := applyDeltas(texts[0], 1, c.since(last-1), last)
	is.True(err != nil)
	c = c.add(delta{Base: last + 1, Version: last + 2})
	is.Equal(len(c), 1) // a delta whose base is not the last version of the chain starts a new chain
	c = c.add(delta{Base: last + 2, Version: last + 3, Hunk: []hunk{{Literal: make([]byte, maxChainBytes+1)}}})
	is.Equal(len(c), 0)
}

// TestDeltaPropagation guards against whole contents being sent to peers that have the preceding version, and against a
// malformed delta that corrupts the configuration or stops later versions from propagating.
func TestDeltaPropagation(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 4, "A")
		defer f.stop()
		f.publish(1)
		var nodes []*node
		for i := range 4 {
			nodes = append(nodes, f.startEntry(i))
		}
		nodes = append(nodes, f.startAgent("Agent", "A"))
		f.waitForVersion(1, propagationLimit, nodes...)
		version := f.publish(2)
		f.waitForVersion(version, propagationLimit, nodes...)
		for _, n := range nodes {
			is.Equal(n.Push().Content, nodes[0].Push().Content)
			is.Equal(n.Current().Deployment.Policy.LinkWeight, 2.0)
		}
		push := nodes[4].PushSince(1)
		is.Equal(push.Base, uint64(1)) // the agent received the version as a delta and can relay it
		is.Equal(nodes[4].PushSince(0).Base, uint64(0))

		// A delta with a wrong checksum is rejected, and the whole content is requested.
		bad, err := msgpack.Marshal([]delta{{Base: version, Version: version + 1, Sum: 1}})
		is.NoErr(err)
		agent := nodes[4]
		is.True(agent.StartFetch(version + 1))
		accepted, err := agent.Offer(wire.ConfigPush{Version: version + 1, Base: version, Content: bad})
		is.True(!accepted && err != nil)
		is.Equal(agent.DeltaBase(version+1), uint64(0))
		is.True(agent.StartFetch(version + 1))
		accepted, err = agent.Offer(wire.ConfigPush{Version: version + 1, Base: version - 1, Content: bad})
		is.True(!accepted && err == nil) // its base is another version
		is.Equal(agent.Version(), version)
		time.Sleep(requestRetryInterval)
		f.waitForVersion(f.publish(3), propagationLimit, nodes...)
	})
}
