package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"time"
)

// ApplyDefaults sets each zero value and empty list in d to the default that its field documents. It works in place, and
// allocates nothing if no default is missing.
//
// The default ColdLimit of an endpoint is its BatchLimit if that is below 2.
func ApplyDefaults(d *Deployment) {
	for i := range d.Endpoints {
		if e := &d.Endpoints[i]; e.ColdLimit == 0 && e.BatchLimit > 0 {
			e.ColdLimit = min(2, e.BatchLimit)
		}
	}
	forEachSection(reflect.ValueOf(d).Elem(), func(kind string, section reflect.Value) {
		for key, v := range defaultValues[kind] {
			if field := section.FieldByName(key); isEmpty(field) {
				if list, ok := v.Interface().([]string); ok {
					v = reflect.ValueOf(slices.Clone(list))
				}
				field.Set(v)
			}
		}
	})
}

// defaultValues maps each kind of section and key to its parsed default. Keys whose default is the zero value are left
// out.
var defaultValues = func() map[string]map[string]reflect.Value {
	values := map[string]map[string]reflect.Value{}
	for name, kind := range sectionKinds {
		values[name] = map[string]reflect.Value{}
		for key, rule := range kind.keys {
			if v := parseRule(rule, rule.Default); v.IsValid() && !v.IsZero() {
				values[name][key] = v
			}
		}
	}
	return values
}()

// parseRule parses text, which is the default or a bound of rule, as a value of the key's type. It returns the invalid
// reflect.Value if text is empty, and panics if text is malformed, which is a fault of the rules table.
func parseRule(rule keyRule, text string) reflect.Value {
	if text == "" {
		return reflect.Value{}
	}
	v := reflect.New(rule.typ).Elem()
	if err := parseValue(v, rule.byteSize, text); err != nil {
		panic(fmt.Sprintf("settings: rule with %q: %v", text, err))
	}
	return v
}

// isEmpty reports whether v is a zero value or an empty list.
func isEmpty(v reflect.Value) bool {
	return v.IsZero() || v.Kind() == reflect.Slice && v.Len() == 0
}

// forEachSection calls f for each section of the Deployment d, except Site, with the kind of the section.
func forEachSection(d reflect.Value, f func(kind string, section reflect.Value)) {
	for i := range d.NumField() {
		field := d.Field(i)
		switch field.Kind() {
		case reflect.Struct:
			f(field.Type().Name(), field)
		case reflect.Slice:
			for j := range field.Len() {
				f(field.Type().Elem().Name(), field.Index(j))
			}
		}
	}
}

// Normalise returns d in canonical order: slices are sorted by Name, lists of names are sorted, times are in UTC without
// a monotonic clock reading, and IPv4-mapped IPv6 addresses are IPv4 addresses. It copies the slices, so the argument
// does not change.
func Normalise(d Deployment) Deployment {
	d.FailureDomains = sortedByName(d.FailureDomains, func(x FailureDomain) string { return x.Name })
	d.Entries = sortedByName(d.Entries, func(x Entry) string { return x.Name })
	d.Endpoints = sortedByName(d.Endpoints, func(x Endpoint) string { return x.Name })
	d.Stores = sortedByName(d.Stores, func(x Store) string { return x.Name })
	d.Services = sortedByName(d.Services, func(x Service) string { return x.Name })
	d.Models = sortedByName(d.Models, func(x Model) string { return x.Name })
	d.Organisations = sortedByName(d.Organisations, func(x Organisation) string { return x.Name })
	for i := range d.FailureDomains {
		if returnedAt := &d.FailureDomains[i].ReturnedAt; returnedAt.IsZero() {
			*returnedAt = time.Time{}
		} else {
			*returnedAt = returnedAt.UTC().Round(0)
		}
	}
	for i := range d.Entries {
		d.Entries[i].Address = unmapAddress(d.Entries[i].Address)
	}
	for i := range d.Endpoints {
		d.Endpoints[i].Address = unmapAddress(d.Endpoints[i].Address)
	}
	for i := range d.Stores {
		d.Stores[i].Address = unmapAddress(d.Stores[i].Address)
	}
	for i := range d.Services {
		d.Services[i].OnceMethods = sortedNames(d.Services[i].OnceMethods)
	}
	for i := range d.Organisations {
		d.Organisations[i].Models = sortedNames(d.Organisations[i].Models)
		d.Organisations[i].Services = sortedNames(d.Organisations[i].Services)
	}
	return d
}

// unmapAddress converts an IPv4-mapped IPv6 address to an IPv4 address and returns other addresses unchanged.
func unmapAddress(addr netip.AddrPort) netip.AddrPort {
	if !addr.Addr().Is4In6() {
		return addr
	}
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// sortedByName returns a sorted copy. It is never nil, so that nil and empty lists have the same JSON encoding.
func sortedByName[T any](list []T, name func(T) string) []T {
	list = append(make([]T, 0, len(list)), list...)
	slices.SortStableFunc(list, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return list
}

// sortedNames returns a sorted copy. As in sortedByName, the copy is never nil.
func sortedNames(list []string) []string {
	list = append(make([]string, 0, len(list)), list...)
	slices.Sort(list)
	return list
}
