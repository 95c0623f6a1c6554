package story_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"primrosecourse/internal/process/story"
)

// TestRecordedRequests guards against a story without the lines that lead to the cause of a failure in the examples of
// docs/OPERATIONS.md. The log file contains the recorded lines of the three requests of these examples among lines of others.
func TestRecordedRequests(t *testing.T) {
	for request, want := range map[string][]string{
		"b3ded75afcbbf219": {"RequestSent attempt=1", "mayHaveRun=true", "i/o timeout", "status=502"},
		"6a0dba7386193016": {"RequestSent attempt=1", "firstMs=393", "mayHaveRun=true status=200", "reason=OutcomeUnknown"},
		"3cc55d26383d6c4e": {"attempt=3", "error=refused mayHaveRun=false", "reason=RetryBudget retryAfterMs=500", "configuration=2"},
	} {
		t.Run(request, func(t *testing.T) {
			is := is.New(t)
			s, err := story.Read(request, "testdata/day.log")
			is.NoErr(err)
			is.Equal(len(s.Gaps), 0)
			var text strings.Builder
			s.WriteText(&text)
			for _, w := range want {
				is.True(strings.Contains(text.String(), w))
			}
		})
	}
}
