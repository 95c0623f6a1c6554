package operator

import (
	"time"

	"primrosecourse/internal/process/story"
	"primrosecourse/pkg/settings"
)

// Report is what a command prints, as text or as JSON.
type Report struct {
	// Outcome and Error repeat the outcome of the command.
	Outcome Code
	Error   string `json:",omitempty"`
	// Problems lists what is wrong with the files.
	Problems settings.Problems `json:",omitempty"`
	// Version is the configuration version that the command read or accepted, Operator and At who accepted it when.
	Version  uint64    `json:",omitzero"`
	Operator string    `json:",omitempty"`
	At       time.Time `json:",omitzero"`
	// Story is what log files tell of a request.
	Story *story.Story `json:",omitempty"`
	// Changes lists what the command changed or, with DryRun, would change.
	Changes []settings.Change `json:",omitempty"`
	DryRun  bool              `json:",omitempty"`
	// Winner is the change of another operator that came first.
	Winner *Winner `json:",omitempty"`
	// NotPushed lists the entries that the accepted version could not be pushed to. They get it from the platform or
	// from their peers.
	NotPushed []Part `json:",omitempty"`
	// NotInForce lists the entries and agents that did not report the version in time.
	NotInForce []Part `json:",omitempty"`
	// InForce is true after waiting until every entry and agent reported the version.
	InForce bool `json:",omitempty"`
	// Deployment is the configuration that was asked for.
	Deployment *settings.Deployment `json:",omitempty"`
	Status     *Status              `json:",omitempty"`
}

// Winner tells who changed the configuration first, and how it differs from the one that the loser started from.
type Winner struct {
	Version  uint64
	Operator string
	At       time.Time
	Changes  []settings.Change
}

// Part is an entry or an agent that a command could not reach or that has another version.
type Part struct {
	// Kind is Entry or Endpoint.
	Kind    string
	Name    string
	Address string
	// ConfigVersion is the version that the part reported last; 0 if it did not answer.
	ConfigVersion uint64
	Error         string `json:",omitempty"`
}
