package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Change is one difference between two deployments.
type Change struct {
	// Path is the key, such as Limits.MaxTokens or Endpoint "Model1".State; of a part that was added or removed it is
	// the section alone.
	Path string
	// Old and New are spelled as in INI. A part that was added has the Old value "absent", a removed one the New value.
	Old, New string
}

// String returns the change in one line.
func (c Change) String() string { return fmt.Sprintf("%s: %s -> %s", c.Path, c.Old, c.New) }

const absent = "absent"

// Diff lists what changes from a to b, ordered as the fields of Deployment and then by name and key. It is empty if
// both have the same canonical encoding. Of a credential hash only the first digits are shown.
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

// diffList compares two lists sorted by Name.
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

// display returns the spelling of a value for a reader; an empty one is quoted so that it can be seen.
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

// summary lists the keys of a part that have a value.
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
