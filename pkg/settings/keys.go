package settings

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// keyRule says what a key may hold. Default, Min and Max are spelled as in INI; empty means none.
type keyRule struct {
	typ      reflect.Type
	size     bool // a number of bytes
	Default  string
	Min, Max string
	Required bool
	// Refers is the kind of section that the value must name.
	Refers string
}

// sectionKind describes one kind of section: the field of Deployment that it fills and the rules of its keys.
type sectionKind struct {
	// field is the name in Deployment; empty for Site, whose only key is the site itself.
	field string
	typ   reflect.Type
	keys  map[string]keyRule
}

// named tells whether there may be many sections of the kind, each with a name.
func (k sectionKind) named() bool {
	_, ok := k.typ.FieldByName("Name")
	return ok && k.field != ""
}

// siteSection is [Site].
type siteSection struct{ Name string }

// rules holds what the types do not say. A key without an entry is optional and has no bounds. A written zero is out
// of range for keys whose zero value takes a default, since it would not mean zero.
var rules = map[string]map[string]keyRule{
	"Site": {
		"Name": {Required: true},
	},
	"Policy": {
		"FirstTokenWeight": {Default: "1", Min: "0.001", Max: "1000"},
		"RecomputeWeight":  {Default: "1", Min: "0.001", Max: "1000"},
		"LinkWeight":       {Default: "1", Min: "0.001", Max: "1000"},
		"Candidates":       {Default: "4", Min: "1", Max: "16"},
	},
	"Limits": {
		// The body travels in one frame of package wire, which is at most 4 MiB.
		"MaxBodyBytes":      {Default: "1MiB", Min: "1KiB", Max: "3MiB"},
		"MaxTokens":         {Default: "4096", Min: "1", Max: "131072"},
		"HeaderTimeout":     {Default: "5s", Min: "100ms", Max: "1m"},
		"BodyTimeout":       {Default: "30s", Min: "100ms", Max: "10m"},
		"RequestTimeout":    {Default: "2m", Min: "1s", Max: "1h"},
		"DrainTimeout":      {Default: "30s", Min: "1s", Max: "1h"},
		"QueueLength":       {Default: "64", Min: "1", Max: "4096"},
		"RetryRatio":        {Default: "0.1", Min: "0.001", Max: "1"},
		"ClaimShards":       {Default: "16", Min: "1", Max: "256"},
		"ClaimRetention":    {Default: "24h", Min: "1m", Max: "720h"},
		"QuarantineTime":    {Default: "15m", Min: "1s", Max: "24h"},
		"RampTime":          {Default: "1m", Min: "1s", Max: "1h"},
		"WatchersPerDomain": {Default: "2", Min: "1", Max: "8"},
	},
	"FailureDomain": {
		"Region": {Required: true},
		"State":  {Default: "Active"},
	},
	"Entry": {
		"Address":       {Required: true},
		"FailureDomain": {Required: true, Refers: "FailureDomain"},
	},
	"Endpoint": {
		"Kind":          {Default: "ModelEndpoint"},
		"Address":       {Required: true},
		"FailureDomain": {Required: true, Refers: "FailureDomain"},
		"State":         {Default: "Active"},
		"Model":         {Refers: "Model"},
		"Service":       {Refers: "Service"},
		"ChecksFencing": {Default: "false"},
		"BatchLimit":    {Default: "16", Min: "1", Max: "1024"},
		"ColdLimit":     {Default: "2", Min: "1", Max: "1024"},
	},
	"Store": {
		"Address":            {Required: true},
		"FailureDomain":      {Required: true, Refers: "FailureDomain"},
		"LinkBytesPerSecond": {Default: "1GB", Min: "1kB", Max: "1TB"},
	},
	"Service": {
		"OnceMethods": {Default: "POST"},
	},
	"Model": {
		"Version":                {Required: true},
		"PrefillTokensPerSecond": {Default: "8000", Min: "1", Max: "10000000"},
		"DecodeTokensPerSecond":  {Default: "50", Min: "1", Max: "100000"},
		"BlockTokens":            {Default: "1024", Min: "16", Max: "65536"},
		"BytesPerToken":          {Default: "128KiB", Min: "1B", Max: "16MiB"},
	},
	"Organisation": {
		"CredentialHash":    {Required: true},
		"Share":             {Default: "1", Min: "0.01", Max: "1000"},
		"RequestsPerSecond": {Min: "0", Max: "1000000"},
		"SharedBlocks":      {Min: "0", Max: "1024"},
		"Models":            {Required: true, Refers: "Model"},
		"Services":          {Refers: "Service"},
	},
}

// notInFiles lists fields that commands set and files do not.
var notInFiles = map[string]bool{"FailureDomain.ReturnedAt": true}

// sectionKinds maps the kinds of sections to their fields and keys. It follows the fields of Deployment.
var sectionKinds = func() map[string]sectionKind {
	kinds := map[string]sectionKind{"Site": newSectionKind("Site", "", reflect.TypeFor[siteSection]())}
	for _, f := range reflect.VisibleFields(reflect.TypeFor[Deployment]()) {
		switch f.Type.Kind() {
		case reflect.Struct:
			kinds[f.Name] = newSectionKind(f.Name, f.Name, f.Type)
		case reflect.Slice:
			kinds[f.Type.Elem().Name()] = newSectionKind(f.Type.Elem().Name(), f.Name, f.Type.Elem())
		}
	}
	return kinds
}()

func newSectionKind(name, field string, typ reflect.Type) sectionKind {
	kind := sectionKind{field: field, typ: typ, keys: map[string]keyRule{}}
	for _, f := range reflect.VisibleFields(typ) {
		if f.Name == "Name" && field != "" || notInFiles[name+"."+f.Name] {
			continue
		}
		rule := rules[name][f.Name]
		rule.typ = f.Type
		rule.size = strings.Contains(f.Name, "Bytes")
		kind.keys[f.Name] = rule
	}
	return kind
}

// allowed describes the values that the rule accepts.
func (r keyRule) allowed() string {
	text := describe(r.typ, r.size)
	if r.Min != "" {
		text += fmt.Sprintf(" from %s to %s", r.Min, r.Max)
	}
	if r.Refers != "" {
		text = fmt.Sprintf("%s of a section [%s \"Name\"]", text, r.Refers)
	}
	return text
}

func allowedSections() string {
	names := make([]string, 0, len(sectionKinds))
	for name, kind := range sectionKinds {
		if kind.named() {
			name += ` "Name"`
		}
		names = append(names, "["+name+"]")
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func allowedKeys(kind string) string {
	var names []string
	for name := range sectionKinds[kind].keys {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
