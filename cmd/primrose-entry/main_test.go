package main

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestFlags guards against an entry that starts with invalid flags, or an error that does not name the flag.
func TestFlags(t *testing.T) {
	valid := "-Name E1 -FailureDomain D1 -Listen 127.0.0.1:0 -PeerListen 127.0.0.1:0 -Platform 127.0.0.1:1 -Peers 127.0.0.1:2,127.0.0.1:3"
	for _, test := range []struct{ name, args, want string }{
		{"none", "", "-Name and -FailureDomain are required"},
		{"unknown", valid + " -Port 1", "-Port"},
		{"argument", valid + " more", `unexpected argument "more"`},
		{"no address", strings.Replace(valid, "-Listen 127.0.0.1:0", "", 1), "-Listen is required"},
		{"host name", strings.Replace(valid, "-Platform 127.0.0.1:1", "-Platform localhost:1", 1), `-Platform "localhost:1": must be`},
		{"peer", valid + ",x", `-Peers "x": must be`},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.Equal(run(strings.Fields(test.args), &out, nil), 2)
			is.True(strings.Contains(out.String(), test.want))
		})
	}
	is := is.New(t)
	f, err := parse(strings.Fields(valid), &bytes.Buffer{})
	is.NoErr(err)
	is.Equal(len(f.peers), 2)
}

// TestExitCodes guards against a signal that does not stop an entry without a configuration, and against an entry that cannot
// bind its address and still exits with 0.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	args := strings.Fields("-Name E1 -FailureDomain D1 -Listen 127.0.0.1:0 -PeerListen 127.0.0.1:0 -Platform 127.0.0.1:1")
	signals := make(chan os.Signal, 2)
	signals <- os.Interrupt
	var out bytes.Buffer
	is.Equal(run(args, &out, signals), 0)
	is.True(strings.Contains(out.String(), `"msg":"EntryStopped"`))
	args[5] = "192.0.2.1:1" // no interface has this address
	is.Equal(run(args, &out, nil), 1)
}
