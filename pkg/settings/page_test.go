package settings

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestSettingsPageMatchesCode guards against a key that docs/settings.md lacks, and against values, defaults and ranges on
// the page that differ from the code.
func TestSettingsPageMatchesCode(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/settings.md")
	is.NoErr(err)
	rows := map[string]string{}
	section := ""
	for line := range strings.SplitSeq(string(page), "\n") {
		if m := regexp.MustCompile(`^## \[(\w+)( "Name")?\]$`).FindStringSubmatch(line); m != nil {
			section = m[1]
			is.Equal(m[2] != "", sectionKinds[section].named())
		} else if strings.HasPrefix(line, "## ") {
			section = ""
		}
		cells := strings.Split(line, " | ")
		if section == "" || len(cells) != 5 || cells[0] == "| key" || strings.HasPrefix(line, "| ---") {
			continue
		}
		rows[section+"."+strings.TrimPrefix(cells[0], "| ")] = strings.Join(cells[1:4], " | ")
	}
	for kind, s := range sectionKinds {
		for key, rule := range s.keys {
			want, path := pageRow(rule), kind+"."+key
			if rows[path] != want {
				t.Errorf("%s: docs/settings.md has %q, the code %q", path, rows[path], want)
			}
			delete(rows, path)
		}
	}
	is.Equal(len(rows), 0) // rows of the page for which the code has no key

	// Every rule belongs to a key.
	for kind, keys := range rules {
		for key := range keys {
			if _, ok := sectionKinds[kind].keys[key]; !ok {
				t.Errorf("rule for %s.%s, which is not a key", kind, key)
			}
		}
	}
	sections := 0
	forEachSection(reflect.ValueOf(sizedDeployment(1)), func(string, reflect.Value) { sections++ })
	is.Equal(sections, 7) // Policy, Limits and one section of each list that sizedDeployment fills
}

// pageRow returns the value, default and range of a key in the form of a row of docs/settings.md.
func pageRow(rule keyRule) string {
	value := describeType(rule.typ, rule.byteSize)
	for long, short := range map[string]string{"a name": "name", "names separated by commas": "names",
		"a number": "number", "a whole number": "whole number"} {
		if value == long {
			value = short
		}
	}
	for word, short := range map[string]string{"a duration": "duration", "a number of bytes": "byte size", "IP:port": "IP:port"} {
		if strings.HasPrefix(value, word) {
			value = short
		}
	}
	if rule.Refers != "" {
		value += " of a " + rule.Refers
	}
	defaultText, bounds := rule.Default, "-"
	switch {
	case rule.Required:
		defaultText = "required"
	case defaultText == "":
		defaultText = "-"
	}
	if rule.Min != "" {
		bounds = fmt.Sprintf("%s to %s", rule.Min, rule.Max)
	}
	return strings.Join([]string{value, defaultText, bounds}, " | ")
}

// TestDefaultsAreInRange guards against a default that Check rejects, and against a default of Limits or Policy that
// ApplyDefaults does not apply.
func TestDefaultsAreInRange(t *testing.T) {
	is := is.New(t)
	d := sizedDeployment(1)
	d.Limits, d.Policy = Limits{}, Policy{}
	ApplyDefaults(&d)
	is.NoErr(Check(d))
	for kind, s := range sectionKinds {
		for key, rule := range s.keys {
			if rule.Default == "" || kind != "Limits" && kind != "Policy" {
				continue
			}
			v := reflect.ValueOf(d).FieldByName(kind).FieldByName(key)
			is.Equal(formatValue(v, rule.byteSize), rule.Default)
		}
	}
	one := Deployment{Endpoints: []Endpoint{{BatchLimit: 1}}}
	ApplyDefaults(&one)
	is.Equal(one.Endpoints[0].ColdLimit, 1)
}
