package settings

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"net/netip"
	"reflect"
	"slices"
)

// emptyCredential is the SHA-256 of no bytes: a credential that every caller without one would present.
const emptyCredential = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

// Check returns what is wrong with d as Problems without files, or nil. Defaults must have been applied.
func Check(d Deployment) error {
	var problems Problems
	for _, p := range check(d) {
		problems = append(problems, p.Problem)
	}
	return problems.err()
}

type located struct {
	Problem
	id sectionID
}

type checker struct {
	problems []located
	names    map[string]map[string]bool
}

func check(d Deployment) []located {
	c := &checker{names: map[string]map[string]bool{}}
	if d.Site == "" {
		c.add(sectionID{kind: "Site"}, "Name", "value is missing", sectionKinds["Site"].keys["Name"].allowed())
	}
	c.collectNames(d)
	forEachSection(reflect.ValueOf(d), func(kind string, section reflect.Value) {
		id := sectionID{kind: kind}
		if sectionKinds[kind].named() {
			id.name = section.FieldByName("Name").String()
		}
		for key, rule := range sectionKinds[kind].keys {
			c.checkKey(id, key, rule, section.FieldByName(key))
		}
	})
	c.checkLimits(d)
	c.checkEndpoints(d)
	c.checkAddresses(d)
	c.checkOrganisations(d)
	return c.problems
}

func (c *checker) add(id sectionID, key, text, allowed string) {
	c.problems = append(c.problems,
		located{Problem{Section: id.String(), Key: key, Text: text, Allowed: allowed}, id})
}

// collectNames finds names that are used twice, and sections that a deployment cannot do without.
func (c *checker) collectNames(d Deployment) {
	forEachSection(reflect.ValueOf(d), func(kind string, section reflect.Value) {
		if !sectionKinds[kind].named() {
			return
		}
		if c.names[kind] == nil {
			c.names[kind] = map[string]bool{}
		}
		id := sectionID{kind, section.FieldByName("Name").String()}
		if !namePart.MatchString(id.name) {
			c.add(id, "", "malformed name", allowedName)
		}
		if c.names[kind][id.name] {
			c.add(id, "", "duplicate section", "each name once")
		}
		c.names[kind][id.name] = true
	})
	for _, kind := range []string{"FailureDomain", "Entry", "Endpoint"} {
		if len(c.names[kind]) == 0 {
			c.add(sectionID{kind: kind}, "", "section is missing", fmt.Sprintf("at least one [%s \"Name\"]", kind))
		}
	}
}

func (c *checker) checkKey(id sectionID, key string, rule keyRule, v reflect.Value) {
	if isEmpty(v) {
		if rule.Required {
			c.add(id, key, "value is missing", rule.allowed())
		}
		return
	}
	low, high := parseRule(rule, rule.Min), parseRule(rule, rule.Max)
	if low.IsValid() && (less(v, low) || less(high, v)) {
		c.add(id, key, formatValue(v, rule.size)+" is out of range", rule.allowed())
	}
	if rule.Refers == "" {
		return
	}
	names, ok := v.Interface().([]string)
	if !ok {
		names = []string{v.String()}
	}
	for _, name := range names {
		if !c.names[rule.Refers][name] {
			c.add(id, key, fmt.Sprintf("there is no [%s]", sectionID{rule.Refers, name}), rule.allowed())
		}
	}
}

// less compares numbers; a value that is not a number, such as NaN, is below every bound.
func less(a, b reflect.Value) bool {
	if a.CanInt() {
		return a.Int() < b.Int()
	}
	return !(a.Float() >= b.Float())
}

func (c *checker) checkLimits(d Deployment) {
	id, l := sectionID{kind: "Limits"}, d.Limits
	if l.HeaderTimeout > l.RequestTimeout {
		c.add(id, "HeaderTimeout", fmt.Sprintf("%s exceeds RequestTimeout, so no slow header could ever be answered",
			formatDuration(l.HeaderTimeout)), "up to RequestTimeout, "+formatDuration(l.RequestTimeout))
	}
	if l.BodyTimeout > l.RequestTimeout {
		c.add(id, "BodyTimeout", fmt.Sprintf("%s exceeds RequestTimeout, so no slow body could ever be answered",
			formatDuration(l.BodyTimeout)), "up to RequestTimeout, "+formatDuration(l.RequestTimeout))
	}
	if l.ClaimRetention < l.RequestTimeout {
		c.add(id, "ClaimRetention", fmt.Sprintf("%s is below RequestTimeout, so an order could run again while its "+
			"caller still waits", formatDuration(l.ClaimRetention)),
			"at least RequestTimeout, "+formatDuration(l.RequestTimeout))
	}
	entries := map[string]int{}
	most := int(defaultValues["Limits"]["WatchersPerDomain"].Int())
	for _, e := range d.Entries {
		entries[e.FailureDomain]++
		most = max(most, entries[e.FailureDomain])
	}
	if l.WatchersPerDomain > most {
		c.add(id, "WatchersPerDomain", fmt.Sprintf("%d is more than any failure domain has entries", l.WatchersPerDomain),
			fmt.Sprintf("up to %d", most))
	}
}

