package registry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/quarantine"
)

// TestSharedCrashes guards against candidates that another gateway overwrites, that are not cleared, or that are kept too long.
func TestSharedCrashes(t *testing.T) {
	runRegistry(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		at := time.Now()
		for part := range uint64(3) {
			is.NoErr(f.registry.RecordParts(t.Context(), quarantine.Crash{Endpoint: "e1", At: at, Candidates: []quarantine.Candidate{{Part: part, Organisation: 1}}}))
		}
		is.NoErr(f.registry.RecordParts(t.Context(), quarantine.Crash{Endpoint: "e2", At: at, Candidates: []quarantine.Candidate{{Part: 1, Organisation: 1}}}))
		time.Sleep(time.Second)
		crashes := f.registry.Current().Crashes
		is.Equal(len(crashes), 2)
		is.Equal(len(crashes["e1"].Candidates), 3)
		is.True(crashes["e1"].At.Equal(at))
		cleared := []quarantine.Candidate{{Part: 1, Organisation: 1}}
		is.NoErr(f.registry.ClearParts(t.Context(), "e1", cleared))
		is.NoErr(f.registry.ClearParts(t.Context(), "e2", cleared))
		is.NoErr(f.registry.ClearParts(t.Context(), "e3", cleared))
		time.Sleep(time.Second)
		is.Equal(len(f.registry.Current().Crashes), 1)
		is.Equal(len(f.registry.Current().Crashes["e1"].Candidates), 2)
		time.Sleep(40 * time.Minute)
		is.Equal(len(f.registry.Current().Crashes), 0)
	})
}
