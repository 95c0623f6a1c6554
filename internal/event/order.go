package event

// Events 4000 to 4999.
const (
	// OrderStarted tells that the part is running.
	OrderStarted ID = 4000 + iota
	// OrderStopped tells that the part ended.
	OrderStopped
)
