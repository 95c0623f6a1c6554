package settings

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"net/netip"
	"reflect"
	"slices"
)

// emptyCredentialHash is the SHA-256 of the empty string. An organisation with this hash would match every caller that
// sends no credential.
const emptyCredentialHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

// Check returns the problems of d as Problems without file and line, or nil if there are none. The defaults must have
// been applied to d.
func Check(d Deployment) error {
	var problems Problems
	for _, p := range check(d) {
		problems = append(problems, p.Problem)
	}
	return problems.err()
}

// sectionProblem is a Problem and the section in which its file and line are looked up.
type sectionProblem struct {
	Problem
	id sectionID
}

// checker collects the problems of one deployment.
type checker struct {
	problems []sectionProblem
	// names is the set of section names, by kind.
	names map[string]map[string]bool
}

func check(d Deployment) []sectionProblem {
	c := &checker{names: map[string]map[string]bool{}}
	if d.Site == "" {
		c.addProblem(sectionID{kind: "Site"}, "Name", "value is missing", sectionKinds["Site"].keys["Name"].allowed())
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

func (c *checker) addProblem(id sectionID, key, text, allowed string) {
	c.problems = append(c.problems,
		sectionProblem{Problem{Section: id.String(), Key: key, Text: text, Allowed: allowed}, id})
}

// collectNames fills c.names. It reports malformed and duplicate names, and each kind of section of which a deployment
// needs at least one and has none.
func (c *checker) collectNames(d Deployment) {
	forEachSection(reflect.ValueOf(d), func(kind string, section reflect.Value) {
		if !sectionKinds[kind].named() {
			return
		}
		if c.names[kind] == nil {
			c.names[kind] = map[string]bool{}
		}
		id := sectionID{kind, section.FieldByName("Name").String()}
		if !namePattern.MatchString(id.name) {
			c.addProblem(id, "", "malformed name", allowedName)
		}
		if c.names[kind][id.name] {
			c.addProblem(id, "", "duplicate section", "each name once")
		}
		c.names[kind][id.name] = true
	})
	for _, kind := range []string{"FailureDomain", "Entry", "Endpoint"} {
		if len(c.names[kind]) == 0 {
			c.addProblem(sectionID{kind: kind}, "", "section is missing", fmt.Sprintf("at least one [%s \"Name\"]", kind))
		}
	}
}

// checkKey checks the value of one key against its rule.
func (c *checker) checkKey(id sectionID, key string, rule keyRule, v reflect.Value) {
	if isEmpty(v) {
		if rule.Required {
			c.addProblem(id, key, "value is missing", rule.allowed())
		}
		return
	}
	low, high := parseRule(rule, rule.Min), parseRule(rule, rule.Max)
	if low.IsValid() && (less(v, low) || less(high, v)) {
		c.addProblem(id, key, formatValue(v, rule.byteSize)+" is out of range", rule.allowed())
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
			c.addProblem(id, key, fmt.Sprintf("there is no [%s]", sectionID{rule.Refers, name}), rule.allowed())
		}
	}
}

// less reports whether the number a is below b. A NaN is below every bound.
func less(a, b reflect.Value) bool {
	if a.CanInt() {
		return a.Int() < b.Int()
	}
	return !(a.Float() >= b.Float())
}

func (c *checker) checkLimits(d Deployment) {
	id, l := sectionID{kind: "Limits"}, d.Limits
	if l.HeaderTimeout > l.RequestTimeout {
		c.addProblem(id, "HeaderTimeout", fmt.Sprintf("%s exceeds RequestTimeout, so no slow header could ever be answered",
			formatDuration(l.HeaderTimeout)), "up to RequestTimeout, "+formatDuration(l.RequestTimeout))
	}
	if l.BodyTimeout > l.RequestTimeout {
		c.addProblem(id, "BodyTimeout", fmt.Sprintf("%s exceeds RequestTimeout, so no slow body could ever be answered",
			formatDuration(l.BodyTimeout)), "up to RequestTimeout, "+formatDuration(l.RequestTimeout))
	}
	if l.ClaimRetention < l.RequestTimeout {
		c.addProblem(id, "ClaimRetention", fmt.Sprintf("%s is below RequestTimeout, so an order could run again while its "+
			"caller still waits", formatDuration(l.ClaimRetention)),
			"at least RequestTimeout, "+formatDuration(l.RequestTimeout))
	}
	entryCount := map[string]int{}
	maxWatchers := int(defaultValues["Limits"]["WatchersPerDomain"].Int())
	for _, e := range d.Entries {
		entryCount[e.FailureDomain]++
		maxWatchers = max(maxWatchers, entryCount[e.FailureDomain])
	}
	if l.WatchersPerDomain > maxWatchers {
		c.addProblem(id, "WatchersPerDomain", fmt.Sprintf("%d is more than any failure domain has entries", l.WatchersPerDomain),
			fmt.Sprintf("up to %d", maxWatchers))
	}
}

func (c *checker) checkEndpoints(d Deployment) {
	for _, e := range d.Endpoints {
		id := sectionID{"Endpoint", e.Name}
		if e.ColdLimit > e.BatchLimit {
			c.addProblem(id, "ColdLimit", fmt.Sprintf("%d exceeds BatchLimit", e.ColdLimit),
				fmt.Sprintf("up to BatchLimit, %d", e.BatchLimit))
		}
		requiredKey, excludedKey, required, excluded := "Model", "Service", e.Model, e.Service
		if e.Kind == ServiceEndpoint {
			requiredKey, excludedKey, required, excluded = "Service", "Model", e.Service, e.Model
		}
		if required == "" {
			c.addProblem(id, requiredKey, fmt.Sprintf("a %s needs it", e.Kind), sectionKinds["Endpoint"].keys[requiredKey].allowed())
		}
		if excluded != "" {
			c.addProblem(id, excludedKey, fmt.Sprintf("a %s has none", e.Kind), "leave it out, or another Kind")
		}
	}
	for _, m := range d.Models {
		// The version is a part of block identities, log lines and command lines, so it must have the form of a name.
		if m.Version != "" && !namePattern.MatchString(m.Version) {
			c.addProblem(sectionID{"Model", m.Name}, "Version", "malformed version", allowedName)
		}
	}
	for _, s := range d.Services {
		for _, method := range s.OnceMethods {
			if !slices.Contains(onceMethods, method) {
				c.addProblem(sectionID{"Service", s.Name}, "OnceMethods", fmt.Sprintf("%q is not a method", shorten(method)),
					fmt.Sprint(onceMethods))
			}
		}
	}
}

// onceMethods are the HTTP methods that Service.OnceMethods may contain.
var onceMethods = []string{http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodPatch, http.MethodPost,
	http.MethodPut}

// checkAddresses reports addresses to which no connection is possible, and addresses that several sections share.
func (c *checker) checkAddresses(d Deployment) {
	owners := map[netip.AddrPort]sectionID{}
	checkAddress := func(kind, name string, addr netip.AddrPort) {
		id := sectionID{kind, name}
		if addr == (netip.AddrPort{}) {
			return // checkKey reports the missing address
		}
		if text := unreachableReason(addr); text != "" {
			c.addProblem(id, "Address", fmt.Sprintf("%s %s", addr, text), "an address that other hosts can connect to, port 1 to 65535")
			return
		}
		unmapped := unmapAddress(addr)
		if owner, ok := owners[unmapped]; ok {
			c.addProblem(id, "Address", fmt.Sprintf("%s is the address of [%s] too", unmapped, owner), "one section per address")
			return
		}
		owners[unmapped] = id
	}
	for _, e := range d.Entries {
		checkAddress("Entry", e.Name, e.Address)
	}
	for _, e := range d.Endpoints {
		checkAddress("Endpoint", e.Name, e.Address)
	}
	for _, s := range d.Stores {
		checkAddress("Store", s.Name, s.Address)
	}
}

// unreachableReason returns why addr cannot be the address of a section, or "" if it can. Loopback addresses are allowed, for
// deployments on a single host.
func unreachableReason(addr netip.AddrPort) string {
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

// checkOrganisations reports malformed, empty and shared credentials.
func (c *checker) checkOrganisations(d Deployment) {
	owners := map[string]sectionID{}
	for _, o := range d.Organisations {
		id := sectionID{"Organisation", o.Name}
		if o.CredentialHash == "" {
			continue // checkKey reports the missing hash
		}
		sum, err := hex.DecodeString(o.CredentialHash)
		// The problem does not quote the value, since it may be the credential itself.
		if err != nil || len(sum) != 32 || hex.EncodeToString(sum) != o.CredentialHash {
			c.addProblem(id, "CredentialHash", "not a SHA-256", "64 lower-case hexadecimal digits")
			continue
		}
		if o.CredentialHash == emptyCredentialHash {
			c.addProblem(id, "CredentialHash", "the SHA-256 of an empty credential", "the SHA-256 of a credential")
		}
		if owner, ok := owners[o.CredentialHash]; ok {
			c.addProblem(id, "CredentialHash", fmt.Sprintf("[%s] has the same credential", owner), "one organisation per credential")
			continue
		}
		owners[o.CredentialHash] = id
	}
}
