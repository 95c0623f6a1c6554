package wire

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// connPair returns the two ends of an in-memory connection.
func connPair(t *testing.T) (a, b *Conn) {
	t.Helper()
	x, y := net.Pipe()
	a, b = NewConn(x), NewConn(y)
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, b
}

// TestRoundTrip guards against a message that is not equal after encoding and decoding, such as one with a zero duration
// or a nil list.
func TestRoundTrip(t *testing.T) {
	a, b := connPair(t)
	for _, m := range []Message{
		Hello{Protocol: 1, Name: "Entry1", FailureDomain: "South", Incarnation: 1 << 63, ConfigVersion: 7},
		Goodbye{Reason: "other protocol"},
		Submit{Stream: 3, Prompt: []uint32{1, 2}, Given: []uint32{9}, Timeout: time.Second, Fingerprint: 1<<64 - 1},
		Accepted{Stream: 3, CachedTokens: 2, Load: LoadState{State: StateWarm, Running: 1}},
		Refused{Stream: 3, Outcome: OutcomeUnknown, Reason: ReasonBusy, RetryAfter: time.Minute},
		Tokens{Stream: 3, Index: 4, Tokens: []uint32{65}, Text: "A"},
		End{Stream: 3, Finish: FinishCrashed, Detail: "engine restarted"},
		Cancel{Stream: 3},
		Call{Stream: 4, Body: []byte{0, 1}, IdempotencyKey: "k"},
		Reply{Stream: 4, Status: 201, Body: []byte("x"), Replayed: true},
		Ping{Stream: 1}, Load{Stream: 1}, ConfigPush{Version: 2, Content: []byte("{}")}, ConfigWant{Version: 1},
		Mark{Fingerprint: 5, Endpoints: []string{"Model1"}, Remaining: time.Hour},
	} {
		t.Run(m.MessageType().String(), func(t *testing.T) {
			is := is.New(t)
			sent := make(chan error, 1)
			go func() { sent <- a.Write(m) }()
			got, err := b.Read()
			is.NoErr(err)
			is.NoErr(<-sent)
			is.Equal(got, m)
		})
	}
}

// TestReadRejectsMalformedFrames guards against bytes of a faulty peer that crash the reader or that make it allocate
// memory without bound.
func TestReadRejectsMalformedFrames(t *testing.T) {
	frame := func(n uint32, body ...byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, n), body...)
	}
	for _, tc := range []struct {
		name string
		sent []byte
		want error
	}{
		{"closed between frames", nil, io.EOF},
		{"truncated length", []byte{0, 0}, io.ErrUnexpectedEOF},
		{"empty frame", frame(0), ErrMalformed},
		{"oversized frame", frame(MaxFrameBytes + 1), ErrFrameTooLarge},
		{"truncated body", frame(100, byte(TypeHello), 1), io.ErrUnexpectedEOF},
		{"unknown type", frame(2, 200, 1), ErrUnknownType},
		{"malformed body", frame(3, byte(TypeHello), 0xc1, 0xff), ErrMalformed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			x, y := net.Pipe()
			c := NewConn(y)
			defer c.Close()
			go func() {
				_, _ = x.Write(tc.sent)
				x.Close()
			}()
			if _, err := c.Read(); !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
		})
	}
}

// TestWriteRejectsOversizedMessage guards against sending a message that the peer must reject, which would break the
// connection.
func TestWriteRejectsOversizedMessage(t *testing.T) {
	is := is.New(t)
	a, b := connPair(t)
	is.True(errors.Is(a.Write(Reply{Body: make([]byte, MaxFrameBytes)}), ErrFrameTooLarge))
	go func() { _ = a.Write(Cancel{Stream: 1}) }()
	m, err := b.Read()
	is.NoErr(err)
	is.Equal(m, Cancel{Stream: 1})
}

func BenchmarkWriteTokens(b *testing.B) {
	x, y := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, y) }()
	c := NewConn(x)
	defer c.Close()
	m := Tokens{Stream: 1, Tokens: []uint32{104, 101, 108, 108, 111}, Text: "hello"}
	b.ReportAllocs()
	for range b.N {
		if err := c.Write(m); err != nil {
			b.Fatal(err)
		}
	}
}
