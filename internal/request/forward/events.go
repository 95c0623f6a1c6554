package forward

import (
	"bytes"
	"strconv"
)

// events splits an event stream into whole events. Bytes after the last whole event are kept back, since an endpoint may
// stop in the middle of one.
type events struct {
	rest []byte
	// after drops events up to this number: an endpoint that resumes may begin with some that the caller has.
	after int64
	// last is the identity of the last whole event, as the stream had it.
	last string
}

// maxEventBytes bounds an event that has not ended.
const maxEventBytes = 1 << 20

// add takes bytes of the stream and returns the whole events in them. The result is valid until the next call.
func (e *events) add(p []byte) (whole []byte, ok bool) {
	e.rest = append(e.rest, p...)
	end := 0
	for {
		n := eventEnd(e.rest[end:])
		if n < 0 {
			break
		}
		event := e.rest[end : end+n]
		end += n
		id, found := eventID(event)
		if found {
			if number, err := strconv.ParseInt(id, 10, 64); err == nil {
				if number <= e.after {
					continue
				}
				e.after = number
			}
			e.last = id
		}
		whole = append(whole, event...)
	}
	e.rest = append(e.rest[:0], e.rest[end:]...)
	return whole, len(e.rest) <= maxEventBytes
}

// eventEnd returns the length of the first whole event in b with its empty line, -1 if there is none.
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

// eventID returns the identity of an event.
func eventID(event []byte) (id string, found bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
