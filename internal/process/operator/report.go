package operator

import (
	"time"

	"primrosecourse/internal/process/explain"
	"primrosecourse/internal/process/story"
	"primrosecourse/pkg/settings"
)

// Report is the result of a command, printed as text or as JSON.
type Report struct {
	// Outcome is the outcome of the command, and Error is its error text.
	Outcome Code
	Error   string `json:",omitempty"`
	// Problems lists the errors in the settings files.
	Problems settings.Problems `json:",omitempty"`
	// Version is the configuration version that the command read or accepted. Operator and At are the operator who
	// accepted it and the time.
	Version  uint64    `json:",omitzero"`
	Operator string    `json:",omitempty"`
	At       time.Time `json:",omitzero"`
	// Story contains the log lines of one request.
	Story *story.Story `json:",omitempty"`
	// Explanation is where a gateway would send a request.
	Explanation *explain.Explanation `json:",omitempty"`
	// Changes lists the changes that the command made or, if it failed or with DryRun, would have made.
	Changes []settings.Change `json:",omitempty"`
	DryRun  bool              `json:",omitempty"`
	// Winner is the change of another operator that was accepted first.
	Winner *Winner `json:",omitempty"`
	// NotPushed lists the entries to which the accepted version could not be pushed. They get it later from the platform
	// or from their peers.
	NotPushed []Part `json:",omitempty"`
	// NotInForce lists the entries and agents that did not report the version in time.
	NotInForce []Part `json:",omitempty"`
	// InForce is true if the command waited and every entry and agent reported the version.
	InForce bool `json:",omitempty"`
	// Deployment is the configuration that Get read.
	Deployment *settings.Deployment `json:",omitempty"`
	Status     *Status              `json:",omitempty"`
}

// Winner is the change that was accepted first. Changes are its differences from the version that the losing command read.
type Winner struct {
	Version  uint64
	Operator string
	At       time.Time
	Changes  []settings.Change
}

// Part is an entry or an agent that a command could not reach or that has an older version.
type Part struct {
	// Kind is Entry, or Endpoint for an agent.
	Kind    string
	Name    string
	Address string
	// ConfigVersion is the last version that the entry or agent reported, or 0 if it did not respond.
	ConfigVersion uint64
	Error         string `json:",omitempty"`
}
