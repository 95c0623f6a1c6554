package settings

import (
	"encoding"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

var (
	numberPattern = regexp.MustCompile(`^-?[0-9]+(\.[0-9]+)?([eE][+-]?[0-9]+)?$`)
	bytesPattern  = regexp.MustCompile(`^([0-9]+) ?([A-Za-z]*)$`)
	byteUnits     = []struct {
		name  string
		bytes int64
	}{
		{"TiB", 1 << 40}, {"TB", 1e12}, {"GiB", 1 << 30}, {"GB", 1e9}, {"MiB", 1 << 20}, {"MB", 1e6}, {"KiB", 1 << 10},
		{"kB", 1e3}, {"B", 1}, {"", 1},
	}
)

// describeType describes the values of a type in a few words.
func describeType(typ reflect.Type, byteSize bool) string {
	switch {
	case typ == reflect.TypeFor[time.Duration]():
		return "a duration with unit such as 500ms, 5s, 2m or 24h"
	case typ == reflect.TypeFor[netip.AddrPort]():
		return "IP:port such as 127.0.0.1:7000"
	case typ == reflect.TypeFor[TargetState]():
		return enumNames(targetStates)
	case typ == reflect.TypeFor[EndpointKind]():
		return enumNames(endpointKinds)
	case byteSize:
		return "a number of bytes such as 512B, 64KiB, 1MiB or 1GB"
	}
	switch typ.Kind() {
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true, false"
	case reflect.Slice:
		return "names separated by commas"
	}
	return "a name"
}

// parseValue parses the INI form of a value into v, whose kind and byteSize determine the form. The error does not quote
// text, which may be a misplaced credential. fill adds text to the problem of every key; the value of CredentialHash is a
// string, for which parseValue never fails.
func parseValue(v reflect.Value, byteSize bool, text string) error {
	switch p := v.Addr().Interface().(type) {
	case *time.Duration:
		d, err := time.ParseDuration(text)
		if err != nil || !strings.ContainsAny(text, "hmsuµn") {
			return fmt.Errorf("not a duration with unit")
		}
		*p = d
		return nil
	case *netip.AddrPort:
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("not an IP address with port")
		}
		*p = addr
		return nil
	case encoding.TextUnmarshaler:
		if p.UnmarshalText([]byte(text)) != nil {
			return fmt.Errorf("not one of the names")
		}
		return nil
	case *[]string:
		for part := range strings.SplitSeq(text, ",") {
			part = strings.TrimSpace(part)
			if part == "" {
				return fmt.Errorf("empty name in the list")
			}
			if slices.Contains(*p, part) {
				return fmt.Errorf("name twice in the list")
			}
			*p = append(*p, part)
		}
		return nil
	}
	return parseScalar(v, byteSize, text)
}

// parseScalar parses strings, booleans and numbers for parseValue.
func parseScalar(v reflect.Value, byteSize bool, text string) error {
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		if text != "true" && text != "false" {
			return fmt.Errorf("neither true nor false")
		}
		v.SetBool(text == "true")
	case reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || !numberPattern.MatchString(text) {
			return fmt.Errorf("not a number")
		}
		v.SetFloat(f)
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		if byteSize {
			n, err = parseBytes(text)
		}
		if err != nil || v.OverflowInt(n) || strings.HasPrefix(text, "+") {
			if byteSize {
				return fmt.Errorf("not a number of bytes")
			}
			return fmt.Errorf("not a whole number")
		}
		v.SetInt(n)
	default:
		return fmt.Errorf("unsupported type %s", v.Type())
	}
	return nil
}

// parseBytes parses a number of bytes with an optional unit of byteUnits.
func parseBytes(text string) (int64, error) {
	m := bytesPattern.FindStringSubmatch(text)
	if m == nil {
		return 0, strconv.ErrSyntax
	}
	n, err := strconv.ParseInt(m[1], 10, 64)
	if err != nil {
		return 0, err
	}
	for _, unit := range byteUnits {
		if unit.name != m[2] {
			continue
		}
		if n > math.MaxInt64/unit.bytes {
			return 0, strconv.ErrRange
		}
		return n * unit.bytes, nil
	}
	return 0, strconv.ErrSyntax
}

// formatValue returns the INI form of v. It is the inverse of parseValue for the values of keys in files.
func formatValue(v reflect.Value, byteSize bool) string {
	switch x := v.Interface().(type) {
	case time.Duration:
		return formatDuration(x)
	case time.Time:
		if x.IsZero() {
			return "never"
		}
		return x.UTC().Format(time.RFC3339Nano)
	case []string:
		return strings.Join(x, ", ")
	case fmt.Stringer:
		return x.String()
	case float64:
		return strconv.FormatFloat(x, 'g', -1, 64)
	case int64:
		if byteSize {
			return formatBytes(x)
		}
	}
	return fmt.Sprint(v.Interface())
}

// formatDuration formats d like Duration.String without zero minutes and seconds at the end: 2m instead of 2m0s, and 1h
// instead of 1h0m0s.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// formatBytes formats n in the largest unit of byteUnits that divides n.
func formatBytes(n int64) string {
	for _, unit := range byteUnits {
		if unit.name != "" && n >= unit.bytes && n%unit.bytes == 0 {
			return strconv.FormatInt(n/unit.bytes, 10) + unit.name
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}
