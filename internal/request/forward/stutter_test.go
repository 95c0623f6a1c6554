package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// stutter is what a stutterer does to about half of its responses.
type stutter uint8

const (
	// copyAtOnce repeats a response right after it, copyLate as the next response of the connection is due. cutAtOnce and cutLate repeat only a
	// part of it.
	copyAtOnce stutter = iota
	copyLate
	cutAtOnce
	cutLate
	// startAgain breaks a response off and sends it whole after that.
	startAgain
	// interim sends an interim response before it, surplus other bytes after it.
	interim
	surplus
	stutters
)

func (s stutter) String() string {
	return [...]string{"copy at once", "late copy", "cut copy at once", "late cut copy", "start again", "interim", "surplus"}[s]
}

// run is what an endpoint made of a request.
type run struct {
	status int
	body   string
	after  int // the event after which a stream was to resume
}

// stutterer is a group of endpoints that repeat and cut responses. Its callers use each path once.
type stutterer struct {
	seed  uint64
	kinds []stutter
	// unframed makes some responses end with the connection.
	unframed bool

	mu   sync.Mutex
	runs map[string][]run // by path
	late map[net.Conn]string
}

// streamLength is the number of events of a stream.
const streamLength = 6

// answer implements answerFunc.
func (s *stutterer) answer(n int, id string, r *http.Request, c net.Conn) bool {
	rng := rand.New(rand.NewPCG(s.seed, uint64(n)))
	if rng.IntN(8) == 0 {
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
	}
	response, keep := s.response(rng, n, id, r)
	// What follows a body without a length is a part of it, unless it is a whole copy.
	kind := s.kinds[rng.IntN(len(s.kinds))]
	sound := rng.IntN(2) == 0 || !keep && (kind == surplus || kind == cutAtOnce)
	s.mu.Lock()
	before := s.late[c]
	delete(s.late, c)
	s.mu.Unlock()
	if before != "" {
		_, _ = io.WriteString(c, before)
		time.Sleep(time.Duration(rng.IntN(2)) * time.Millisecond)
	}
	if !sound {
		response = s.stutter(rng, kind, c, response)
	}
	_, _ = io.WriteString(c, response)
	return keep
}

func (s *stutterer) stutter(rng *rand.Rand, kind stutter, c net.Conn, response string) string {
	cut := response[:rng.IntN(len(response))]
	switch kind {
	case copyAtOnce:
		return response + response
	case cutAtOnce:
		return response + cut
	case startAgain:
		return cut + response
	case interim:
		return "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + response
	case surplus:
		return response + []string{"x", "\r\n", "HTTP/1.1 ", "HTTP/1.1 200 OK\r\n\r\n"}[rng.IntN(4)]
	case copyLate, cutLate:
		if kind == copyLate {
			cut = response
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.late[c] = cut
	}
	return response
}

// response returns a response and records its run, unless it is a refusal. It reports whether the connection goes on.
func (s *stutterer) response(rng *rand.Rand, n int, id string, r *http.Request) (response string, keep bool) {
	header := []string{"Date: Mon, 07 Dec 2026 23:00:00 GMT", "Seal: s" + strconv.Itoa(n)}
	if id != "" {
		header = slices.Insert(header, rng.IntN(3), "Id: "+id)
	}
	status, body, after := http.StatusOK, "", 0
	switch kind := rng.IntN(10); {
	case kind == 0:
		status, body, header = http.StatusServiceUnavailable, "busy", header[:len(header)-1]
		header = append(header, "Not-Run: 1")
		if rng.IntN(2) == 0 {
			header = []string{"Not-Run: 1"}
		}
	case kind == 1:
		status = http.StatusInternalServerError
	case strings.HasPrefix(r.URL.Path, "/stream/"), strings.HasPrefix(r.URL.Path, "/resume/"):
		after, _ = strconv.Atoi(r.Header.Get("After"))
		for i := after + 1; i <= streamLength; i++ {
			body += fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, r.URL.Path, n)
		}
	}
	if body == "" {
		length := rng.IntN(200)
		if rng.IntN(10) == 0 {
			length = 300_000 // relayed as it arrives
		}
		body = fmt.Sprintf("%s %d %s.", r.URL.Path, n, strings.Repeat("x", length))
	}
	if status != http.StatusServiceUnavailable {
		s.mu.Lock()
		s.runs[r.URL.Path] = append(s.runs[r.URL.Path], run{status, body, after})
		s.mu.Unlock()
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s\r\n", status, http.StatusText(status), strings.Join(header, "\r\n"))
	switch framing := rng.IntN(5); {
	case framing == 0 && s.unframed:
		return head + "\r\n" + body, false
	case framing <= 2:
		split := rng.IntN(len(body)-1) + 1
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", split, body[:split], len(body)-split, body[split:]), true
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), true
}

// check returns what is wrong with a response that a caller got for a path, empty if nothing is. err is the error with which it ended.
func (s *stutterer) check(path string, status int, body string, sealed bool, err error) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.runs[path]
	if !strings.HasPrefix(path, "/always/") && !strings.HasPrefix(path, "/resume/") && len(runs) > 1 {
		return fmt.Sprintf("ran %d times", len(runs))
	}
	switch {
	case err != nil:
		// A copy may have begun before the response was broken off.
		own, _, _ := strings.Cut(body, "HTTP/1.1 ")
		isOwn := func(r run) bool { return r.status == status && strings.HasPrefix(r.body, own) }
		if !slices.ContainsFunc(runs, isOwn) && !s.continues(runs, body, false) {
			return "part of a response is not its own"
		}
		return ""
	case !sealed && status == http.StatusServiceUnavailable && len(runs) > 0:
		return "said not to have run"
	case !sealed && (status >= 500 || status == http.StatusServiceUnavailable):
		return ""
	case status == http.StatusOK && strings.HasPrefix(body, "id: "):
		if !s.continues(runs, body, true) {
			return "stream is not of one run and its continuations"
		}
		return ""
	}
	for _, r := range runs {
		if r.status == status && r.body == body {
			return ""
		}
	}
	return "response is that of no run"
}

