package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"time"
)

// ApplyDefaults replaces the zero values in d for which the fields document a default. It works in place and allocates
// only for list values.
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

// defaultValues holds the parsed defaults by kind of section and key.
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

// parseRule returns a default or bound of a rule as a value of the key's type; it is invalid if text is empty.
func parseRule(rule keyRule, text string) reflect.Value {
	if text == "" {
		return reflect.Value{}
	}
	v := reflect.New(rule.typ).Elem()
	if err := parseValue(v, rule.size, text); err != nil {
		panic(fmt.Sprintf("settings: rule with %q: %v", text, err))
	}
	return v
}

func isEmpty(v reflect.Value) bool {
	return v.IsZero() || v.Kind() == reflect.Slice && v.Len() == 0
}

// forEachSection calls f for each struct below a Deployment with the kind of its section.
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

// Normalise brings d into canonical order: slices sorted by Name, lists of names sorted, times in UTC without
// monotonic clock, IPv4 addresses in IPv4 form. It copies the slices, so the argument is left as it is.
func Normalise(d Deployment) Deployment {
	d.FailureDomains = sortedByName(d.FailureDomains, func(x FailureDomain) string { return x.Name })
	d.Entries = sortedByName(d.Entries, func(x Entry) string { return x.Name })
	d.Endpoints = sortedByName(d.Endpoints, func(x Endpoint) string { return x.Name })
	d.Stores = sortedByName(d.Stores, func(x Store) string { return x.Name })
	d.Services = sortedByName(d.Services, func(x Service) string { return x.Name })
	d.Models = sortedByName(d.Models, func(x Model) string { return x.Name })
	d.Organisations = sortedByName(d.Organisations, func(x Organisation) string { return x.Name })
	for i := range d.FailureDomains {
		if at := &d.FailureDomains[i].ReturnedAt; at.IsZero() {
			*at = time.Time{}
		} else {
			*at = at.UTC().Round(0)
		}
	}
	for i := range d.Entries {
		d.Entries[i].Address = plainAddress(d.Entries[i].Address)
	}
	for i := range d.Endpoints {
		d.Endpoints[i].Address = plainAddress(d.Endpoints[i].Address)
	}
	for i := range d.Stores {
		d.Stores[i].Address = plainAddress(d.Stores[i].Address)
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

// plainAddress turns an IPv4 address in IPv6 form into IPv4 form.
func plainAddress(addr netip.AddrPort) netip.AddrPort {
	if !addr.Addr().Is4In6() {
		return addr
	}
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// sortedByName returns a sorted copy, never nil, so that an empty list always encodes alike.
func sortedByName[T any](list []T, name func(T) string) []T {
	list = append(make([]T, 0, len(list)), list...)
	slices.SortStableFunc(list, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return list
}

func sortedNames(list []string) []string {
	list = append(make([]string, 0, len(list)), list...)
	slices.Sort(list)
	return list
}
