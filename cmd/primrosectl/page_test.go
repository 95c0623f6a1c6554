package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"primrosecourse/internal/process/operator"
)

// TestGuideMatchesCommand guards against a guide or help text that shows commands or flags that do not exist or lacks an exit
// code, and against commands whose help text has no example.
func TestGuideMatchesCommand(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/operators.md")
	is.NoErr(err)
	lines := regexp.MustCompile(`(?m)^ *(primrosectl .*)$`).FindAllStringSubmatch(string(page), -1)
	for _, c := range commands {
		for _, example := range c.examples {
			lines = append(lines, []string{"", example})
		}
	}
	shown := map[string]bool{}
	for _, m := range lines {
		line, _, _ := strings.Cut(m[1], " > ")
		inv, err := parse(strings.Fields(line)[1:])
		if err != nil {
			t.Errorf("%s: %v", line, err)
			continue
		}
		shown[inv.command.name] = true
	}
	for _, c := range commands {
		is.True(shown[c.name])
		is.True(len(c.examples) > 0)
	}
	for code := operator.Done; code <= operator.NotInForce; code++ {
		row := fmt.Sprintf("\n| %d | %s | ", code, code)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/operators.md lacks the table row %q", row)
		}
		is.True(strings.Contains(exitCodes, fmt.Sprintf("\n  %d  ", code)))
	}
}
