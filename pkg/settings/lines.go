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
	headerLine = regexp.MustCompile(`^\[\s*([A-Za-z][A-Za-z0-9]*)(?:\s+"([^"]*)")?\s*\]\s*(?:[#;].*)?$`)
	keyLine    = regexp.MustCompile(`^([A-Za-z][A-Za-z0-9]*)\s*=(.*)$`)
	namePart   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
)

const (
	allowedLine = `[Section], [Section "Name"], Key = Value, # comment`
	allowedName = "1 to 63 letters, digits, dots, underscores and hyphens, led by a letter or digit"
)

// sectionID identifies a section: kind Endpoint and name Model1 for [Endpoint "Model1"].
type sectionID struct{ kind, name string }

// String returns the header without brackets.
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

// lineIndex holds the line numbers of the sections and keys of one file, which the INI library does not keep. It also
// finds what the library passes over in silence: a repeated section or key (the library keeps the last one) and
// values over several lines.
type lineIndex struct {
	file     string
	sections map[sectionID]int
	keys     map[keyID]int
	order    []sectionID
	problems Problems
	// clean is the file reduced to the lines in the index, for the library.
	clean bytes.Buffer
}

// indexLines reads content line by line. Lines with a problem are left out of clean, so that the rest of the file can
// still be checked.
func indexLines(file string, content []byte) *lineIndex {
	x := &lineIndex{file: file, sections: map[sectionID]int{}, keys: map[keyID]int{}}
	content = bytes.TrimPrefix(content, []byte("\xef\xbb\xbf"))
	// open is nil before the first section and inside a rejected one.
	var open *sectionID
	rejected := false
	for i, raw := range strings.Split(string(content), "\n") {
		number, line := i+1, strings.TrimSpace(raw)
		if text := badCharacters(line); text != "" {
			x.add(number, "", "", text, "UTF-8 text without control characters")
			continue
		}
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			open = x.header(number, line)
			rejected = open == nil
		default:
			if open == nil && rejected {
				continue
			}
			x.key(number, line, open)
		}
	}
	return x
}

func badCharacters(line string) string {
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

func (x *lineIndex) add(line int, section, key, text, allowed string) {
	x.problems = append(x.problems,
		Problem{File: x.file, Line: line, Section: section, Key: key, Text: text, Allowed: allowed})
}

// header returns the section that a header line opens, or nil if it is rejected.
func (x *lineIndex) header(number int, line string) *sectionID {
	m := headerLine.FindStringSubmatch(line)
	if m == nil {
		x.add(number, "", "", "malformed section header", allowedLine)
		return nil
	}
	id := sectionID{kind: m[1], name: m[2]}
	kind, known := sectionKinds[id.kind]
	named := strings.Contains(line, `"`) && id.name != ""
	switch {
	case !known:
		x.add(number, id.String(), "", "unknown section", allowedSections())
		return nil
	case kind.named() && !named:
		x.add(number, id.String(), "", "section needs a name", fmt.Sprintf("[%s \"Name\"]", id.kind))
		return nil
	case !kind.named() && named:
		x.add(number, id.String(), "", "section takes no name", fmt.Sprintf("[%s]", id.kind))
		return nil
	case named && !namePart.MatchString(id.name):
		x.add(number, id.String(), "", "malformed name", allowedName)
		return nil
	}
	if first, ok := x.sections[id]; ok {
		x.add(number, id.String(), "", fmt.Sprintf("duplicate section, first at line %d", first),
			"each section once per file")
		return nil
	}
	x.sections[id] = number
	x.order = append(x.order, id)
	fmt.Fprintf(&x.clean, "[%s]\n", id)
	return &id
}

func (x *lineIndex) key(number int, line string, open *sectionID) {
	section := ""
	if open != nil {
		section = open.String()
	}
	m := keyLine.FindStringSubmatch(line)
	if m == nil {
		// The line is not quoted: it may hold a credential that was pasted here.
		x.add(number, section, "", "malformed line", allowedLine)
		return
	}
	key, value := m[1], strings.TrimSpace(m[2])
	if open == nil {
		x.add(number, "", key, "key outside a section", allowedLine)
		return
	}
	rules := sectionKinds[open.kind].keys
	if _, known := rules[key]; !known {
		x.add(number, section, key, "unknown key", allowedKeys(open.kind))
		return
	}
	id := keyID{section: *open, key: key}
	if first, ok := x.keys[id]; ok {
		x.add(number, section, key, fmt.Sprintf("duplicate key, first at line %d", first), "each key once per section")
		return
	}
	x.keys[id] = number
	switch {
	case value == "" || value[0] == '#' || value[0] == ';':
		x.add(number, section, key, "value is missing", rules[key].allowed())
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		x.add(number, section, key, "values over several lines are not supported", rules[key].allowed())
	default:
		fmt.Fprintf(&x.clean, "%s = %s\n", key, value)
	}
}
