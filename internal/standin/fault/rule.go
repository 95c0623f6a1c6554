package fault

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Kind -output=kind_string.go

// Kind is a kind of fault. In JSON it is the name of the constant.
type Kind uint8

// The kinds of faults.
const (
	// None has no effect on the request.
	None Kind = iota
	// Outage responds with 503 without processing the request.
	Outage
	// Delay processes the request after Rule.Delay, or earlier if the rule is cleared.
	Delay
	// RateLimit responds with 429 without processing the request.
	RateLimit
	// ReplyLost processes the request and closes the connection without a response.
	ReplyLost
	// Refuse responds with Rule.Status, or closes the connection if that is 0, without processing the request.
	Refuse
	// Pause blocks the request until the rule is cleared and then processes it. Hook.Wrap does so even if the client has
	// disconnected.
	Pause
	// WatchGap makes a watch fail as if the requested events were no longer in the history.
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

// Rule injects a fault into the requests that it matches. If several rules match, the oldest applies.
type Rule struct {
	// ID is assigned by Set.
	ID   int
	Kind Kind
	// Method is the HTTP method of the requests to match, and Route a prefix of their path. An empty one matches all.
	Method string
	Route  string
	// Skip is the number of matching requests to which the rule does not apply yet.
	Skip int
	// Count is the number of requests to which the rule applies before it ends; 0 means no limit.
	Count int
	// Delay is the time for which a rule of kind Delay blocks a request; in JSON it is in nanoseconds.
	Delay time.Duration
	// Status is the HTTP status of Refuse.
	Status int
	// RetryAfter, if not 0, is sent as header Retry-After of Outage, RateLimit and Refuse, rounded down to whole seconds;
	// in JSON it is in nanoseconds.
	RetryAfter time.Duration
}

func (r Rule) matches(method, path string) bool {
	return (r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.Route)
}