func (c *checker) checkEndpoints(d Deployment) {
	for _, e := range d.Endpoints {
		id := sectionID{"Endpoint", e.Name}
		if e.ColdLimit > e.BatchLimit {
			c.add(id, "ColdLimit", fmt.Sprintf("%d exceeds BatchLimit", e.ColdLimit),
				fmt.Sprintf("up to BatchLimit, %d", e.BatchLimit))
		}
		need, other, needed, unwanted := "Model", "Service", e.Model, e.Service
		if e.Kind == ServiceEndpoint {
			need, other, needed, unwanted = "Service", "Model", e.Service, e.Model
		}
		if needed == "" {
			c.add(id, need, fmt.Sprintf("a %s needs it", e.Kind), sectionKinds["Endpoint"].keys[need].allowed())
		}
		if unwanted != "" {
			c.add(id, other, fmt.Sprintf("a %s has none", e.Kind), "leave it out, or another Kind")
		}
	}
	for _, m := range d.Models {
		// The version stands in block identities, log lines and on command lines.
		if m.Version != "" && !namePart.MatchString(m.Version) {
			c.add(sectionID{"Model", m.Name}, "Version", "malformed version", allowedName)
		}
	}
	for _, s := range d.Services {
		for _, method := range s.OnceMethods {
			if !slices.Contains(onceMethods, method) {
				c.add(sectionID{"Service", s.Name}, "OnceMethods", fmt.Sprintf("%q is not a method", shorten(method)),
					fmt.Sprint(onceMethods))
			}
		}
	}
}

var onceMethods = []string{http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodPatch, http.MethodPost,
	http.MethodPut}

func (c *checker) checkAddresses(d Deployment) {
	owners := map[netip.AddrPort]sectionID{}
	visit := func(kind, name string, addr netip.AddrPort) {
		id := sectionID{kind, name}
		if addr == (netip.AddrPort{}) {
			return // reported as missing
		}
		if text := unreachable(addr); text != "" {
			c.add(id, "Address", fmt.Sprintf("%s %s", addr, text), "an address that other hosts can connect to, port 1 to 65535")
			return
		}
		plain := plainAddress(addr)
		if owner, ok := owners[plain]; ok {
			c.add(id, "Address", fmt.Sprintf("%s is the address of [%s] too", plain, owner), "one part per address")
			return
		}
		owners[plain] = id
	}
	for _, e := range d.Entries {
		visit("Entry", e.Name, e.Address)
	}
	for _, e := range d.Endpoints {
		visit("Endpoint", e.Name, e.Address)
	}
	for _, s := range d.Stores {
		visit("Store", s.Name, s.Address)
	}
}

// unreachable tells why no connection to an address can succeed, from its form alone.
func unreachable(addr netip.AddrPort) string {
	ip := addr.Addr().Unmap()
	switch {
	case !ip.IsValid():
		return "is no address"
	case addr.Port() == 0:
		return "has port 0"
	case ip.IsUnspecified():
		return "is the unspecified address"
	case ip.IsMulticast():
		return "is a multicast address"
	case ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		return "is the broadcast address"
	case ip.Zone() != "":
		return "has a zone, which only one host knows"
	}
	return ""
}

func (c *checker) checkOrganisations(d Deployment) {
	owners := map[string]sectionID{}
	for _, o := range d.Organisations {
		id := sectionID{"Organisation", o.Name}
		if o.CredentialHash == "" {
			continue // reported as missing
		}
		sum, err := hex.DecodeString(o.CredentialHash)
		// The value is not repeated: it may be the credential itself.
		if err != nil || len(sum) != 32 || hex.EncodeToString(sum) != o.CredentialHash {
			c.add(id, "CredentialHash", "not a SHA-256", "64 lower-case hexadecimal digits")
			continue
		}
		if o.CredentialHash == emptyCredential {
			c.add(id, "CredentialHash", "the SHA-256 of an empty credential", "the SHA-256 of a credential")
		}
		if owner, ok := owners[o.CredentialHash]; ok {
			c.add(id, "CredentialHash", fmt.Sprintf("[%s] has the same credential", owner), "one organisation per credential")
			continue
		}
		owners[o.CredentialHash] = id
	}
}
