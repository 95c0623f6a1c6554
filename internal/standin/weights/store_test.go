package weights

import (
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestLoadTimeByConcurrency guards against a stand-in that does not slow down when more than two engines load at the
// same time.
func TestLoadTimeByConcurrency(t *testing.T) {
	for _, tc := range []struct {
		loads int
		want  time.Duration
	}{{1, 900 * time.Millisecond}, {2, 900 * time.Millisecond}, {4, 1800 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := New()
			h := s.Handler()
			start := time.Now()
			var wg sync.WaitGroup
			for range tc.loads {
				wg.Go(func() {
					h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/weights/Notes/v2", nil))
				})
			}
			wg.Wait()
			is.Equal(s.Ledger().MostAtOnce, tc.loads)
			is.True(time.Since(start) >= tc.want*9/10)
			is.True(time.Since(start) <= tc.want*11/10)
		})
	}
}
