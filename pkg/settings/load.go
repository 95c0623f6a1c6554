package settings

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// MaxFileBytes bounds the size of a settings file. A deployment of 10,000 endpoints needs about 2 MB.
const MaxFileBytes = 16 << 20

// Source is the name and content of a settings file.
type Source struct {
	// File is the file name that problems report.
	File    string
	Content []byte
}

// Load reads the base file and the overlay of a site. The keys of the overlay replace those of the base file. An empty
// overlay name means that there is no overlay. The result passes Check and has its defaults applied. The error is of type
// Problems if the content is invalid; otherwise it says that a file could not be read or is larger than MaxFileBytes. With
// an error the deployment is empty.
func Load(base, overlay string) (d Deployment, err error) {
	sources, err := readSources(base, overlay)
	if err != nil {
		return Deployment{}, err
	}
	return Parse(sources...)
}

// Parse is like Load for content in memory. Keys of later sources replace those of earlier ones.
func Parse(sources ...Source) (Deployment, error) {
	return parse(Deployment{}, sources)
}

func readSources(files ...string) (sources []Source, err error) {
	defer func() { err = errors.Wrap(err, "settings: load") }()
	for _, file := range files {
		if file == "" {
			continue
		}
		info, err := os.Stat(file)
		if err != nil {
			return nil, err
		}
		if info.Size() > MaxFileBytes {
			return nil, fmt.Errorf("%s has %d bytes; allowed: up to %d", file, info.Size(), MaxFileBytes)
		}
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		sources = append(sources, Source{File: file, Content: content})
	}
	return sources, nil
}

// position is the file and line of a section or key.
type position struct {
	file string
	line int
}

// merged is the result of merging all sources.
type merged struct {
	// sections maps each section to its first position.
	sections map[sectionID]position
	order    []sectionID
	// keys maps each key to its position in the last source that has it, and values to the value that it has there.
	keys     map[keyID]position
	values   map[keyID]string
	problems Problems
	// firstFile is the file name in problems that concern the whole configuration.
	firstFile string
}

// merge indexes and parses the sources. Keys of later sources replace those of earlier ones.
func merge(sources []Source) *merged {
	m := &merged{sections: map[sectionID]position{}, keys: map[keyID]position{}, values: map[keyID]string{}}
	for i, source := range sources {
		if i == 0 {
			m.firstFile = source.File
		}
		index := indexLines(source.File, source.Content)
		m.problems = append(m.problems, index.problems...)
		file, err := ini.LoadSources(ini.LoadOptions{
			IgnoreContinuation:       true,
			SpaceBeforeInlineComment: true,
			AllowNonUniqueSections:   true, // validLines has no repeated sections; this option avoids a search per section
			KeyValueDelimiters:       "=",
		}, bytes.NewReader(index.validLines.Bytes()))
		if err != nil {
			m.problems = append(m.problems, Problem{File: source.File, Line: 1, Text: err.Error(), Allowed: allowedLine})
			continue
		}
		for _, id := range index.order {
			if _, ok := m.sections[id]; !ok {
				m.sections[id] = position{source.File, index.sections[id]}
				m.order = append(m.order, id)
			}
			for _, key := range file.Section(id.String()).Keys() {
				// Value, unlike String, does not expand %(name)s.
				m.values[keyID{id, key.Name()}] = key.Value()
			}
		}
		for id, line := range index.keys {
			m.keys[id] = position{source.File, line}
		}
	}
	return m
}

// parse returns the deployment of sources, with the state of failure domains and endpoints that current has and sources
// do not set.
func parse(current Deployment, sources []Source) (Deployment, error) {
	m := merge(sources)
	d := m.build()
	m.preserveState(&d, current)
	ApplyDefaults(&d)
	reported := map[[2]string]bool{}
	for _, p := range m.problems {
		reported[[2]string{p.Section, p.Key}] = true
	}
	for _, p := range check(d) {
		// A key that could not be parsed already has a problem.
		if reported[[2]string{p.Section, p.Key}] {
			continue
		}
		p.File, p.Line = m.locate(p.id, p.Key)
		m.problems = append(m.problems, p.Problem)
	}
	if err := m.problems.err(); err != nil {
		return Deployment{}, err
	}
	return Normalise(d), nil
}

