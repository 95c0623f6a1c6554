package event

// Events 5000 to 5999, of stand-ins.
const (
	// StandinStarted is reserved for the start of a stand-in; it is not logged.
	StandinStarted ID = 5000 + iota
	// StandinStopped is reserved for the stop of a stand-in; it is not logged.
	StandinStopped
)
