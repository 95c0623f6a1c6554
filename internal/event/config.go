package event

// Events 3000 to 3999.
const (
	// ConfigStarted tells that the part is running.
	ConfigStarted ID = 3000 + iota
	// ConfigStopped tells that the part ended.
	ConfigStopped
)
