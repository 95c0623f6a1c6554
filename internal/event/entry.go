package event

// Events 1000 to 1999.
const (
	// EntryStarted tells that the part is running.
	EntryStarted ID = 1000 + iota
	// EntryStopped tells that the part ended.
	EntryStopped
)
