// Package statecheck examines a desired state before operators write it to the store:
// what cannot be decoded, what can never match or contradicts itself or the machines,
// and what differs from the state in force. It does no I/O and does not decode;
// package platform translates an encoded state into a Document with the decoder of
// the instances.
package statecheck

import (
	"fmt"

	"jujubestile.example/jujubestile/internal/desired"
)

// Kind is a kind of object of a desired state.
type Kind string

// The kinds. The state and its limits are single objects without a name.
const (
	KindState   Kind = "state"
	KindLimits  Kind = "limits"
	KindRoute   Kind = "route"
	KindService Kind = "service"
)

// Field is a field of an object in the product's own terms.
type Field string

// The fields that findings and changes refer to.
const (
	FieldVersion       Field = "version"
	FieldName          Field = "name"
	FieldHost          Field = "host"
	FieldPrefix        Field = "prefix"
	FieldRepeatable    Field = "repeatable"
	FieldTimeout       Field = "timeout"
	FieldTarget        Field = "target-latency"
	FieldRank          Field = "rank"
	FieldSplit         Field = "traffic-split"
	FieldAttempts      Field = "max-attempts"
	FieldSticky        Field = "sticky"
	FieldRegions       Field = "allowed-regions"
	FieldHealthPath    Field = "health-path"
	FieldConnections   Field = "max-connections"
	FieldColdStart     Field = "cold-start"
	FieldColdRate      Field = "cold-rate"
	FieldMaxHeader     Field = "max-header"
	FieldMaxBody       Field = "max-body"
	FieldHeaderTimeout Field = "header-timeout"
	FieldIdleTimeout   Field = "idle-timeout"
)

// Document is a desired state with the places of its parts.
type Document struct {
	// State is the decoded state, or nil if Faults has the reasons why it cannot be
	// decoded. Routes and Services have its parts in the order of the encoding, with
	// those that occur twice.
	State    *desired.State
	Routes   []desired.Route
	Services []desired.Service
	Faults   []Finding
	// Oddities are parts of the encoding that the decoder ignores.
	Oddities []Finding
	// Place returns the line of the nth object of a kind, or of one of its fields, and
	// the name of the field in the encoding. The line is 0 if it is unknown.
	Place func(k Kind, n int, f Field) (line int, name string)
}

// place is Place for documents without one.
func (d *Document) place(k Kind, n int, f Field) (int, string) {
	if d.Place == nil {
		return 0, string(f)
	}
	return d.Place(k, n, f)
}

// Severity is the weight of a finding.
type Severity string

// The severities. An error means that instances would not put the state in force, a
// warning that they would, but that a part of it probably does not do what it should.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     string   `json:"code"`
	// Line is 0 if it is unknown.
	Line int  `json:"line,omitempty"`
	Kind Kind `json:"kind"`
	// Name is the name of the object, and Field its field as it is encoded, or empty.
	Name    string `json:"name,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns the finding as one line of text.
func (f Finding) String() string {
	where := objectName(f.Kind, f.Name)
	if f.Field != "" {
		where += ", field " + f.Field
	}
	return fmt.Sprintf("%s %s: %s: %s. %s.", f.Severity, f.Code, where, f.Message, f.Remedy)
}

func objectName(k Kind, name string) string {
	if k == KindRoute || k == KindService {
		return fmt.Sprintf("%s %q", k, name)
	}
	return string(k)
}
