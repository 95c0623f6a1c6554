package settings

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
)

// Format returns d as INI in canonical order with every key that has a value. If d passes Check, Parse returns the same
// deployment for the result, except for FailureDomain.ReturnedAt, which only operators' commands set.
func Format(d Deployment) []byte {
	d = canonical(d)
	var b bytes.Buffer
	formatSection(&b, sectionID{kind: "Site"}, reflect.ValueOf(siteSection{Name: d.Site}))
	forEachSection(reflect.ValueOf(d), func(kind string, section reflect.Value) {
		id := sectionID{kind: kind}
		if sectionKinds[kind].named() {
			id.name = section.FieldByName("Name").String()
		}
		formatSection(&b, id, section)
	})
	return b.Bytes()
}

func formatSection(b *bytes.Buffer, id sectionID, section reflect.Value) {
	if b.Len() > 0 {
		b.WriteByte('\n')
	}
	fmt.Fprintf(b, "[%s]\n", id)
	kind := sectionKinds[id.kind]
	for i := range section.NumField() {
		key, v := section.Type().Field(i).Name, section.Field(i)
		rule, ok := kind.keys[key]
		if !ok || isEmpty(v) {
			continue
		}
		fmt.Fprintf(b, "%s = %s\n", key, quote(formatValue(v, rule.byteSize)))
	}
}

// quote puts a value in quotes if the parser would otherwise read a part of it as a comment, or drop its own quotes or
// spaces at its ends.
func quote(text string) string {
	if !strings.Contains(text, " #") && !strings.Contains(text, " ;") && !strings.ContainsAny(text[:1], "'\"`#; ") &&
		!strings.HasSuffix(text, " ") {
		return text
	}
	for _, q := range []string{`"`, `'`} {
		if !strings.Contains(text, q) {
			return q + text + q
		}
	}
	return text
}
