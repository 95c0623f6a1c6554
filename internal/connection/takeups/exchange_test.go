package takeups

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"primrosecourse/internal/connection/call"
	"primrosecourse/internal/standin/endless"
	"primrosecourse/pkg/builds"
	"primrosecourse/pkg/site"
)

// peers lists gateways.
type peers struct {
	list    []site.Gateway
	unknown bool
}

func (p *peers) Peers() []site.Gateway { return p.list }
func (p *peers) KnowsPeers() bool      { return !p.unknown }

// site of gateways, of which the first one asks.
type fleet struct {
	asking *Exchange
	peers  *peers
	others []*Exchange
	calls  []*atomic.Int64
	// hold delays the answers of a gateway.
	hold []atomic.Int64
}

// plan returns a plan of the given number that assigns all streams to a build.
func plan(number int, build string) (p *builds.Plan) {
	for i := range number {
		p, _, _ = builds.Next(p, builds.Supply{"S": {fmt.Sprint(build, number-1-i): 1}})
	}
	return p
}

func book(now time.Time, p *builds.Plan) *builds.Book {
	b := &builds.Book{}
	b.Restore(now, nil)
	b.SetPlan(now, p)
	return b
}

// newFleet starts a gateway and n others, all of which know the same plan.
func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{peers: &peers{}, hold: make([]atomic.Int64, n)}
	var port uint16
	for i := range n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", 2+i, port))
		if err != nil {
			t.Fatal(err)
		}
		address := netip.MustParseAddrPort(l.Addr().String())
		port = address.Port()
		other := &Exchange{Book: book(time.Now(), plan(1, "b")), Log: logr.Discard()}
		calls := &atomic.Int64{}
		mux := http.NewServeMux()
		mux.HandleFunc(Path, func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			time.Sleep(time.Duration(f.hold[i].Load()))
			other.ServeHTTP(w, r)
		})
		server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(l) }()
		t.Cleanup(func() {
			_ = server.Close()
			<-ended
		})
		f.others, f.calls = append(f.others, other), append(f.calls, calls)
		f.peers.list = append(f.peers.list, site.Gateway{Address: netip.AddrPortFrom(address.Addr(), 1)})
	}
	f.asking = ask(t, f.peers, port)
	return f
}

// ask runs an exchange that asks gateways.
func ask(t *testing.T, p *peers, port uint16) *Exchange {
	t.Helper()
	e := &Exchange{Peers: p, Port: port, Calls: call.New(call.Settings{IdleConnections: 2}), Book: book(time.Now(), plan(1, "b")), Log: logr.Discard()}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		e.Calls.Close()
	})
	return e
}

func stream(id uint64) builds.Stream {
	return builds.Stream{Service: "S", ID: id, Key: id, KeyKnown: true, Until: time.Now().Add(8 * time.Second)}
}

func begin(b *builds.Book, id uint64) {
	b.Begin(time.Now(), stream(id))
	b.Brought(id)
}

// resolve returns what follows for a gateway whose plan is settled and not confirmed.
func resolve(a builds.Answers) (build string, k builds.Knowledge) {
	f := builds.Finding{Build: "planned", Knowledge: builds.Planned, Plan: 1, Settled: true, Named: true}
	return f.Resolve(&a)
}

// TestAsk guards against a question whose answers do not tell which build began a stream, or count a gateway as one that knows nothing though it did
// not answer.
func TestAsk(t *testing.T) {
	for _, c := range []struct {
		name      string
		change    func(f *fleet)
		build     string
		knowledge builds.Knowledge
		answered  int
		long      bool
	}{
		{name: "none began it", change: func(*fleet) {}, build: "planned", knowledge: builds.Planned, answered: 3},
		{name: "one began it", change: func(f *fleet) { begin(f.others[1].Book, 7) }, build: "b0", knowledge: builds.Told},
		{name: "one began it, another does not answer", change: func(f *fleet) { begin(f.others[1].Book, 7); f.hold[2].Store(int64(2 * callTime)) },
			build: "b0", knowledge: builds.Told},
		{name: "one does not answer", change: func(f *fleet) { f.hold[2].Store(int64(2 * callTime)) }, knowledge: builds.Behind, answered: 2, long: true},
		{name: "one is gone", change: func(f *fleet) { f.peers.list[0].Address = netip.MustParseAddrPort("127.0.0.99:1") }, knowledge: builds.Behind, answered: 2},
		{name: "one knows a later plan", change: func(f *fleet) { f.others[2].Book.SetPlan(time.Now(), plan(2, "b")) }, knowledge: builds.Behind, answered: 3},
		{name: "one has restarted", change: func(f *fleet) { f.others[2].Book.Restore(time.Now(), &builds.Report{Number: 1}) }, knowledge: builds.Behind, answered: 3},
		{name: "one has not read its report", change: func(f *fleet) { f.others[2].Book = &builds.Book{} }, knowledge: builds.Behind, answered: 3},
		{name: "one is in doubt", change: func(f *fleet) { f.others[2].Book.Doubt(time.Now(), stream(7)) }, knowledge: builds.Behind, answered: 3},
		{name: "others not known", change: func(f *fleet) { f.peers.unknown = true }, knowledge: builds.Behind, answered: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 3)
			c.change(f)
			started := time.Now()
			a := f.asking.Ask(t.Context(), 7)
			took := time.Since(started)
			build, k := resolve(a)
			is.Equal(build, c.build)
			is.Equal(k, c.knowledge)
			is.Equal(a.Others, 3)
			if k != builds.Told {
				is.Equal(a.Answered, c.answered)
			}
			is.True(took < callTime+200*time.Millisecond)
			is.Equal(took > callTime, c.long)
		})
	}
}

