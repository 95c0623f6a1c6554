package settings

import (
	"fmt"
	"strings"
)

var targetStates = []TargetState{Active, Leaving}
var endpointKinds = []EndpointKind{ModelEndpoint, ServiceEndpoint}

// MarshalText returns the name of the state. It fails for an undefined value.
func (i TargetState) MarshalText() ([]byte, error) { return enumText(i, targetStates) }

// UnmarshalText accepts exactly the names of the states.
func (i *TargetState) UnmarshalText(text []byte) error { return enumValue(i, text, targetStates) }

// MarshalText returns the name of the kind. It fails for an undefined value.
func (i EndpointKind) MarshalText() ([]byte, error) { return enumText(i, endpointKinds) }

// UnmarshalText accepts exactly the names of the kinds.
func (i *EndpointKind) UnmarshalText(text []byte) error { return enumValue(i, text, endpointKinds) }

type enum interface {
	comparable
	fmt.Stringer
}

func enumText[E enum](e E, all []E) ([]byte, error) {
	for _, known := range all {
		if e == known {
			return []byte(e.String()), nil
		}
	}
	return nil, fmt.Errorf("%s is not one of %s", e, enumNames(all))
}

func enumValue[E enum](e *E, text []byte, all []E) error {
	for _, known := range all {
		if string(text) == known.String() {
			*e = known
			return nil
		}
	}
	return fmt.Errorf("%q is not one of %s", text, enumNames(all))
}

func enumNames[E enum](all []E) string {
	names := make([]string, len(all))
	for i, e := range all {
		names[i] = e.String()
	}
	return strings.Join(names, ", ")
}
