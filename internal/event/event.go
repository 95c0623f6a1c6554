package event

import (
	"strings"

	"github.com/go-logr/logr"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=ID -output=id_string.go

// ID is the number of a log event. Numbers are never reused.
type ID int

// Info logs the event at the default level with its name, its number and the given key-value pairs.
func Info(log logr.Logger, id ID, keysAndValues ...any) {
	log.Info(id.String(), append([]any{"Event", int(id)}, keysAndValues...)...)
}

// Debug logs the event at level 1. It is for events of normal operation that succeed. Under load these log lines are the
// first to be dropped.
func Debug(log logr.Logger, id ID, keysAndValues ...any) {
	Info(log.V(1), id, keysAndValues...)
}

// Error logs the event as an error with its name, its number and the given key-value pairs.
func Error(log logr.Logger, err error, id ID, keysAndValues ...any) {
	log.Error(err, id.String(), append([]any{"Event", int(id)}, keysAndValues...)...)
}

// maxText limits the result of Shorten in bytes, without the mark of a cut.
const maxText = 200

// Shorten cuts a text to 200 bytes for the log and marks the cut with three dots. It is for names and errors that contain what an outside
// system sent, which may be of any length.
func Shorten(text string) string {
	if len(text) <= maxText {
		return text
	}
	return strings.ToValidUTF8(text[:maxText], "") + "..."
}
