package forward_test

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestsBeyondStatedRate guards against an endpoint that gets more requests than it stated that it takes, and against requests that are
// held or fail although other endpoints take them.
func TestRequestsBeyondStatedRate(t *testing.T) {
	is := is.New(t)
	var f *fixture
	limited := map[string]bool{"e0": true, "e1": true}
	f = newFixture(t, func(_ int, id string, r *http.Request, c net.Conn) bool {
		header := "Id: " + id + "\r\nSeal: s\r\n"
		if limited[r.Header.Get("Endpoint")] {
			header += "Rate: 2\r\n"
		}
		return writeAnswer(c, 200, header, "good")
	})
	const seconds = 4
	end := time.Now().Add(seconds * time.Second)
	var callers sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for range 4 {
		callers.Go(func() {
			for time.Now().Before(end) {
				status, _, err := f.send(t, http.MethodPost, "/never/1")
				mu.Lock()
				if err == nil {
					statuses[status]++
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	counts := map[string]int{}
	for _, e := range f.arrivals {
		counts[e]++
	}
	for e := range limited {
		// The platform's bound for four seconds: one and a half times the rate, and five.
		if allowed := 1.5*2*seconds + 5; float64(counts[e]) > allowed || counts[e] < seconds {
			t.Errorf("%s got %d requests, allowed %.0f", e, counts[e], allowed)
		}
	}
	is.Equal(statuses[200], len(f.arrivals)) // each was answered
	is.Equal(len(statuses), 1)               // none was refused
}

// TestRefusalBeyondStatedRates guards against requests that are held in vain if every endpoint gets as much as it takes.
func TestRefusalBeyondStatedRates(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool {
		return writeAnswer(c, 200, "Id: "+id+"\r\nSeal: s\r\nRate: 0.5\r\n", "good")
	})
	refused := 0
	for range 200 {
		sentAt := time.Now()
		status, body, err := f.send(t, http.MethodPost, "/never/1", "Deadline: 200")
		is.NoErr(err)
		if status == 200 {
			continue
		}
		refused++
		is.Equal(status, 503)
		is.True(strings.Contains(body, `"reason":"RateLimited","outcome":"not run"`))
		is.True(time.Since(sentAt) < 100*time.Millisecond) // at most a quarter of its time, and some for scheduling
	}
	is.True(refused > 100)
	is.True(f.arrivalCount() == 200-refused)
}

// TestRequestsToLeavingEndpoint guards against requests to an endpoint that has said that it leaves, whatever the store says of it.
func TestRequestsToLeavingEndpoint(t *testing.T) {
	for name, leaves := range map[string]func(id string, c net.Conn) bool{
		"on a success": func(id string, c net.Conn) bool {
			return writeAnswer(c, 200, "Id: "+id+"\r\nSeal: s\r\nLeaving: 1\r\n", "good")
		},
		"on an error": func(id string, c net.Conn) bool {
			return writeAnswer(c, 500, "Id: "+id+"\r\nSeal: s\r\nLeaving: 1\r\n", "bad")
		},
		"on a refusal": func(id string, c net.Conn) bool {
			return writeAnswer(c, 503, "Id: "+id+"\r\nNot-Run: 1\r\nLeaving: 1\r\n", "")
		},
		"on a stream": func(id string, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: s\r\nLeaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
			chunk(c, "id: 1\ndata: a\n\n")
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, func(_ int, id string, r *http.Request, c net.Conn) bool {
				if r.Header.Get("Endpoint") == "e0" {
					return leaves(id, c)
				}
				return writeOK(c, id, "good")
			})
			for range 60 {
				_, _, _ = f.send(t, http.MethodPost, "/always/1")
			}
			arrivals := 0
			for _, e := range f.arrivals {
				if e == "e0" {
					arrivals++
				}
			}
			is.Equal(arrivals, 1)
			// A new incarnation begins without it.
			before := len(f.arrivals)
			f.snapshot.Endpoints["S"][0].StartedAt = time.Now()
			f.handler.Table.SetEndpoints(time.Now(), nil, f.snapshot.Endpoints["S"])
			for range 60 {
				_, _, _ = f.send(t, http.MethodPost, "/always/1")
			}
			is.True(slices.Contains(f.arrivals[before:], "e0"))
		})
	}
}

// TestOnlyLeavingEndpoints guards against a request to an endpoint that leaves when no other is left: it would be cut off.
func TestOnlyLeavingEndpoints(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool {
		return writeAnswer(c, 200, "Id: "+id+"\r\nSeal: s\r\nLeaving: 1\r\n", "good")
	})
	for i := range 6 {
		status, body, err := f.send(t, http.MethodPost, "/never/1")
		is.NoErr(err)
		if i < 3 {
			is.Equal(status, 200)
			continue
		}
		is.Equal(status, 503)
		is.Equal(body, "{\"reason\":\"NoEndpoint\",\"outcome\":\"not run\"}\n")
	}
	is.Equal(f.arrivalCount(), 3)
}

// TestPausedEndpoint guards against requests to an endpoint within the time for which it wants none, and against one that is left out after it.
func TestPausedEndpoint(t *testing.T) {
	is := is.New(t)
	const pause = 400 * time.Millisecond
	var mu sync.Mutex
	var refusedAt time.Time
	f := newFixture(t, func(_ int, id string, r *http.Request, c net.Conn) bool {
		if r.Header.Get("Endpoint") != "e0" {
			return writeOK(c, id, "good")
		}
		mu.Lock()
		defer mu.Unlock()
		if refusedAt.IsZero() {
			refusedAt = time.Now()
			return writeAnswer(c, 503, "Id: "+id+"\r\nNot-Run: 1\r\nPause: 400\r\n", "")
		}
		if age := time.Since(refusedAt); age < pause {
			t.Errorf("request %v after a refusal for %v", age, pause)
		}
		return writeOK(c, id, "back")
	})
	back := false
	for started := time.Now(); !back && time.Since(started) < 5*time.Second; {
		status, body, err := f.send(t, http.MethodPost, "/never/1")
		is.NoErr(err)
		is.Equal(status, 200) // the others serve meanwhile
		back = body == "back"
	}
	is.True(back)
}

// TestAllEndpointsPause guards against requests that are held, or sent in vain, while every endpoint wants none.
func TestAllEndpointsPause(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool {
		return writeAnswer(c, 503, "Id: "+id+"\r\nNot-Run: 1\r\nPause: 2000\r\n", "")
	})
	_, _, err := f.send(t, http.MethodPost, "/never/1")
	is.NoErr(err)
	is.Equal(f.arrivalCount(), 3)
	for range 10 {
		sentAt := time.Now()
		status, body, err := f.send(t, http.MethodPost, "/never/1")
		is.NoErr(err)
		is.Equal(status, 503)
		is.Equal(body, "{\"reason\":\"Paused\",\"outcome\":\"not run\"}\n")
		is.True(time.Since(sentAt) < 500*time.Millisecond)
	}
	is.Equal(f.arrivalCount(), 3)
}
