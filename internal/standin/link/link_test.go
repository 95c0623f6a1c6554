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

// echo answers each line with itself.
func echo(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var work sync.WaitGroup
	work.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			work.Go(func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		work.Wait()
	})
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// TestConditions guards against a path that lets through what it should lose, or stays broken once it is sound again.
func TestConditions(t *testing.T) {
	is := is.New(t)
	l, err := link.New(context.Background(), echo(t))
	is.NoErr(err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Address().String())
	is.NoErr(err)
	defer c.Close()
	br := bufio.NewReader(c)
	ask := func() error {
		_ = c.SetDeadline(time.Now().Add(150 * time.Millisecond))
		_, _ = io.WriteString(c, "x\n")
		_, err := br.ReadString('\n')
		return err
	}
	is.NoErr(ask())
	for _, bad := range []link.Condition{{LoseThere: true}, {LoseBack: true}, {LoseThere: true, LoseBack: true}, {Delay: 300 * time.Millisecond}} {
		l.Set(bad)
		is.True(ask() != nil)
		l.Set(link.Condition{})
		time.Sleep(700 * time.Millisecond) // what was delayed has arrived
		_ = c.SetDeadline(time.Now().Add(time.Millisecond))
		_, _ = br.Discard(br.Buffered())
		for {
			if _, err := br.ReadByte(); err != nil {
				break
			}
		}
		is.NoErr(ask())
	}
	l.Reset()
	is.True(ask() != nil)
	again, err := net.Dial("tcp", l.Address().String())
	is.NoErr(err)
	again.Close()
}