// TestQuestionsShareCalls guards against a call to each gateway for each of the streams that are taken up at the same time, and against answers
// about another stream than the one that was asked for.
func TestQuestionsShareCalls(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	begin(f.others[0].Book, 5)
	f.others[1].Book.SetPlan(time.Now(), plan(2, "c"))
	begin(f.others[1].Book, 6)
	type result struct {
		id    uint64
		build string
	}
	results := make(chan result, 100)
	for id := range uint64(cap(results)) {
		go func() {
			build, _ := resolve(f.asking.Ask(t.Context(), id))
			results <- result{id, build}
		}()
	}
	for range cap(results) {
		r := <-results
		is.Equal(r.build, map[uint64]string{5: "b0", 6: "c0"}[r.id])
	}
	is.True(f.calls[0].Load() <= 10)
}

// TestCallsAreLimited guards against an outage of the store in which the take-ups of all gateways fill the links between them.
func TestCallsAreLimited(t *testing.T) {
	is := is.New(t)
	e := &Exchange{}
	e.init()
	list := make([]site.Gateway, 200)
	for i := range list {
		list[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
	}
	e.Peers = &peers{list: list}
	start := time.Now()
	calls := 0
	for now := start; now.Before(start.Add(10 * time.Second)); {
		r, wait := e.newRound(now)
		is.True(len(r.peers) <= maxPeers)
		is.True(wait <= maxHold)
		is.True(len(r.peers) == 0 || len(r.peers) == maxPeers) // parts would leave no whole round
		is.Equal(r.others, len(list))
		calls += len(r.peers)
		now = now.Add(max(wait, gatherTime))
	}
	is.True(calls <= messagesBurst+11*messagesPerSecond)
	is.True(calls >= messagesBurst)
}

// TestNoOthers guards against take-ups that are refused at the only gateway while the store does not answer, and against a gateway that takes itself
// for the only one since it has never listed the others.
func TestNoOthers(t *testing.T) {
	is := is.New(t)
	_, k := resolve(ask(t, &peers{}, 1).Ask(t.Context(), 7))
	is.Equal(k, builds.Planned)
	_, k = resolve(ask(t, &peers{unknown: true}, 1).Ask(t.Context(), 7))
	is.Equal(k, builds.Behind)
}

// TestStoppedExchange guards against a question that waits for ever, or counts as answered, when the gateway stops.
func TestStoppedExchange(t *testing.T) {
	is := is.New(t)
	e := &Exchange{Peers: &peers{}, Log: logr.Discard()}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	is.NoErr(e.Run(ctx))
	<-e.Done()
	_, k := resolve(e.Ask(context.Background(), 7))
	is.Equal(k, builds.Behind)
}

// TestHostileAnswers guards against answers without end, or shorter than they claim, that fill the memory or hold a take-up up, and against one that
// counts as an answer although it is not valid.
func TestHostileAnswers(t *testing.T) {
	const many = "\xdd\xff\xff\xff\xff" // the head of a list with 4,294,967,295 elements
	answers := map[string]endless.Answer{
		"claimed IDs":  {First: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\n\x81\xa3IDs" + many, Pause: time.Hour},
		"list of IDs":  {First: "HTTP/1.1 200 OK\r\n\r\n\x81\xa3IDs" + many, Again: "\x01"},
		"other length": {First: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 7\r\n\r\n\x81\xa3IDs\x91\x07", Pause: time.Hour},
		"other status": {First: "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 1\r\n\r\n\x80", Pause: time.Hour},
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
			e := ask(t, &peers{list: []site.Gateway{{Address: s.Address()}}}, s.Address().Port())
			started := time.Now()
			a := e.Ask(t.Context(), 7)
			is.True(time.Since(started) < callTime+200*time.Millisecond)
			is.Equal(a.Answered, 0)
			_, k := resolve(a)
			is.Equal(k, builds.Behind)
		})
	}
}

// TestHostileQuestions guards against questions that are too long or not valid and are answered.
func TestHostileQuestions(t *testing.T) {
	encode := func(n int) []byte {
		b, err := msgpack.Marshal(&question{IDs: make([]uint64, n)})
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	for name, c := range map[string]struct {
		body   []byte
		status int
	}{
		"most streams":     {encode(maxStreams), 200},
		"too many streams": {encode(maxStreams + 1), 400},
		"too long":         {[]byte("\x81\xa3IDs\x91" + strings.Repeat("\xc0", maxQuestionBytes)), 400},
		"claimed list":     {[]byte("\x81\xa3IDs\xdd\xff\xff\xff\xff"), 400},
		"no question":      {[]byte("\xc1"), 400},
		"empty":            {nil, 400},
	} {
		t.Run(name, func(t *testing.T) {
			e := &Exchange{Book: book(time.Now(), plan(1, "b")), Log: logr.Discard()}
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, Path, bytes.NewReader(c.body)))
			if w.Code != c.status {
				t.Errorf("%d, want %d", w.Code, c.status)
			}
		})
	}
}
