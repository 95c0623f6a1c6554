package entry_test

import (
	"bufio"
	"context"
	"io"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"primrosecourse/pkg/claim"
	"primrosecourse/pkg/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const streamed = `{"model":"M","prompt":"a story","max_tokens":7,"stream":true}`

func tokens(m wire.Submit, text string) wire.Tokens {
	t := wire.Tokens{Stream: m.Stream, Index: len(m.Given), Text: text}
	for _, b := range []byte(text) {
		t.Tokens = append(t.Tokens, uint32(b))
	}
	return t
}

// twoParts answers "one " at once and "two" when release is closed, wherever the run is resumed.
func twoParts(release chan struct{}, began chan string) *behaviour {
	return &behaviour{submit: func(ctx context.Context, name string, m wire.Submit, send func(wire.Message)) {
		send(wire.Accepted{Stream: m.Stream})
		if len(m.Given) == 0 {
			send(tokens(m, "one "))
			m.Given = make([]uint32, 4)
		}
		began <- name
		select {
		case <-release:
			send(tokens(m, "two"))
			send(wire.End{Stream: m.Stream, Finish: wire.FinishStop})
		case <-ctx.Done():
			send(wire.End{Stream: m.Stream, Finish: wire.FinishCancelled})
		}
	}}
}

// Guards against a graceful shutdown that cuts off a stream, takes new work, or does not say so.
func TestDrain(t *testing.T) {
	release, began := make(chan struct{}), make(chan string, 1)
	s := start(t, twoParts(release, began))
	response := s.post("/v1/completions", streamed)
	<-began
	s.stop()
	for s.get("/readyz") != 503 {
		continue
	}
	refused := s.post("/v1/completions", streamed)
	body, err := io.ReadAll(refused.Body)
	s.is.NoErr(err)
	s.is.Equal(refused.StatusCode, 503)
	s.is.Equal(refused.Header.Get("Retry-After"), "1")
	s.is.True(strings.Contains(string(body), `"outcome":"not run","reason":"Draining"`))
	close(release)
	body, err = io.ReadAll(response.Body)
	s.is.NoErr(err)
	s.is.True(strings.Contains(string(body), "two") && strings.HasSuffix(string(body), "data: [DONE]\n\n"))
	s.is.NoErr(<-s.ended)
	s.is.True(s.logged(`"EntryDraining"`) && !s.logged(`"EntryCutOff"`))
}

// Guards against a stop that waits for ever, and against streams that it ends as if they were whole.
func TestAbort(t *testing.T) {
	began := make(chan string, 1)
	s := start(t, twoParts(nil, began))
	response := s.post("/v1/completions", streamed)
	<-began
	s.stop()
	s.entry.Abort()
	body, err := io.ReadAll(response.Body)
	s.is.NoErr(err)
	s.is.True(strings.Contains(string(body), "event: error") && !strings.Contains(string(body), "[DONE]"))
	s.is.NoErr(<-s.ended)
	s.is.True(s.logged(`"EntryCutOff" "Event"=1012 "name"="Entry1" "prompt"=1`))
}

// Guards against a short or repeated answer when an agent dies in mid-stream, over real connections.
func TestLostAgent(t *testing.T) {
	release, began := make(chan struct{}), make(chan string, 1)
	s := start(t, twoParts(release, began))
	response := s.post("/v1/completions", streamed)
	scanner := bufio.NewScanner(response.Body)
	first := s.lines(scanner, 1)
	s.is.True(strings.Contains(first[0], `"text":"one "`))
	s.kill[<-began]()
	<-began // resumed elsewhere
	close(release)
	rest := s.lines(scanner, 9)
	s.is.True(strings.Contains(rest[0], `"text":"two"`))
	s.is.Equal(rest[len(rest)-1], "[DONE]")
	s.is.True(s.logged(`"RequestResumed"`))
}

// Guards against an order that does not reach the owner of its shard.
func TestOrderFollowsOwner(t *testing.T) {
	owners := claim.Owners(claim.Shard("Org1", "k", 16), []string{"Orders0", "Orders1", "Orders2"})
	s := start(t, &behaviour{call: func(name string, m wire.Call) wire.Message {
		if name != owners[2] {
			return wire.Refused{Stream: m.Stream, Reason: wire.ReasonNotOwner, Redirect: owners[2]}
		}
		return wire.Reply{Stream: m.Stream, Status: 201, Body: append([]byte("ran "), m.Body...), Replayed: true}
	}})
	response := s.post("/services/Orders/new", "one")
	body, err := io.ReadAll(response.Body)
	s.is.NoErr(err)
	s.is.Equal(response.StatusCode, 201)
	s.is.Equal(string(body), "ran one")
	s.is.Equal(response.Header.Get("Idempotent-Replayed"), "true")
}
