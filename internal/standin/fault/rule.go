package fault

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Kind -output=kind_string.go

// Kind is a way to fail. In JSON it is spelled like the constant.
type Kind uint8

// The kinds of faults.
const (
	// None lets the request through.
	None Kind = iota
	// Outage answers 503 without effect.
	Outage
	// Delay serves the request after Rule.Delay.
	Delay
	// RateLimit answers 429 without effect.
	RateLimit
	// ReplyLost serves the request and closes the connection instead of answering.
	ReplyLost
	// Refuse answers Rule.Status without effect; without a status it closes the connection.
	Refuse
	// Pause holds the request until the rule ends, and serves it then even if the caller gave up.
	Pause
	// WatchGap makes a stand-in forget the events that a watch asks for.
	WatchGap
)

// MarshalText implements encoding.TextMarshaler.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Kind) UnmarshalText(text []byte) error {
	for i := None; i <= WatchGap; i++ {
		if i.String() == string(text) {
			*k = i
			return nil
		}
	}
	return errors.Newf("fault: unknown kind %q", text)
}

// Rule fails the requests that it matches. Of several matching rules the oldest applies.
type Rule struct {
	// ID is given by Set.
	ID   int
	Kind Kind
	// Method and Route choose the requests: the HTTP method and a prefix of the path. Empty matches all.
	Method string
	Route  string
	// Skip is the number of matching requests that pass before the rule applies.
	Skip int
	// Count is the number of requests that the rule applies to; it ends after them. 0 sets no end.
	Count int
	// Delay is the time that Delay holds a request, in nanoseconds in JSON.
	Delay time.Duration
	// Status is the answer of Refuse.
	Status int
	// RetryAfter is sent with Outage and RateLimit, in whole seconds, if it is not 0.
	RetryAfter time.Duration
}

func (r Rule) matches(method, path string) bool {
	return (r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.Route)
}
