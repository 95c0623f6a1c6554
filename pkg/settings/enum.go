package settings

import (
	"fmt"
	"strings"
)

var targetStates = []TargetState{Active, Leaving}
var endpointKinds = []EndpointKind{ModelEndpoint, ServiceEndpoint}

// MarshalText returns the name of the state. It fails for an undefined value.
func (i TargetState) MarshalText() ([]byte, error) { return marshalEnum(i, targetStates) }

// UnmarshalText sets the state by its exact name.
func (i *TargetState) UnmarshalText(text []byte) error { return unmarshalEnum(i, text, targetStates) }

// MarshalText returns the name of the kind. It fails for an undefined value.
func (i EndpointKind) MarshalText() ([]byte, error) { return marshalEnum(i, endpointKinds) }

// UnmarshalText sets the kind by its exact name.
func (i *EndpointKind) UnmarshalText(text []byte) error { return unmarshalEnum(i, text, endpointKinds) }

// enum is the constraint of the enum types of this package.
type enum interface {
	comparable
	fmt.Stringer
}

// marshalEnum returns the name of e, which must be one of all.
func marshalEnum[E enum](e E, all []E) ([]byte, error) {
	for _, known := range all {
		if e == known {
			return []byte(e.String()), nil
		}
	}
	return nil, fmt.Errorf("%s is not one of %s", e, enumNames(all))
}

// unmarshalEnum sets e to the value in all that has the name text.
func unmarshalEnum[E enum](e *E, text []byte, all []E) error {
	for _, known := range all {
		if string(text) == known.String() {
			*e = known
			return nil
		}
	}
	return fmt.Errorf("%q is not one of %s", text, enumNames(all))
}

// enumNames returns the names of all, separated by commas.
func enumNames[E enum](all []E) string {
	names := make([]string, len(all))
	for i, e := range all {
		names[i] = e.String()
	}
	return strings.Join(names, ", ")
}
