package event

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// TestCatalogueMatchesCode guards against an event that docs/events.md lacks, and against a row of the page whose number or
// name no event has.
func TestCatalogueMatchesCode(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/events.md")
	is.NoErr(err)
	rows := map[ID]string{}
	for _, m := range regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \|`).FindAllStringSubmatch(string(page), -1) {
		n, err := strconv.Atoi(m[1])
		is.NoErr(err)
		rows[ID(n)] = m[2]
	}
	for id, name := range rows {
		if id.String() != name {
			t.Errorf("docs/events.md has event %d as %s, the code as %s", int(id), name, id)
		}
	}
	unknown := regexp.MustCompile(`^ID\(`)
	for id := ID(1000); id < 6000; id++ {
		if _, listed := rows[id]; !listed && !unknown.MatchString(id.String()) {
			t.Errorf("docs/events.md lacks event %d, %s", int(id), id)
		}
	}
}
