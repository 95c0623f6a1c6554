package engine

import "github.com/cockroachdb/errors"

// The ways in which a call fails. After ErrUnreachable the engine may have received the call; after the others it did
// not act on it.
var (
	// ErrBusy means that the engine cannot take another run now.
	ErrBusy = errors.New("engine: cannot take another run")
	// ErrWrongVersion means that the weight version asked for is not loaded, or that a block belongs to another one.
	ErrWrongVersion = errors.New("engine: another weight version is loaded")
	// ErrOldEpoch means that an order carried an old fencing number.
	ErrOldEpoch = errors.New("engine: order has an old epoch")
	// ErrNotFound means that the run or the block does not exist.
	ErrNotFound = errors.New("engine: not found")
	// ErrFull means that an imported block has no room.
	ErrFull = errors.New("engine: cache is full")
	// ErrNotSent means that there was no connection to the engine, so that no byte of the call was sent. It comes with
	// ErrUnreachable.
	ErrNotSent = errors.New("engine: not connected")
	// ErrUnreachable means that no response arrived.
	ErrUnreachable = errors.New("engine: unreachable")
	// ErrCut means that a stream ended without its last event.
	ErrCut = errors.New("engine: stream was cut")
	// ErrChecksum means that the bytes of a block do not match its checksum.
	ErrChecksum = errors.New("engine: block checksum does not match")
	// ErrBadRequest means that the engine does not accept the content of the call.
	ErrBadRequest = errors.New("engine: bad request")
)