// locate returns the position of a key, or that of its section if no source has the key, or the start of the first source
// if no source has the section.
func (m *merged) locate(id sectionID, key string) (file string, line int) {
	if pos, ok := m.keys[keyID{id, key}]; ok {
		return pos.file, pos.line
	}
	if pos, ok := m.sections[id]; ok {
		return pos.file, pos.line
	}
	return m.firstFile, 1
}

// build returns the deployment of the merged keys, and adds a problem for each value that cannot be parsed.
func (m *merged) build() Deployment {
	var d Deployment
	v := reflect.ValueOf(&d).Elem()
	for _, id := range m.order {
		kind := sectionKinds[id.kind]
		section := reflect.New(kind.typ).Elem()
		switch {
		case kind.named():
			section.FieldByName("Name").SetString(id.name)
		case kind.field != "":
			section = v.FieldByName(kind.field)
		}
		m.fill(id, section)
		switch {
		case kind.named():
			list := v.FieldByName(kind.field)
			list.Set(reflect.Append(list, section))
		case kind.field == "":
			d.Site = section.FieldByName("Name").String()
		}
	}
	return d
}

// fill sets the fields of section from the merged keys.
func (m *merged) fill(id sectionID, section reflect.Value) {
	for key, rule := range sectionKinds[id.kind].keys {
		text, ok := m.values[keyID{id, key}]
		if !ok {
			continue
		}
		field := section.FieldByName(key)
		err := parseValue(field, rule.byteSize, text)
		if err == nil {
			err = rejectExplicitZero(rule, field)
		}
		if err != nil {
			pos := m.keys[keyID{id, key}]
			m.problems = append(m.problems, Problem{File: pos.file, Line: pos.line, Section: id.String(), Key: key,
				Text: fmt.Sprintf("%q: %s", shorten(text), err), Allowed: rule.allowed()})
			field.SetZero()
		}
	}
}

// rejectExplicitZero returns an error if v is zero, the rule does not allow zero, and the key has a default. ApplyDefaults
// would replace such a zero by the default, so check would not find it.
func rejectExplicitZero(rule keyRule, v reflect.Value) error {
	if low := parseRule(rule, rule.Min); v.IsZero() && rule.Default != "" && low.IsValid() && !low.IsZero() {
		return errors.New("out of range")
	}
	return nil
}

// shorten cuts text to a length that fits into a line of a problem report.
func shorten(text string) string {
	const maxRunes = 60
	if runes := []rune(text); len(runes) > maxRunes {
		return string(runes[:maxRunes]) + "..."
	}
	return text
}

// preserveState copies from current to d what operators' commands change: ReturnedAt of failure domains, and State of
// failure domains and endpoints unless a file sets it.
func (m *merged) preserveState(d *Deployment, current Deployment) {
	for i := range d.FailureDomains {
		domain := &d.FailureDomains[i]
		j := slices.IndexFunc(current.FailureDomains, func(f FailureDomain) bool { return f.Name == domain.Name })
		if j < 0 {
			continue
		}
		domain.ReturnedAt = current.FailureDomains[j].ReturnedAt
		if _, written := m.keys[keyID{sectionID{"FailureDomain", domain.Name}, "State"}]; !written {
			domain.State = current.FailureDomains[j].State
		}
	}
	states := make(map[string]TargetState, len(current.Endpoints))
	for _, e := range current.Endpoints {
		states[e.Name] = e.State
	}
	for i := range d.Endpoints {
		endpoint := &d.Endpoints[i]
		if _, written := m.keys[keyID{sectionID{"Endpoint", endpoint.Name}, "State"}]; !written {
			endpoint.State = states[endpoint.Name]
		}
	}
}

// LoadUpdate is like Load for an update of the deployment current: failure domains keep their ReturnedAt, and failure
// domains and endpoints keep the State that they have in current, unless a file sets it. Otherwise applying the files would
// undo an operator's command that took a failure domain out of service.
func LoadUpdate(current Deployment, base, overlay string) (d Deployment, err error) {
	sources, err := readSources(base, overlay)
	if err != nil {
		return Deployment{}, err
	}
	return parse(current, sources)
}
