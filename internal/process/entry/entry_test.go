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

const streamRequest = `{"model":"M","prompt":"a story","max_tokens":7,"stream":true}`

// tokensMessage returns a message with one token for each byte of text. The tokens follow those in m.Given.
func tokensMessage(m wire.Submit, text string) wire.Tokens {
	t := wire.Tokens{Stream: m.Stream, Index: len(m.Given), Text: text}
	for _, b := range []byte(text) {
		t.Tokens = append(t.Tokens, uint32(b))
	}
	return t
}

// twoChunks returns a behaviour that sends "one " at once and "two" when release is closed. A run that is resumed on another
// endpoint sends only "two". If release is nil, the run ends when it is cancelled. Each submission sends the name of its
// endpoint to started.
func twoChunks(release chan struct{}, started chan string) *behaviour {
	return &behaviour{submit: func(ctx context.Context, name string, m wire.Submit, send func(wire.Message)) {
		send(wire.Accepted{Stream: m.Stream})
		if len(m.Given) == 0 {
			send(tokensMessage(m, "one "))
			m.Given = make([]uint32, 4) // the tokens of "one "
		}
		started <- name
		select {
		case <-release:
			send(tokensMessage(m, "two"))
			send(wire.End{Stream: m.Stream, Finish: wire.FinishStop})
		case <-ctx.Done():
			send(wire.End{Stream: m.Stream, Finish: wire.FinishCancelled})
		}
	}}
}

// TestDrain guards against a graceful shutdown that cancels a stream in progress, accepts new requests, refuses them without
// Retry-After, or is not logged.
func TestDrain(t *testing.T) {
	release, started := make(chan struct{}), make(chan string, 1)
	f := startFixture(t, twoChunks(release, started))
	response := f.post("/v1/completions", streamRequest)
	<-started
	f.shutDown()
	for f.get("/readyz") != 503 {
		continue
	}
	refused := f.post("/v1/completions", streamRequest)
	body, err := io.ReadAll(refused.Body)
	f.is.NoErr(err)
	f.is.Equal(refused.StatusCode, 503)
	f.is.Equal(refused.Header.Get("Retry-After"), "1")
	f.is.True(strings.Contains(string(body), `"outcome":"not run","reason":"Draining"`))
	close(release)
	body, err = io.ReadAll(response.Body)
	f.is.NoErr(err)
	f.is.True(strings.Contains(string(body), "two") && strings.HasSuffix(string(body), "data: [DONE]\n\n"))
	f.is.NoErr(<-f.result)
	f.is.True(f.logged(`"EntryDraining"`) && !f.logged(`"EntryCutOff"`))
}

// TestAbort guards against an abort that waits for requests in progress, and against cancelled streams that end as if they
// were complete.
func TestAbort(t *testing.T) {
	started := make(chan string, 1)
	f := startFixture(t, twoChunks(nil, started))
	response := f.post("/v1/completions", streamRequest)
	<-started
	f.shutDown()
	f.entry.Abort()
	body, err := io.ReadAll(response.Body)
	f.is.NoErr(err)
	f.is.True(strings.Contains(string(body), "event: error") && !strings.Contains(string(body), "[DONE]"))
	f.is.NoErr(<-f.result)
	f.is.True(f.logged(`"EntryCutOff" "Event"=1012 "name"="Entry1" "prompt"=1`))
}

// TestResumeAfterAgentLoss guards against missing or repeated tokens when an agent stops in the middle of a stream, over real
// TCP connections.
func TestResumeAfterAgentLoss(t *testing.T) {
	release, started := make(chan struct{}), make(chan string, 1)
	f := startFixture(t, twoChunks(release, started))
	response := f.post("/v1/completions", streamRequest)
	scanner := bufio.NewScanner(response.Body)
	first := f.dataLines(scanner, 1)
	f.is.True(strings.Contains(first[0], `"text":"one "`))
	f.stopAgent[<-started]()
	<-started // resumed on another endpoint
	close(release)
	rest := f.dataLines(scanner, 9)
	f.is.True(strings.Contains(rest[0], `"text":"two"`))
	f.is.Equal(rest[len(rest)-1], "[DONE]")
	f.is.True(f.logged(`"RequestResumed"`))
}

// TestOrderRedirectedToOwner guards against an order that does not reach the owner of its shard: the other endpoints redirect
// it to the owner, which is the last candidate.
func TestOrderRedirectedToOwner(t *testing.T) {
	owners := claim.Owners(claim.Shard("Org1", "k", 16), []string{"Orders0", "Orders1", "Orders2"})
	f := startFixture(t, &behaviour{call: func(name string, m wire.Call) wire.Message {
		if name != owners[2] {
			return wire.Refused{Stream: m.Stream, Reason: wire.ReasonNotOwner, Redirect: owners[2]}
		}
		return wire.Reply{Stream: m.Stream, Status: 201, Body: append([]byte("ran "), m.Body...), Replayed: true}
	}})
	response := f.post("/services/Orders/new", "one")
	body, err := io.ReadAll(response.Body)
	f.is.NoErr(err)
	f.is.Equal(response.StatusCode, 201)
	f.is.Equal(string(body), "ran one")
	f.is.Equal(response.Header.Get("Idempotent-Replayed"), "true")
}
