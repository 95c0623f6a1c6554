package quarantine

// Outcome is what became of a crash that was reported to Requests.
type Outcome uint8

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Outcome -output=outcome_string.go

// Outcomes of Requests.Crashed.
const (
	// Marked means that the crash counts.
	Marked Outcome = iota
	// KnownBefore means that the crash of the endpoint was already known when the run began.
	KnownBefore
	// EndedWellSince means that it does not, since the request has ended well after it.
	EndedWellSince
	// NoRoom means that it does not, since too many changes wait to be written.
	NoRoom
)
