package kvstore_test

import (
	"context"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/connection/call"
	"primrosecourse/internal/connection/kvstore"
	"primrosecourse/internal/standin/endless"
)

// TestEndlessRelay guards against answers of another gateway that reads a store, without end or shorter than they claim: they fill the memory, hold the reader up
// beyond its call, or keep their connection.
func TestEndlessRelay(t *testing.T) {
	const many = "\xdd\xff\xff\xff\xff" // the head of a list with 4,294,967,295 elements
	const whole = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
	empty := strings.Repeat("\x80", 8_000_000)
	answers := map[string]endless.Answer{
		"claimed parts":   {First: whole + "11\r\n\r\n\x81\xa4Held\xdd\x00\x80\x00\x00", Pause: time.Hour},
		"claimed changes": {First: whole + "14\r\n\r\n\x81\xa7Changes\xdd\x00\x80\x00\x00", Pause: time.Hour},
		"empty parts":     {First: whole + "8000011\r\n\r\n\x81\xa4Held\xdd\x00\x7a\x12\x00" + empty, Pause: time.Hour},
		"empty changes":   {First: whole + "8000014\r\n\r\n\x81\xa7Changes\xdd\x00\x7a\x12\x00" + empty, Pause: time.Hour},
		"list of parts":   {First: "HTTP/1.1 200 OK\r\n\r\n\x81\xa4Held" + many, Again: "\x80"},
		"list of changes": {First: "HTTP/1.1 200 OK\r\n\r\n\x81\xa7Changes" + many, Again: "\x80"},
	}
	for kind, answer := range endless.Answers {
		answers[kind] = answer
	}
	for kind, answer := range answers {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			s, err := endless.New(answer)
			is.NoErr(err)
			defer s.Close()
			calls := call.New(call.Settings{IdleConnections: 2})
			defer calls.Close()
			relays := &kvstore.Relays{Calls: calls}
			address := s.Address().String() + "/K"
			for name, read := range map[string]func(ctx context.Context) error{
				"list":    func(ctx context.Context) error { _, err := relays.List(ctx, address); return err },
				"changes": func(ctx context.Context) error { _, err := relays.Watch(ctx, address, 1, 0); return err },
			} {
				ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				started := time.Now()
				if read(ctx) == nil {
					t.Fatalf("%s: no error", name)
				}
				cancel()
				is.True(time.Since(started) < time.Second)
				runtime.ReadMemStats(&after)
				t.Log(name, (after.TotalAlloc-before.TotalAlloc)>>20, "MiB")
				is.True(after.TotalAlloc-before.TotalAlloc < 128<<20)
				is.NoErr(s.Closed(time.Second))
			}
		})
	}
}
