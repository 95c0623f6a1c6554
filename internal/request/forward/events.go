package forward

import (
	"bytes"
	"math"
	"strconv"

	"github.com/cockroachdb/errors"
)

// eventSplitter splits an event stream into complete events. Bytes after the last complete event are buffered, since the
// endpoint may stop in the middle of an event.
type eventSplitter struct {
	// partial holds the bytes after the last complete event.
	partial []byte
	// lastNumber is the highest numeric event ID so far, at first that of the event after which the caller resumes, if any. Events
	// with a numeric ID up to lastNumber are dropped: an endpoint that resumes a stream may begin with some that the caller already
	// has.
	lastNumber int64
	// lastID is the ID, as the endpoint wrote it, of the last complete event that has an ID and was not dropped.
	lastID string
	// hasEvents is set once the current attempt has brought a complete event, also one that the caller already has. Comments and blank
	// lines are no events.
	hasEvents bool
	// resumed is set if the current attempt continues a stream of which the caller has a part.
	resumed bool
}

// newEventSplitter returns a splitter for a stream that begins after the event with ID lastEvent.
func newEventSplitter(lastEvent string) *eventSplitter {
	e := &eventSplitter{lastNumber: math.MinInt64}
	if n, err := strconv.ParseInt(lastEvent, 10, 64); err == nil {
		e.lastNumber = n
	}
	return e
}

// begin prepares for the stream of the next attempt. resumed is set if the caller has a part of the stream already.
func (e *eventSplitter) begin(resumed bool) { e.partial, e.hasEvents, e.resumed = nil, false, resumed }

// Errors of add.
var (
	errEventTooLong = errors.New("event is too long")
	errForeignEvent = errors.New("resumed stream does not continue with an event")
	errBuildUnknown = errors.New("build of the endpoint that resumes the stream is not known")
)

// maxEventBytes bounds the buffered bytes of an incomplete event. Many streams at a time may reach it, when endpoints send bytes
// without end that are no events.
const maxEventBytes = 128 << 10

// add appends p to the stream and returns the events that it completes, without those that the caller already has. Its errors are
// errEventTooLong if an incomplete event exceeds maxEventBytes and errForeignEvent if a resumed stream has something that is no event, such as
// the text of an error, or begins with an event without an ID.
func (e *eventSplitter) add(p []byte) (complete []byte, err error) {
	// The bytes that were there before contain no end of an event, but up to three of them may be the beginning of one.
	end, searched := 0, max(0, len(e.partial)-3)
	e.partial = append(e.partial, p...)
	for {
		n := eventEnd(e.partial[searched:])
		if n < 0 {
			break
		}
		event := e.partial[end : searched+n]
		searched += n
		end = searched
		id, found := eventID(event)
		if e.resumed && hasField(event) && ((!found && !e.hasEvents) || !isEvent(event)) {
			return complete, errForeignEvent
		}
		e.hasEvents = e.hasEvents || hasField(event)
		if found {
			if number, err := strconv.ParseInt(id, 10, 64); err == nil {
				if number <= e.lastNumber {
					continue
				}
				e.lastNumber = number
			}
			e.lastID = id
		}
		complete = append(complete, event...)
	}
	if end > 0 {
		e.partial = append(e.partial[:0], e.partial[end:]...)
	}
	if len(e.partial) > maxEventBytes {
		return complete, errEventTooLong
	}
	return complete, nil
}

// isEvent reports whether each line of an event is a comment or a field, whose name has no white space.
func isEvent(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		name, _, _ := bytes.Cut(bytes.Trim(line, "\r"), []byte(":"))
		if bytes.ContainsAny(name, " \t") {
			return false
		}
	}
	return true
}

// eventEnd returns the length of the first complete event in b, including the empty line that ends it, or -1 if there is none.
func eventEnd(b []byte) int {
	lf, crlf := bytes.Index(b, []byte("\n\n")), bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return -1
	case lf < 0 || (crlf >= 0 && crlf < lf):
		return crlf + 4
	}
	return lf + 2
}

// hasField reports whether an event has a line that is neither blank nor a comment.
func hasField(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if line = bytes.Trim(line, "\r"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// eventID returns the value of the id field of an event.
func eventID(event []byte) (id string, found bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
