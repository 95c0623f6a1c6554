package tiering

import (
	"strconv"
	"strings"
)

// Scope separates cached parts that must not be used for each other: those of a dedicated organisation from all others,
// those of one model from another, and those of one weight version from another.
type Scope struct {
	// Organisation is the name of a dedicated organisation, empty for all that share.
	Organisation string
	Model        string
	Version      uint64
}

// The first words of the text of a scope.
const (
	sharedScope = "Shared"
	ownScope    = "Own"
)

// String returns the text of the scope, which no other scope has.
func (s Scope) String() string {
	tail := "/" + s.Model + "/" + strconv.FormatUint(s.Version, 10)
	if s.Organisation == "" {
		return sharedScope + tail
	}
	return ownScope + "/" + s.Organisation + tail
}

// ParseScope reads the text of a scope.
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
	s = Scope{Model: model, Version: n}
	organisation, own := strings.CutPrefix(head, ownScope+"/")
	if own {
		s.Organisation = organisation
	}
	return s, own || head == sharedScope
}

func cutLast(text string) (before, after string, found bool) {
	i := strings.LastIndexByte(text, '/')
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+1:], true
}
