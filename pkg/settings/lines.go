package settings

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"
)

var (
	headerPattern = regexp.MustCompile(`^\[\s*([A-Za-z][A-Za-z0-9]*)(?:\s+"([^"]*)")?\s*\]\s*(?:[#;].*)?$`)
	keyPattern    = regexp.MustCompile(`^([A-Za-z][A-Za-z0-9]*)\s*=(.*)$`)
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
)

const (
	allowedLine = `[Section], [Section "Name"], Key = Value, # comment`
	allowedName = "1 to 63 letters, digits, dots, underscores and hyphens, led by a letter or digit"
)

// sectionID identifies a section: kind Endpoint and name Model1 for [Endpoint "Model1"].
type sectionID struct{ kind, name string }

// String returns the section header without brackets.
func (id sectionID) String() string {
	if id.name == "" {
		return id.kind
	}
	return fmt.Sprintf("%s %q", id.kind, id.name)
}

// keyID identifies a key of a section.
type keyID struct {
	section sectionID
	key     string
}

// lineIndex maps the sections and keys of one file to their line numbers, which the INI library does not record. It also
// contains problems that the library does not report: a repeated section or key, of which the library uses the last one,
// and values over several lines.
type lineIndex struct {
	file     string
	sections map[sectionID]int
	keys     map[keyID]int
	order    []sectionID
	problems Problems
	// validLines is the input of the INI library: the headers and keys of the file in which no problem was found.
	validLines bytes.Buffer
}

// indexLines indexes content line by line. Lines with a problem, and the keys below a rejected section header, are left out
// of validLines, so that the rest of the file can still be checked.
func indexLines(file string, content []byte) *lineIndex {
	x := &lineIndex{file: file, sections: map[sectionID]int{}, keys: map[keyID]int{}}
	content = bytes.TrimPrefix(content, []byte("\xef\xbb\xbf"))
	// current is the section that the line is in. It is nil before the first section and inside a rejected one.
	var current *sectionID
	rejected := false
	for i, raw := range strings.Split(string(content), "\n") {
		number, line := i+1, strings.TrimSpace(raw)
		if text := invalidCharacters(line); text != "" {
			x.addProblem(number, "", "", text, "UTF-8 text without control characters")
			continue
		}
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			current = x.addHeader(number, line)
			rejected = current == nil
		default:
			if current == nil && rejected {
				continue
			}
			x.addKey(number, line, current)
		}
	}
	return x
}

// invalidCharacters returns the text of the problem if line is not UTF-8 or has a control character other than a tab, and
// "" otherwise.
func invalidCharacters(line string) string {
	if !utf8.ValidString(line) {
		return "line is not valid UTF-8"
	}
	for _, r := range line {
		if r != '\t' && unicode.IsControl(r) {
			return fmt.Sprintf("line has the control character %U", r)
		}
	}
	return ""
}

func (x *lineIndex) addProblem(line int, section, key, text, allowed string) {
	x.problems = append(x.problems,
		Problem{File: x.file, Line: line, Section: section, Key: key, Text: text, Allowed: allowed})
}

// addHeader adds the section of a header line and returns its ID, or nil if the header is rejected.
func (x *lineIndex) addHeader(number int, line string) *sectionID {
	m := headerPattern.FindStringSubmatch(line)
	if m == nil {
		x.addProblem(number, "", "", "malformed section header", allowedLine)
		return nil
	}
	id := sectionID{kind: m[1], name: m[2]}
	kind, known := sectionKinds[id.kind]
	named := strings.Contains(line, `"`) && id.name != ""
	switch {
	case !known:
		x.addProblem(number, id.String(), "", "unknown section", allowedSections())
		return nil
	case kind.named() && !named:
		x.addProblem(number, id.String(), "", "section needs a name", fmt.Sprintf("[%s \"Name\"]", id.kind))
		return nil
	case !kind.named() && named:
		x.addProblem(number, id.String(), "", "section takes no name", fmt.Sprintf("[%s]", id.kind))
		return nil
	case named && !namePattern.MatchString(id.name):
		x.addProblem(number, id.String(), "", "malformed name", allowedName)
		return nil
	}
	if first, ok := x.sections[id]; ok {
		x.addProblem(number, id.String(), "", fmt.Sprintf("duplicate section, first at line %d", first),
			"each section once per file")
		return nil
	}
	x.sections[id] = number
	x.order = append(x.order, id)
	fmt.Fprintf(&x.validLines, "[%s]\n", id)
	return &id
}

// addKey adds the key of a line in the section current, which is nil outside a section.
func (x *lineIndex) addKey(number int, line string, current *sectionID) {
	section := ""
	if current != nil {
		section = current.String()
	}
	m := keyPattern.FindStringSubmatch(line)
	if m == nil {
		// The problem does not quote the line, since it may contain a credential that was pasted here by mistake.
		x.addProblem(number, section, "", "malformed line", allowedLine)
		return
	}
	key, value := m[1], strings.TrimSpace(m[2])
	if current == nil {
		x.addProblem(number, "", key, "key outside a section", allowedLine)
		return
	}
	rules := sectionKinds[current.kind].keys
	if _, known := rules[key]; !known {
		x.addProblem(number, section, key, "unknown key", allowedKeys(current.kind))
		return
	}
	id := keyID{section: *current, key: key}
	if first, ok := x.keys[id]; ok {
		x.addProblem(number, section, key, fmt.Sprintf("duplicate key, first at line %d", first), "each key once per section")
		return
	}
	x.keys[id] = number
	switch {
	case value == "" || value[0] == '#' || value[0] == ';':
		x.addProblem(number, section, key, "value is missing", rules[key].allowed())
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		x.addProblem(number, section, key, "values over several lines are not supported", rules[key].allowed())
	default:
		fmt.Fprintf(&x.validLines, "%s = %s\n", key, value)
	}
}
