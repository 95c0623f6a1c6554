package event

// Events 5000 to 5999.
const (
	// StandinStarted tells that the part is running.
	StandinStarted ID = 5000 + iota
	// StandinStopped tells that the part ended.
	StandinStopped
)
