package engine

import "github.com/cockroachdb/errors"

// The errors of a call. After ErrUnreachable without ErrNotSent, and after ErrCut, the engine may have acted on the call.
// After the other errors the call has changed nothing.
var (
	// ErrBusy means that the engine cannot accept another run now.
	ErrBusy = errors.New("engine: cannot take another run")
	// ErrWrongVersion means that the requested weight version is not loaded, or that an imported block belongs to another
	// weight version than the loaded one.
	ErrWrongVersion = errors.New("engine: another weight version is loaded")
	// ErrOldEpoch means that the fencing token of an order, its Epoch, is older than that of an earlier order.
	ErrOldEpoch = errors.New("engine: order has an old epoch")
	// ErrNotFound means that the run or the block does not exist.
	ErrNotFound = errors.New("engine: not found")
	// ErrFull means that the cache has no room for an imported block.
	ErrFull = errors.New("engine: cache is full")
	// ErrNotSent means that there was no connection to the engine, so that no byte of the call was sent. Such an error is
	// also marked ErrUnreachable.
	ErrNotSent = errors.New("engine: not connected")
	// ErrUnreachable means that no valid response arrived. Unexpected statuses count too, such as 503 during a restart.
	ErrUnreachable = errors.New("engine: unreachable")
	// ErrCut means that a stream broke off before its last event or contained an invalid event.
	ErrCut = errors.New("engine: stream was cut")
	// ErrChecksum means that the bytes of a block do not match its checksum.
	ErrChecksum = errors.New("engine: block checksum does not match")
	// ErrBadRequest means that the engine refused the call because its content is invalid.
	ErrBadRequest = errors.New("engine: bad request")
)
