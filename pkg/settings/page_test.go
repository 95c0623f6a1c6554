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

// TestPageMatchesCode guards against a key that operators cannot look up, and against a default or range on the page
// that the code does not have.
func TestPageMatchesCode(t *testing.T) {
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
			want, path := row(rule), kind+"."+key
			if rows[path] != want {
				t.Errorf("%s: the page has %q, the code %q", path, rows[path], want)
			}
			delete(rows, path)
		}
	}
	is.Equal(len(rows), 0) // rows without a key

	// Every field is a key or known not to be one, and every rule has a field.
	for kind, keys := range rules {
		for key := range keys {
			if _, ok := sectionKinds[kind].keys[key]; !ok {
				t.Errorf("rule for %s.%s, which is no field", kind, key)
			}
		}
	}
	fields := 0
	forEachSection(reflect.ValueOf(sized(1)), func(string, reflect.Value) { fields++ })
	is.Equal(fields, 7) // Policy, Limits and one of each list that sized fills
}

// row returns the value, default and range of a key as the page shows them.
func row(rule keyRule) string {
	value := describe(rule.typ, rule.size)
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
	preset, bounds := rule.Default, "-"
	switch {
	case rule.Required:
		preset = "required"
	case preset == "":
		preset = "-"
	}
	if rule.Min != "" {
		bounds = fmt.Sprintf("%s to %s", rule.Min, rule.Max)
	}
	return strings.Join([]string{value, preset, bounds}, " | ")
}

// TestDefaultsAreInRange guards against a default that Check rejects, and documented defaults that are not applied.
func TestDefaultsAreInRange(t *testing.T) {
	is := is.New(t)
	d := sized(1)
	d.Limits, d.Policy = Limits{}, Policy{}
	ApplyDefaults(&d)
	is.NoErr(Check(d))
	for kind, s := range sectionKinds {
		for key, rule := range s.keys {
			if rule.Default == "" || kind != "Limits" && kind != "Policy" {
				continue
			}
			v := reflect.ValueOf(d).FieldByName(kind).FieldByName(key)
			is.Equal(formatValue(v, rule.size), rule.Default)
		}
	}
	one := Deployment{Endpoints: []Endpoint{{BatchLimit: 1}}}
	ApplyDefaults(&one)
	is.Equal(one.Endpoints[0].ColdLimit, 1)
}
