package watchrelay

import (
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/connection/call"
	"primrosecourse/internal/standin/endless"
)

// TestEndlessAnswers guards against answers of another gateway, without end or shorter than they claim, that fill the memory, hold the reading up, or keep their
// connection: the store is read instead, and the other gateway is not asked again for a while.
func TestEndlessAnswers(t *testing.T) {
	const many = "\xdd\xff\xff\xff\xff" // the head of a list with 4,294,967,295 elements
	const whole = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
	answers := map[string]endless.Answer{
		"claimed names":  {First: whole + "12\r\n\r\n\x81\xa5Names\xdd\x02\x00\x00\x00", Pause: time.Hour},
		"claimed values": {First: whole + "13\r\n\r\n\x81\xa6Values\xdd\x02\x00\x00\x00", Pause: time.Hour},
		"list of names":  {First: "HTTP/1.1 200 OK\r\n\r\n\x81\xa5Names" + many, Again: "\xa1a"},
		"list of values": {First: "HTTP/1.1 200 OK\r\n\r\n\x81\xa6Values" + many, Again: "\xc4\x01x"},
		"one long value": {First: "HTTP/1.1 200 OK\r\n\r\n\x81\xa6Values\x91\xc6\xff\xff\xff\xff", Again: strings.Repeat("x", 1000)},
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
			calls := call.New(call.Settings{IdleConnections: 4})
			defer calls.Close()
			direct := newStore()
			direct.put("a", "1")
			r := &Relay{Leaders: &leaders{before: []netip.Addr{s.Address().Addr()}}, Port: s.Address().Port(), Calls: calls, Log: logr.Discard()}
			k := r.Source("K", maxAge, &path{store: direct})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			changes, _, err := k.List(t.Context())
			is.NoErr(err)
			is.Equal(len(changes), 1) // the store's
			is.True(time.Since(started) < 2*callMargin)
			runtime.ReadMemStats(&after)
			is.True(after.TotalAlloc-before.TotalAlloc < 16*maxAnswerBytes)
			is.True(!r.mayAsk(s.Address().Addr()))
			is.NoErr(s.Closed(time.Second))
		})
	}
}
