package forward_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"primrosecourse/internal/request/forward"
)

// TestRequestsInFlightAtStop guards against a request that is still in flight at the end of a stop and ends without a final answer, with one that wrongly
// states that it did not run, or with one that looks complete and is not.
func TestRequestsInFlightAtStop(t *testing.T) {
	streamBegins := func(_ int, id string, _ *http.Request, c net.Conn) bool {
		streamHead(c, id)
		writeEvent(c, 1)
		goDark(c)
		return false
	}
	longBegins := func(_ int, id string, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSeal: s\r\nId: "+id+"\r\nContent-Length: 900000\r\n\r\n"+strings.Repeat("x", 400000))
		goDark(c)
		return false
	}
	silent := func(_ int, _ string, _ *http.Request, c net.Conn) bool {
		goDark(c)
		return false
	}
	failFirst := func(n int, id string, _ *http.Request, c net.Conn) bool {
		if n == 0 {
			return writeAnswer(c, 500, "Seal: s\r\nId: "+id+"\r\n", "own error")
		}
		goDark(c)
		return false
	}
	const stopping = `{"reason":"Stopping","outcome":`
	for name, test := range map[string]struct {
		path   string
		answer answerFunc
		unsent bool
		status int
		body   string
		broken bool
	}{
		"not idempotent and sent": {"/never/1", silent, false, 504, stopping + "\"outcome unknown\"}\n", false},
		"idempotent and sent":     {"/always/1", silent, false, 504, stopping + "\"outcome unknown\"}\n", false},
		"not sent":                {"/never/1", silent, true, 503, stopping + "\"not run\"}\n", false},
		"an endpoint had failed":  {"/always/1", failFirst, false, 500, "own error", false},
		"stream has begun":        {"/resume/1", streamBegins, false, 200, "", true},
		"long answer has begun":   {"/never/1", longBegins, false, 200, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, test.answer)
			var lines lockedBuffer
			f.handler.Log = funcr.New(func(_, args string) { lines.write(args + "\n") }, funcr.Options{})
			if test.unsent {
				f.handler.Endpoints = unsentSender{}
			}
			const left = 400 * time.Millisecond
			started := time.Now()
			time.AfterFunc(left/2, func() { // while the request is in flight
				f.handler.Stop(forward.Stop{EndBy: started.Add(left), LateFrom: started.Add(left)})
			})
			status, body, err := f.send(t, http.MethodPost, test.path)
			is.Equal(status, test.status)
			is.Equal(err != nil, test.broken)
			if !test.broken {
				is.Equal(body, test.body)
			}
			is.True(time.Since(started) < left+time.Second)
			is.Equal(strings.Count(lines.text(), `"RequestAtStop"`), 1)
			is.True(strings.Contains(lines.text(), `"request"="r1" "decision"="Ended"`))
		})
	}
}

// TestAdmissionAtStop guards against a request that is taken during a stop although it cannot end before the stop does, and against one that is refused although it
// can. A stream that comes late must be sure to end, since nothing can be answered once it has begun; earlier streams say nothing about that.
func TestAdmissionAtStop(t *testing.T) {
	const left, fast, slow = 800 * time.Millisecond, 20 * time.Millisecond, 1200 * time.Millisecond
	for name, test := range map[string]struct {
		path    string
		earlier []time.Duration // what earlier requests took
		late    bool
		header  string
		served  bool
	}{
		"nothing known":                  {"/never/1", nil, true, "", true},
		"fast":                           {"/never/1", []time.Duration{fast}, true, "", true},
		"slow":                           {"/never/1", []time.Duration{slow}, false, "", false},
		"one was slow, not idempotent":   {"/never/1", append(make([]time.Duration, 20), slow), true, "", false},
		"one was slow, idempotent":       {"/always/1", append(make([]time.Duration, 20), slow), true, "", true},
		"slow, but its deadline is soon": {"/never/1", []time.Duration{slow}, true, "Deadline: 500", true},
		"late stream, nothing known":     {"/stream/1", nil, true, "", false},
		"late stream, others were fast":  {"/stream/1", []time.Duration{fast}, true, "", false},
		"late stream, may be resumed":    {"/resume/1", []time.Duration{fast}, true, "", false},
		"late stream, is taken up":       {"/resume/1", []time.Duration{fast}, true, "After: 1", false},
		"late stream, one was slow":      {"/stream/1", append(make([]time.Duration, 20), slow), true, "", false},
		"early stream, one was slow":     {"/stream/1", append(make([]time.Duration, 20), slow), false, "", true},
		"early stream, nothing known":    {"/stream/1", nil, false, "", true},
		"late stream, deadline is soon":  {"/stream/1", []time.Duration{slow}, true, "Deadline: 500", true},
		"early stream, fast":             {"/stream/1", []time.Duration{fast}, false, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, func(_ int, id string, r *http.Request, c net.Conn) bool {
				if r.URL.Path == "/never/1" || r.URL.Path == "/always/1" {
					return writeOK(c, id, "good")
				}
				streamHead(c, id)
				writeEvent(c, 1)
				return false
			})
			var lines lockedBuffer
			f.handler.Log = funcr.New(func(_, args string) { lines.write(args + "\n") }, funcr.Options{})
			f.handler.Metrics = metrics.NewRegistry()
			for _, name := range []string{"Took.Once.S.Answered", "Took.Repeatable.S.Answered", "Took.Stream.S.Answered"} {
				h := metrics.NewHistogram(metrics.NewUniformSample(100))
				for _, d := range test.earlier {
					h.Update(d.Microseconds())
				}
				is.NoErr(f.handler.Metrics.Register(name, h))
			}
			stop := forward.Stop{EndBy: time.Now().Add(left), LateFrom: time.Now().Add(left)}
			if test.late {
				stop.LateFrom = time.Now()
			}
			f.handler.Stop(stop)
			var header []string
			if test.header != "" {
				header = append(header, test.header)
			}
			status, body, err := f.send(t, http.MethodPost, test.path, header...)
			if test.served {
				is.Equal(status, 200)
				is.Equal(f.arrivalCount(), 1)
				return
			}
			is.NoErr(err)
			is.Equal(status, 503)
			is.Equal(body, "{\"reason\":\"Stopping\",\"outcome\":\"not run\"}\n")
			is.Equal(f.arrivalCount(), 0)
			is.Equal(strings.Count(lines.text(), `"RequestAtStop"`), 1)
			is.True(strings.Contains(lines.text(), `"request"="r1" "decision"="Refused"`))
		})
	}
}
