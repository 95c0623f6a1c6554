package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one reason why a configuration is rejected.
type Problem struct {
	// File and Line are the position of the problem. They are empty and 0 in the problems that Check returns.
	File string
	Line int
	// Section is the section header without brackets, such as Endpoint "Model1".
	Section string
	// Key is empty if the problem concerns the whole section or line.
	Key string
	// Text describes the problem, and Allowed the values or forms that are allowed.
	Text    string
	Allowed string
}

// String returns the problem in one line that starts with file and line, in the format of compiler errors.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	}
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "%s: ", p.Key)
	}
	b.WriteString(p.Text)
	if p.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", p.Allowed)
	}
	return b.String()
}

// Problems is the error of Load, LoadUpdate, Parse and Check: all problems, sorted by file, line, section and key.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// err sorts p and returns it as an error, or nil if p is empty.
func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Section, b.Section),
			cmp.Compare(a.Key, b.Key))
	})
	return p
}
