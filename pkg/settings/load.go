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

// MaxFileBytes bounds a settings file. The full size needs about 2 MB.
const MaxFileBytes = 16 << 20

// Source is a settings file that was read.
type Source struct {
	// File is the name that problems carry.
	File    string
	Content []byte
}

// Load reads the base file and the overlay of a site, whose keys replace those of the base; an empty overlay means
// none. The result has passed Check and has its defaults applied. The error is Problems if the content is at fault,
// otherwise that of reading the file. After an error the deployment is empty.
func Load(base, overlay string) (d Deployment, err error) {
	sources, err := readSources(base, overlay)
	if err != nil {
		return Deployment{}, err
	}
	return Parse(sources...)
}

// Parse is Load for content in memory. Keys of later sources replace those of earlier ones.
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

// position is where a section or key was written last.
type position struct {
	file string
	line int
}

// merged holds the sections of all sources, later ones over earlier ones.
type merged struct {
	sections map[sectionID]position
	order    []sectionID
	keys     map[keyID]position
	values   map[keyID]string
	problems Problems
	// first is the file that problems of the whole configuration are reported for.
	first string
}

func merge(sources []Source) *merged {
	m := &merged{sections: map[sectionID]position{}, keys: map[keyID]position{}, values: map[keyID]string{}}
	for i, source := range sources {
		if i == 0 {
			m.first = source.File
		}
		index := indexLines(source.File, source.Content)
		m.problems = append(m.problems, index.problems...)
		file, err := ini.LoadSources(ini.LoadOptions{
			IgnoreContinuation:       true,
			SpaceBeforeInlineComment: true,
			AllowNonUniqueSections:   true, // repeated sections are gone from clean; this avoids a search per section
			KeyValueDelimiters:       "=",
		}, bytes.NewReader(index.clean.Bytes()))
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
				// Value, unlike String, leaves %(name)s alone.
				m.values[keyID{id, key.Name()}] = key.Value()
			}
		}
		for id, line := range index.keys {
			m.keys[id] = position{source.File, line}
		}
	}
	return m
}

func parse(current Deployment, sources []Source) (Deployment, error) {
	m := merge(sources)
	d := m.build()
	m.keepState(&d, current)
	ApplyDefaults(&d)
	failed := map[[2]string]bool{}
	for _, p := range m.problems {
		failed[[2]string{p.Section, p.Key}] = true
	}
	for _, p := range check(d) {
		// A key that could not be read has its problem already.
		if failed[[2]string{p.Section, p.Key}] {
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

// locate returns where a key was written, else its section, else the start of the first source.
func (m *merged) locate(id sectionID, key string) (file string, line int) {
	if at, ok := m.keys[keyID{id, key}]; ok {
		return at.file, at.line
	}
	if at, ok := m.sections[id]; ok {
		return at.file, at.line
	}
	return m.first, 1
}

// build fills a deployment from the merged keys; values that cannot be read become problems.
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

func (m *merged) fill(id sectionID, section reflect.Value) {
	for key, rule := range sectionKinds[id.kind].keys {
		text, ok := m.values[keyID{id, key}]
		if !ok {
			continue
		}
		field := section.FieldByName(key)
		err := parseValue(field, rule.size, text)
		if err == nil {
			err = writtenZero(rule, field)
		}
		if err != nil {
			at := m.keys[keyID{id, key}]
			m.problems = append(m.problems, Problem{File: at.file, Line: at.line, Section: id.String(), Key: key,
				Text: fmt.Sprintf("%q: %s", shorten(text), err), Allowed: rule.allowed()})
			field.SetZero()
		}
	}
}

// writtenZero rejects a written zero where it would be replaced by a default.
func writtenZero(rule keyRule, v reflect.Value) error {
	if low := parseRule(rule, rule.Min); v.IsZero() && rule.Default != "" && low.IsValid() && !low.IsZero() {
		return errors.New("out of range")
	}
	return nil
}

func shorten(text string) string {
	const most = 60
	if runes := []rune(text); len(runes) > most {
		return string(runes[:most]) + "..."
	}
	return text
}

// keepState takes over from current what commands change and the files do not state: the state of failure domains and
// endpoints and the time of return.
func (m *merged) keepState(d *Deployment, current Deployment) {
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

// LoadOver is Load for a change of current: failure domains and endpoints keep the State and ReturnedAt that commands
// gave them, unless a file states State. Otherwise applying the files would undo a domain leave.
func LoadOver(current Deployment, base, overlay string) (d Deployment, err error) {
	sources, err := readSources(base, overlay)
	if err != nil {
		return Deployment{}, err
	}
	return parse(current, sources)
}
