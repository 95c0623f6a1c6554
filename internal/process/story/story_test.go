package story_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/story"
)

func line(second string, machine string, id event.ID, fields string) string {
	return fmt.Sprintf(`{"time":"2026-01-01T00:00:%sZ","level":"INFO","msg":%q,"logger":%q,"Event":%d%s}`, second, id, machine, int(id), fields)
}

func write(t *testing.T, name string, lines ...string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestStory guards against lines in the wrong order, and against missing or wrong Beliefs.
func TestStory(t *testing.T) {
	is := is.New(t)
	a := write(t, "a",
		"not a line",
		line("01.0", "A", event.ConfigurationApplied, `,"version":3`),
		line("02.0", "A", event.EndpointListed, `,"endpoint":"e1","state":"Ready"`),
		line("09.0", "A", event.EndpointRemoved, `,"endpoint":"e1"`),
		"  4.2 A "+line("04.1", "A", event.RequestSent, `,"request":"r1","endpoint":"e1","attempt":1`),
		line("04.3", "A", event.RequestFailedAttempt, `,"request":"r1","endpoint":"e1","mayHaveRun":true`),
		line("04.4", "A", event.RequestDenied, `,"request":"r1","status":502`),
		line("04.4", "A", event.RequestAnswered, `,"request":"r1","status":502`))
	b := write(t, "b", line("04.2", "B", event.RequestMarked, `,"request":"r1","endpoint":"e1"`),
		line("04.2", "B", event.RequestSent, `,"request":"other","endpoint":"e1"`))
	s, err := story.Read("r1", a, b)
	is.NoErr(err)
	var names []string
	for _, l := range s.Lines {
		names = append(names, l.Machine+" "+l.Name)
	}
	is.Equal(names, []string{"A RequestSent", "B RequestMarked", "A RequestFailedAttempt", "A RequestDenied", "A RequestAnswered"})
	is.Equal(len(s.Beliefs), 2)
	is.Equal(s.Beliefs[1].Name, "EndpointListed") // not EndpointRemoved, which was logged later
	is.Equal(len(s.Gaps), 0)
	var text strings.Builder
	s.WriteText(&text)
	is.True(strings.Contains(text.String(), "status=502"))
}

// TestGaps guards against a story that reports no gap although lines are missing.
func TestGaps(t *testing.T) {
	for name, c := range map[string]struct {
		lines []string
		gap   string
	}{
		"no lines":        {nil, "no line names the request"},
		"no end":          {[]string{line("04.1", "A", event.RequestSent, `,"request":"r1","endpoint":"e1","attempt":1`)}, "no line tells its end"},
		"attempt missing": {[]string{line("04.1", "A", event.RequestSent, `,"request":"r1","endpoint":"e1","attempt":2`)}, "attempt 1 is the line of attempt 2"},
		"belief missing":  {[]string{line("04.1", "A", event.RequestSent, `,"request":"r1","endpoint":"e1","attempt":1`)}, "believed of A/e1"},
		"dropped": {[]string{line("04.1", "A", event.RequestAnswered, `,"request":"r1"`),
			line("04.9", "A", event.LogDropped, `,"lines":7`)}, "left out 7 lines"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := story.Read("r1", write(t, "log", c.lines...))
			is.NoErr(err)
			is.True(strings.Contains(strings.Join(s.Gaps, "\n"), c.gap))
		})
	}
	if _, err := story.Read("r1", "/does/not/exist"); err == nil {
		t.Error("Read returned no error for a file that does not exist")
	}
}
