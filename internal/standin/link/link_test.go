package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/standin/link"
)

// startEchoServer starts a server that sends back what it receives, and returns its address.
func startEchoServer(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var goroutines sync.WaitGroup
	goroutines.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			goroutines.Go(func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		goroutines.Wait()
	})
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// TestConditionAndRecovery guards against a path that passes data that it must drop or delay, or that does not recover
// once its condition is reset.
func TestConditionAndRecovery(t *testing.T) {
	is := is.New(t)
	l, err := link.New(context.Background(), startEchoServer(t))
	is.NoErr(err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Address().String())
	is.NoErr(err)
	defer c.Close()
	br := bufio.NewReader(c)
	roundTrip := func() error {
		_ = c.SetDeadline(time.Now().Add(150 * time.Millisecond))
		_, _ = io.WriteString(c, "x\n")
		_, err := br.ReadString('\n')
		return err
	}
	is.NoErr(roundTrip())
	for _, condition := range []link.Condition{{DropToServer: true}, {DropFromServer: true}, {DropToServer: true, DropFromServer: true}, {Delay: 300 * time.Millisecond}} {
		l.Set(condition)
		is.True(roundTrip() != nil)
		l.Set(link.Condition{})
		time.Sleep(700 * time.Millisecond) // delayed data has arrived by then
		_ = c.SetDeadline(time.Now().Add(time.Millisecond))
		_, _ = br.Discard(br.Buffered())
		for {
			if _, err := br.ReadByte(); err != nil {
				break
			}
		}
		is.NoErr(roundTrip())
	}
	l.Reset()
	is.True(roundTrip() != nil)
	reconnected, err := net.Dial("tcp", l.Address().String())
	is.NoErr(err)
	reconnected.Close()
}
