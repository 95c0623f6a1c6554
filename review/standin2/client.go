//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requests atomic.Int64

// prompt sends a long prompt with a key, whose shared part has the given ID, and returns the ID of the request at once. done is called at its end.
func (s *scene) prompt(g *gateway, key, shared string, done func()) (id string) {
	n := requests.Add(1)
	id = fmt.Sprintf("q%04d", n)
	header := http.Header{"X-Key": {key}, "X-Model": {model}, "X-Token-Count": {"17060,20"}, "X-Prompt-Prefix": {fmt.Sprintf("%s:12800,%08x:4260", shared, 0x70000000+n)}}
	s.record.line("%s with part %s is sent to %s", id, shared, g.name)
	go func() {
		status, body, err := s.send(g, http.MethodPost, "/sort/2f", id, 8*time.Second, header, strings.Repeat("x", 34_000))
		s.record.line("%s: status %d, %d bytes, error %v", id, status, len(body), err)
		done()
	}()
	return id
}

// send sends a request to a gateway and returns its answer.
func (s *scene) send(g *gateway, method, path, id string, deadline time.Duration, header http.Header, body string) (status int, answer string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.callers.String()+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Host = "jars.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	response, err := g.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return response.StatusCode, string(read), err
}
