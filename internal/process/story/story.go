// Package story collects the log lines of one request from the log files of several machines: the lines that name the request,
// in the order of time, and for each endpoint to which it was sent, the state of that endpoint and the configuration version
// that the sending gateway had logged last before.
//
// Lines that contain no JSON object with an event number are skipped; text before the object, such as a time or a machine's
// name, is ignored.
// Missing lines are described in Gaps.
//
// # Usage
//
//	s, err := story.Read("9c41d07be2a35f68", files...)
//	s.WriteText(os.Stdout)
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
)

// Line is a line of a log.
type Line struct {
	Time    time.Time
	Machine string
	Event   int
	Name    string
	Fields  map[string]any
}

// Story contains the log lines that concern a request.
type Story struct {
	Request string
	Lines   []Line
	// Beliefs are, for each attempt of the request, the last lines that the sending gateway had logged before it about the
	// state of the attempt's endpoint and about the gateway's own configuration.
	Beliefs []Line
	// Gaps describes the missing lines, for an operator to read.
	Gaps []string
}

// dropWindow extends the time of a request at both ends. Lines of the request may be among those that a LogDropped line in
// the extended time reports.
const dropWindow = 2 * time.Second

// Read collects the story of a request from log files.
func Read(request string, files ...string) (s *Story, err error) {
	defer func() { err = errors.Wrapf(err, "story of %s", request) }()
	var all []Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := scan(f)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return assemble(request, all), nil
}

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// scan returns the lines of a log that contain a JSON object with an event number.
func scan(r io.Reader) (lines []Line, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(text[start:], &fields) != nil {
			continue
		}
		number, ok := fields["Event"].(float64)
		if !ok {
			continue
		}
		l := Line{Event: int(number), Fields: fields}
		l.Name, _ = fields["msg"].(string)
		l.Machine, _ = fields["logger"].(string)
		if timestamp, ok := fields["time"].(string); ok {
			// A line without a time, or whose time cannot be parsed, has the zero time. It is still shown and sorts first.
			l.Time, _ = time.Parse(time.RFC3339Nano, timestamp)
		}
		for _, name := range []string{"time", "level", "msg", "logger", "Event"} {
			delete(fields, name)
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// assemble selects the lines of a request and its Beliefs from all lines, which are sorted by time.
func assemble(request string, all []Line) *Story {
	s := &Story{Request: request}
	latest := map[string]Line{}
	for _, l := range all {
		switch event.ID(l.Event) {
		case event.EndpointListed, event.EndpointMissing, event.EndpointRemoved, event.EndpointSuspect, event.EndpointTrusted:
			latest[l.Machine+"/"+l.text("endpoint")] = l
		case event.ConfigurationApplied:
			latest[l.Machine] = l
		}
		if l.Fields["request"] != request {
			continue
		}
		s.Lines = append(s.Lines, l)
		if event.ID(l.Event) == event.RequestSent {
			s.addBeliefs(latest, l)
		}
	}
	slices.SortStableFunc(s.Beliefs, func(a, b Line) int { return a.Time.Compare(b.Time) })
	s.findGaps(all)
	return s
}

// addBeliefs adds the sending gateway's latest lines about its own configuration and about the endpoint named in sent, which
// is a RequestSent line. It adds a gap for each of these two lines that does not exist.
func (s *Story) addBeliefs(latest map[string]Line, sent Line) {
	for _, key := range []string{sent.Machine, sent.Machine + "/" + sent.text("endpoint")} {
		b, ok := latest[key]
		if !ok {
			s.Gaps = append(s.Gaps, fmt.Sprintf("no line tells what %s believed of %s", sent.Machine, key))
			continue
		}
		if !slices.ContainsFunc(s.Beliefs, func(l Line) bool {
			return l.Time.Equal(b.Time) && l.Machine == b.Machine && l.Event == b.Event && l.text("endpoint") == b.text("endpoint")
		}) {
			s.Beliefs = append(s.Beliefs, b)
		}
	}
}

func (s *Story) findGaps(all []Line) {
	if len(s.Lines) == 0 {
		s.Gaps = append(s.Gaps, "no line names the request: it was left out under load, or the logs are not those of its machine")
		return
	}
	last := s.Lines[len(s.Lines)-1]
	if event.ID(last.Event) != event.RequestAnswered {
		s.Gaps = append(s.Gaps, "no line tells its end: the process ended, or the line was left out")
	}
	attempts := 0
	for _, l := range s.Lines {
		if event.ID(l.Event) != event.RequestSent {
			continue
		}
		attempts++
		if n, ok := l.Fields["attempt"].(float64); ok && int(n) != attempts {
			s.Gaps = append(s.Gaps, fmt.Sprintf("attempt %d is the line of attempt %d", attempts, int(n)))
		}
	}
	first := s.Lines[0]
	for _, l := range all {
		if event.ID(l.Event) == event.LogDropped && l.Machine == first.Machine && l.Time.After(first.Time.Add(-dropWindow)) &&
			l.Time.Before(last.Time.Add(dropWindow)) {
			s.Gaps = append(s.Gaps, fmt.Sprintf("%s left out %v lines about then", l.Machine, l.Fields["lines"]))
		}
	}
}

func (l *Line) text(field string) string {
	value, _ := l.Fields[field].(string)
	return value
}

// WriteText writes the story as text.
func (s *Story) WriteText(w io.Writer) {
	fmt.Fprintf(w, "request %s\n", s.Request)
	for _, l := range s.Lines {
		l.write(w)
	}
	if len(s.Beliefs) > 0 {
		fmt.Fprintln(w, "believed when it was sent:")
	}
	for _, l := range s.Beliefs {
		l.write(w)
	}
	for _, g := range s.Gaps {
		fmt.Fprintf(w, "missing: %s\n", g)
	}
}

func (l *Line) write(w io.Writer) {
	fmt.Fprintf(w, "%s %s %d %s", l.Time.Format("15:04:05.000"), l.Machine, l.Event, l.Name)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name != "request" {
			fmt.Fprintf(w, " %s=%v", name, l.Fields[name])
		}
	}
	fmt.Fprintln(w)
}
