package event

// Events 3000 to 3999, of the distribution of the configuration.
const (
	// ConfigStarted is logged when a process starts to follow the configuration.
	ConfigStarted ID = 3000 + iota
	// ConfigStopped is logged when a process stops following the configuration.
	ConfigStopped
	// ConfigReady is logged when a process has obtained its first configuration after its start.
	ConfigReady
	// ConfigAccepted is logged when a process accepts a configuration of a higher version. The configuration takes effect at
	// once or, before ConfigReady, with ConfigReady.
	ConfigAccepted
	// ConfigInvalid is logged when a process rejects a configuration of a higher version because its content is
	// invalid.
	ConfigInvalid
	// ConfigReadFailed is logged when a process fails to read or watch the configuration on the platform.
	ConfigReadFailed
	// ConfigWatchGap is logged when a watch on the platform missed changes; the process reads the configuration
	// again.
	ConfigWatchGap
	// ConfigDirectRead is logged when a process reads the platform because it receives no heartbeats from peers.
	ConfigDirectRead
	// ConfigWatching is logged when a process starts or stops watching the platform.
	ConfigWatching
	// PeerConnected is logged when a connection between peers is established by an exchange of Hello messages.
	PeerConnected
	// PeerClosed is logged when a connection between peers ends or cannot be established.
	PeerClosed
	// PeerRefused is logged when a process refuses the connection of a peer before or during the exchange of Hello
	// messages.
	PeerRefused
	// PeerContentSent is logged when a process sends the content of a configuration version to a peer.
	PeerContentSent
	// ConfigPlatformOlder is logged when the platform has a lower configuration version than the one in force.
	ConfigPlatformOlder
)
