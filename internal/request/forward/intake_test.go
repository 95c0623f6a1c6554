package forward_test

import (
	"net"
	"net/http"
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
