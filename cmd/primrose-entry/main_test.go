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

// Guards against a process that starts with settings it does not understand, or does not say which one is wrong.
func TestFlags(t *testing.T) {
	good := "-Name E1 -FailureDomain D1 -Listen 127.0.0.1:0 -PeerListen 127.0.0.1:0 -Platform 127.0.0.1:1 -Peers 127.0.0.1:2,127.0.0.1:3"
	for _, test := range []struct{ name, args, want string }{
		{"none", "", "-Name and -FailureDomain are required"},
		{"unknown", good + " -Port 1", "-Port"},
		{"argument", good + " more", `unexpected argument "more"`},
		{"no address", strings.Replace(good, "-Listen 127.0.0.1:0", "", 1), "-Listen is required"},
		{"host name", strings.Replace(good, "-Platform 127.0.0.1:1", "-Platform localhost:1", 1), `-Platform "localhost:1": must be`},
		{"peer", good + ",x", `-Peers "x": must be`},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.Equal(run(strings.Fields(test.args), &out, nil), 2)
			is.True(strings.Contains(out.String(), test.want))
		})
	}
	is := is.New(t)
	f, err := parse(strings.Fields(good), &bytes.Buffer{})
	is.NoErr(err)
	is.Equal(len(f.peers), 2)
}

// Guards against an address in use that goes unnoticed, and a signal that does not end a process without a configuration.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	args := strings.Fields("-Name E1 -FailureDomain D1 -Listen 127.0.0.1:0 -PeerListen 127.0.0.1:0 -Platform 127.0.0.1:1")
	signals := make(chan os.Signal, 2)
	signals <- os.Interrupt
	var out bytes.Buffer
	is.Equal(run(args, &out, signals), 0)
	is.True(strings.Contains(out.String(), `"msg":"EntryStopped"`))
	args[5] = "192.0.2.1:1" // an address of no interface
	is.Equal(run(args, &out, nil), 1)
}
