package endpoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestAlone guards against a call whose response can't be recognised and that gets a late copy of another one, and against a copy of its own
// response that reaches another call.
func TestAlone(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
		late := ""
		for {
			id, ok := s.readRequest(br)
			if !ok {
				return
			}
			response := formatResponse(id, fmt.Sprint(s.requestCount()))
			_, _ = io.WriteString(c, late+response)
			late = response
		}
	})
	p := newPool(t)
	for i, id := range []string{"1", "", "", "2", "", "", "3"} {
		call := newCall(id)
		call.Alone = id == ""
		a, err := p.Send(t.Context(), Target{ID: "e1", Address: s.addr, MaxConnections: 1}, call)
		is.NoErr(err)
		body, err := io.ReadAll(a.Body)
		a.Close()
		is.NoErr(err)
		is.Equal(string(body), fmt.Sprint(i+1))
		kept := p.groups[key{id: "e1", addr: s.addr}].open
		is.Equal(kept, map[bool]int{false: 1}[call.Alone])
	}
	// A connection that is in use does not make room.
	a, err := p.Send(t.Context(), Target{ID: "e1", Address: s.addr, MaxConnections: 1}, newCall("4"))
	is.NoErr(err)
	defer a.Close()
	call := newCall("")
	call.Alone = true
	_, err = p.Send(t.Context(), Target{ID: "e1", Address: s.addr, MaxConnections: 1}, call)
	is.True(errors.Is(err, ErrNoConnection))
}
