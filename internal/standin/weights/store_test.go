package weights

import (
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestThirdLoadSlowsAll guards against a stand-in that hides the cost of loading on more than two servers at once.
func TestThirdLoadSlowsAll(t *testing.T) {
	for _, tc := range []struct {
		loads int
		want  time.Duration
	}{{1, 900 * time.Millisecond}, {2, 900 * time.Millisecond}, {4, 1800 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := New()
			h := s.Handler()
			start := time.Now()
			var all sync.WaitGroup
			for range tc.loads {
				all.Go(func() {
					h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/weights/Notes/v2", nil))
				})
			}
			all.Wait()
			is.Equal(s.Ledger().MostAtOnce, tc.loads)
			is.True(time.Since(start) >= tc.want*9/10)
			is.True(time.Since(start) <= tc.want*11/10)
		})
	}
}
