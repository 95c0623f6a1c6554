package tiering

import (
	"net/url"
	"strconv"
	"strings"
)

// Scope identifies a set of prompts whose cached parts may be shared. Parts are never shared between a dedicated
// organisation and any other, between models or between weight versions.
type Scope struct {
	// Organisation is the name of a dedicated organisation, or empty for the organisations that share parts.
	Organisation string
	// Sharing identifies the organisations that share parts, in lower-case letters and digits (site.Configuration.Sharing); it is empty
	// if no organisation is dedicated, and for a dedicated one.
	Sharing string
	Model   string
	Version uint64
}

// Prefixes of the text of a scope: one for the organisations that share parts, which a point and Sharing may follow, and one for dedicated
// organisations.
const (
	sharedScope    = "Shared"
	dedicatedScope = "Own"
)

// String returns the text of the scope. Different scopes have different texts: slashes in names are escaped.
func (s Scope) String() string {
	tail := "/" + url.PathEscape(s.Model) + "/" + strconv.FormatUint(s.Version, 10)
	switch {
	case s.Organisation == "" && s.Sharing == "":
		return sharedScope + tail
	case s.Organisation == "":
		return sharedScope + "." + s.Sharing + tail
	}
	return dedicatedScope + "/" + url.PathEscape(s.Organisation) + tail
}

// ParseScope parses the text that Scope.String returns. ok is false if text has another form.
func ParseScope(text string) (s Scope, ok bool) {
	head, version, found := cutLast(text)
	if !found {
		return s, false
	}
	n, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return s, false
	}
	head, model, found := cutLast(head)
	if !found {
		return s, false
	}
	organisation, dedicated := strings.CutPrefix(head, dedicatedScope+"/")
	if !dedicated && head != sharedScope {
		sharing, ok := strings.CutPrefix(head, sharedScope+".")
		if !ok || sharing == "" || strings.Trim(sharing, "0123456789abcdefghijklmnopqrstuvwxyz") != "" {
			return s, false
		}
		s.Sharing = sharing
	}
	s.Version = n
	if s.Model, err = url.PathUnescape(model); err != nil {
		return Scope{}, false
	}
	if dedicated {
		if s.Organisation, err = url.PathUnescape(organisation); err != nil || s.Organisation == "" {
			return Scope{}, false
		}
	}
	return s, true
}

// cutLast cuts text at its last slash.
func cutLast(text string) (before, after string, found bool) {
	i := strings.LastIndexByte(text, '/')
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+1:], true
}
