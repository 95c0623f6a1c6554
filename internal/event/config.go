package event

// Events 3000 to 3999.
const (
	// ConfigStarted tells that the part is running.
	ConfigStarted ID = 3000 + iota
	// ConfigStopped tells that the part ended.
	ConfigStopped
	// ConfigReady tells that the process has a configuration after its start.
	ConfigReady
	// ConfigAccepted tells that a higher version is in force.
	ConfigAccepted
	// ConfigInvalid tells that a higher version was not taken because its content is invalid.
	ConfigInvalid
	// ConfigReadFailed tells that the configuration could not be read from the platform.
	ConfigReadFailed
	// ConfigWatchGap tells that changes were missed and the configuration is read again.
	ConfigWatchGap
	// ConfigDirectRead tells that no peer sends heartbeats and the platform is read instead.
	ConfigDirectRead
	// ConfigWatching tells that the process began or ended watching the platform.
	ConfigWatching
	// PeerConnected tells that a connection between peers was greeted.
	PeerConnected
	// PeerClosed tells that a connection between peers ended.
	PeerClosed
	// PeerRefused tells that a connection was refused before or at its greeting.
	PeerRefused
	// PeerContentSent tells that a peer was sent the content of a version.
	PeerContentSent
	// ConfigPlatformOlder tells that the platform has a lower version than the one in force.
	ConfigPlatformOlder
)
