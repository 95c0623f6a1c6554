package link_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/standin/link"
)

// TestEnds guards against a path on which a broken or incomplete transfer ends as a complete one does.
func TestEnds(t *testing.T) {
	for name, test := range map[string]struct {
		reset, drop, complete bool
	}{
		"closed":                        {complete: true},
		"reset by the server":           {reset: true},
		"closed after data was dropped": {drop: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			l, err := link.New(t.Context(), listener.Addr().(*net.TCPAddr).AddrPort())
			is.NoErr(err)
			defer l.Close()
			client, err := net.Dial("tcp", l.Address().String())
			is.NoErr(err)
			defer client.Close()
			server, err := listener.Accept()
			is.NoErr(err)
			l.Set(link.Condition{DropFromServer: test.drop})
			_, err = io.WriteString(server, "data")
			is.NoErr(err)
			time.Sleep(20 * time.Millisecond)
			l.Set(link.Condition{})
			if test.reset {
				is.NoErr(server.(*net.TCPConn).SetLinger(0))
			}
			is.NoErr(server.Close())
			_, err = io.ReadAll(client)
			is.Equal(err == nil, test.complete)
		})
	}
}
