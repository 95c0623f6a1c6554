package settings

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// keyRule is the rule for the values of a key. Default, Min and Max are written as in INI; an empty one means none.
type keyRule struct {
	typ      reflect.Type
	byteSize bool // the value is a number of bytes
	Default  string
	Min, Max string
	Required bool
	// Refers is the kind of the sections whose names are the allowed values.
	Refers string
}

// sectionKind describes one kind of section: the field of Deployment that it sets and the rules of its keys.
type sectionKind struct {
	// field is the name of the field of Deployment. It is empty for Site, whose only key, Name, sets Deployment.Site.
	field string
	typ   reflect.Type
	keys  map[string]keyRule
}

// named reports whether sections of the kind have a name in their header, so that there may be many of them.
func (k sectionKind) named() bool {
	_, ok := k.typ.FieldByName("Name")
	return ok && k.field != ""
}

// siteSection is the section [Site].
type siteSection struct{ Name string }

// rules maps kind and key to the rules that the Go types do not express. A key without an entry is optional and has no
// bounds. A numeric key with a default has a Min above zero: an explicit zero would be replaced by the default, so it is
// reported as out of range instead.
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
		// The body is sent in one frame of package wire, which has at most 4 MiB.
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

// notInFiles is the set of fields that only operators' commands set, so that they are no keys of the INI files.
var notInFiles = map[string]bool{"FailureDomain.ReturnedAt": true}

// sectionKinds maps the name of each kind of section to its description. It is derived from the fields of Deployment.
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
		rule.byteSize = strings.Contains(f.Name, "Bytes")
		kind.keys[f.Name] = rule
	}
	return kind
}

// allowed returns the text of Problem.Allowed for the rule.
func (r keyRule) allowed() string {
	text := describeType(r.typ, r.byteSize)
	if r.Min != "" {
		text += fmt.Sprintf(" from %s to %s", r.Min, r.Max)
	}
	if r.Refers != "" {
		text = fmt.Sprintf("%s of a section [%s \"Name\"]", text, r.Refers)
	}
	return text
}

// allowedSections returns the headers of all kinds of sections, separated by commas.
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

// allowedKeys returns the keys of a kind of section, separated by commas.
func allowedKeys(kind string) string {
	var names []string
	for name := range sectionKinds[kind].keys {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
