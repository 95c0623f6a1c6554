package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Change is one difference between two deployments.
type Change struct {
	// Path is the section and the key, such as Limits.MaxTokens or Endpoint "Model1".State. For a section that was added
	// or removed it is the section alone.
	Path string
	// Old and New are the values as written in INI, or "" in quotes for an empty value. For a section that was added, Old is
	// "absent" and New a summary of its keys; for a section that was removed it is the reverse.
	Old, New string
}

// String returns the change in one line.
func (c Change) String() string { return fmt.Sprintf("%s: %s -> %s", c.Path, c.Old, c.New) }

const absent = "absent"

// Diff lists the changes from a to b in the order of the fields of Deployment, then by section name, then in the order
// of the keys. It is empty if both have the same canonical encoding. Credential hashes are cut to their first 8 digits.
func Diff(a, b Deployment) (changes []Change) {
	a, b = canonical(a), canonical(b)
	if a.Site != b.Site {
		changes = append(changes, Change{Path: "Site.Name", Old: a.Site, New: b.Site})
	}
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		switch field := x.Field(i); field.Kind() {
		case reflect.Struct:
			changes = append(changes, diffSection(sectionID{kind: field.Type().Name()}, field, y.Field(i))...)
		case reflect.Slice:
			changes = append(changes, diffList(field.Type().Elem().Name(), field, y.Field(i))...)
		}
	}
	return changes
}

// diffList compares two lists of sections, both sorted by Name.
func diffList(kind string, a, b reflect.Value) (changes []Change) {
	name := func(list reflect.Value, i int) string { return list.Index(i).FieldByName("Name").String() }
	for i, j := 0, 0; i < a.Len() || j < b.Len(); {
		switch {
		case j == b.Len() || i < a.Len() && name(a, i) < name(b, j):
			id := sectionID{kind, name(a, i)}
			changes = append(changes, Change{Path: id.String(), Old: summary(a.Index(i)), New: absent})
			i++
		case i == a.Len() || name(b, j) < name(a, i):
			id := sectionID{kind, name(b, j)}
			changes = append(changes, Change{Path: id.String(), Old: absent, New: summary(b.Index(j))})
			j++
		default:
			changes = append(changes, diffSection(sectionID{kind, name(a, i)}, a.Index(i), b.Index(j))...)
			i++
			j++
		}
	}
	return changes
}

func diffSection(id sectionID, a, b reflect.Value) (changes []Change) {
	for i := range a.NumField() {
		field := a.Type().Field(i)
		if reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		changes = append(changes, Change{
			Path: id.String() + "." + field.Name,
			Old:  display(field.Name, a.Field(i)),
			New:  display(field.Name, b.Field(i)),
		})
	}
	return changes
}

// display returns the text of a value in a Change: an empty value as a pair of quotes, so that it is visible, and a
// credential hash cut to its first 8 digits.
func display(key string, v reflect.Value) string {
	text := formatValue(v, strings.Contains(key, "Bytes"))
	if key == "CredentialHash" && len(text) > 8 {
		text = text[:8] + "..."
	}
	if text == "" {
		return `""`
	}
	return text
}

// summary lists the keys of a section that have a value, as Key=value pairs.
func summary(section reflect.Value) string {
	var parts []string
	for i := range section.NumField() {
		key := section.Type().Field(i).Name
		if key == "Name" || isEmpty(section.Field(i)) {
			continue
		}
		parts = append(parts, key+"="+display(key, section.Field(i)))
	}
	return strings.Join(parts, " ")
}