// continues reports whether a stream consists of the events of one run, and of runs that were to go on after the last one before.
func (s *stutterer) continues(runs []run, body string, whole bool) bool {
	last := 0
	for last < streamLength && body != "" {
		found := false
		for _, r := range runs {
			for end := streamLength; r.status == http.StatusOK && r.after == last && end > last && !found; end-- {
				// The events of the run up to and including end.
				part := r.body
				if i := strings.Index(part, fmt.Sprintf("id: %d\n", end+1)); i >= 0 {
					part = part[:i]
				}
				if rest, ok := strings.CutPrefix(body, part); ok {
					body, last, found = rest, end, true
				}
			}
		}
		if !found {
			return false
		}
	}
	return body == "" && (last == streamLength || !whole)
}

// callers sends requests over kept connections, some of them at the same time, and returns how many were answered by endpoints.
func (s *stutterer) callers(t *testing.T, f *fixture, requests int, ids bool) (answered int) {
	var callers sync.WaitGroup
	var mu sync.Mutex
	const parallel = 4
	for caller := range parallel {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(s.seed, uint64(1000+caller)))
			var c net.Conn
			var br *bufio.Reader
			for i := range requests / parallel {
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", f.addr); err != nil {
						t.Error(err)
						return
					}
					br = bufio.NewReader(c)
				}
				path := fmt.Sprintf("/%s/%d-%d", []string{"never", "always", "stream", "resume"}[rng.IntN(4)], caller, i)
				header := ""
				if ids {
					header = fmt.Sprintf("Id: r%d-%d\r\n", caller, i)
				}
				_ = c.SetDeadline(time.Now().Add(3 * time.Second))
				sent := strings.Repeat("b", []int{0, 10, 50_000}[rng.IntN(3)])
				_, _ = io.WriteString(c, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nDeadline: 300\r\n%sContent-Length: %d\r\n\r\n%s", path, header, len(sent), sent))
				response, err := http.ReadResponse(br, nil)
				var body []byte
				status, sealed := 0, false
				if err == nil {
					body, err = io.ReadAll(response.Body)
					status, sealed = response.StatusCode, response.Header.Get("Seal") != ""
				}
				if wrong := s.check(path, status, string(body), sealed, err); wrong != "" {
					s.mu.Lock()
					t.Errorf("seed %d, %s: %s: %d %.500q, %v; runs %.500q", s.seed, path, wrong, status, body, err, fmt.Sprint(s.runs[path]))
					s.mu.Unlock()
				}
				if err == nil && sealed {
					mu.Lock()
					answered++
					mu.Unlock()
				}
				if err != nil || response.Close || br.Buffered() > 0 {
					_ = c.Close()
					c = nil
				}
			}
			if c != nil {
				_ = c.Close()
			}
		})
	}
	callers.Wait()
	return answered
}

// TestStutteringEndpoints guards against callers that get an answer which is not their own, not whole, or of two runs, from endpoints that
// repeat and cut responses. PRIMROSE_SEED is the first seed, PRIMROSE_SEEDS the number of seeds, PRIMROSE_REQUESTS that of the requests of each.
func TestStutteringEndpoints(t *testing.T) {
	number := func(name string, value int) int {
		if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
			return n
		}
		return value
	}
	first, seeds, requests := number("PRIMROSE_SEED", 1), number("PRIMROSE_SEEDS", 1), number("PRIMROSE_REQUESTS", 40)
	kinds, all := map[string][]stutter{}, []stutter(nil)
	for kind := range stutters {
		kinds[kind.String()], all = []stutter{kind}, append(all, kind)
	}
	kinds["all"] = all
	for name, kinds := range kinds {
		for _, how := range []string{"", ", unframed", ", without IDs", ", hedged", ", one endpoint"} {
			t.Run(name+how, func(t *testing.T) {
				t.Parallel()
				answered := 0
				for seed := range seeds {
					s := &stutterer{seed: uint64(first + seed), kinds: kinds, unframed: how == ", unframed", runs: map[string][]run{}, late: map[net.Conn]string{}}
					f := newFixture(t, s.answer)
					switch how {
					case ", hedged":
						enableHedges(f.handler, 1, time.Millisecond)
					case ", one endpoint":
						f.oneEndpoint()
					}
					answered += s.callers(t, f, requests, how != ", without IDs")
				}
				t.Logf("%d seeds from %d: endpoints answered %d of %d requests", seeds, first, answered, seeds*requests)
			})
		}
	}
}
