package forward

import (
	"bytes"
	"strconv"
	"testing"
)

// FuzzEvents guards against a stream whose events depend on how its bytes arrive, or come twice, and against events that are made up.
func FuzzEvents(f *testing.F) {
	for _, stream := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\nid: 2\r\nda", "id: 2\n\nid: 1\n\nid: 3\n\n", ": x\n\n\n\n", "id: x\n\nid:\n\n",
		"\n\n\r\n\r\n", "id: 1\ndata: a\n\r\n\n", "id: 9223372036854775807\n\nid: 1\n\n", "id: -5\n\nid: -4\n\n",
	} {
		f.Add([]byte(stream), uint8(3))
	}
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		if len(stream) > maxEventBytes {
			return
		}
		whole, parts := newEventSplitter(""), newEventSplitter("")
		all, err := whole.add(stream)
		if err != nil {
			t.Fatal("too long")
		}
		var joined []byte
		for rest := stream; len(rest) > 0; {
			n := min(len(rest), int(size)+1)
			complete, err := parts.add(rest[:n])
			if err != nil {
				t.Fatal("too long")
			}
			joined, rest = append(joined, complete...), rest[n:]
		}
		if !bytes.Equal(all, joined) || !bytes.Equal(whole.partial, parts.partial) || whole.lastID != parts.lastID || whole.hasEvents != parts.hasEvents {
			t.Fatalf("%q and %q, %q and %q", all, joined, whole.partial, parts.partial)
		}
		if !bytes.HasSuffix(stream, whole.partial) || len(all)+len(whole.partial) > len(stream) {
			t.Fatalf("%q and then %q of %q", all, whole.partial, stream)
		}
		// What was relayed is dropped when another endpoint sends it again.
		again := newEventSplitter("")
		again.lastNumber = whole.lastNumber
		repeated, _ := again.add(all)
		for rest := repeated; len(rest) > 0; {
			n := eventEnd(rest)
			if id, found := eventID(rest[:n]); found {
				if _, err := strconv.ParseInt(id, 10, 64); err == nil {
					t.Fatalf("%q is repeated", rest[:n])
				}
			}
			rest = rest[n:]
		}
	})
}

// BenchmarkLongEvent measures an event of the greatest length that arrives byte by byte.
func BenchmarkLongEvent(b *testing.B) {
	for b.Loop() {
		e := newEventSplitter("")
		for range maxEventBytes {
			if complete, err := e.add([]byte("x")); err != nil || len(complete) > 0 {
				b.Fatal("not one event")
			}
		}
	}
}
