package platformtest

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/standin/fault"
)

// API is the platform's object API.
type API interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, obj platform.Object) (uint64, error)
	Delete(ctx context.Context, kind, name string, version uint64) error
	List(ctx context.Context, kind, prefix string) ([]platform.Object, error)
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]platform.Event, uint64, error)
	Instances(ctx context.Context) ([]platform.Instance, error)
}

// Target is a platform under test. It contains no objects.
type Target struct {
	API    API
	Faults *fault.Hook
	// Window is the number of past changes that a watch can return. It should be below 100; one of the tests writes
	// Window+2 times.
	Window       int
	SetInstances func([]platform.Instance)
}

// Run runs the conformance suite. It calls open for a new Target in each test.
func Run(t *testing.T, open func(t *testing.T) Target) {
	for _, c := range []struct {
		name string
		run  func(context.Context, *is.I, Target)
	}{
		{"versions increase across a deletion", testVersions},
		{"a conditional update needs the exact version", testConflicts},
		{"names are opaque", testNames},
		{"values are limited in size", testSizeLimit},
		{"a list is filtered by prefix and has no values", testList},
		{"a watch reports the changes of its kind in order", testWatchOrder},
		{"a watch waits for a change", testWatchWait},
		{"a watch from an expired revision reports a gap", testWatchGap},
		{"exactly one of several concurrent writers succeeds", testConcurrentWrites},
		{"the list of instances is returned as set", testInstances},
		{"errors show whether a failed call had an effect", testFailures},
		{"a call to a hanging platform ends with its context", testHang},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			c.run(ctx, is.New(t), open(t))
		})
	}
}

func object(name string, version uint64, value string) platform.Object {
	return platform.Object{Kind: "Kind", Name: name, Version: version, Value: []byte(value)}
}

func testVersions(ctx context.Context, is *is.I, p Target) {
	_, err := p.API.Get(ctx, "Kind", "A")
	is.True(errors.Is(err, platform.ErrNotFound))
	first, err := p.API.Put(ctx, object("A", 0, "one"))
	is.NoErr(err)
	is.True(first > 0)
	second, err := p.API.Put(ctx, object("A", first, ""))
	is.NoErr(err)
	is.True(second > first)
	obj, err := p.API.Get(ctx, "Kind", "A")
	is.NoErr(err)
	is.Equal(obj.Version, second)
	is.Equal(len(obj.Value), 0)
	is.NoErr(p.API.Delete(ctx, "Kind", "A", second))
	_, err = p.API.Get(ctx, "Kind", "A")
	is.True(errors.Is(err, platform.ErrNotFound))
	third, err := p.API.Put(ctx, object("A", 0, "three"))
	is.NoErr(err)
	is.True(third > second)
}

func testConflicts(ctx context.Context, is *is.I, p Target) {
	_, err := p.API.Put(ctx, object("A", 7, "one"))
	is.True(errors.Is(err, platform.ErrConflict))
	version, err := p.API.Put(ctx, object("A", 0, "one"))
	is.NoErr(err)
	_, err = p.API.Put(ctx, object("A", 0, "two"))
	is.True(errors.Is(err, platform.ErrConflict))
	_, err = p.API.Put(ctx, object("A", version+1, "two"))
	is.True(errors.Is(err, platform.ErrConflict))
	is.True(errors.Is(p.API.Delete(ctx, "Kind", "A", version+1), platform.ErrConflict))
	is.True(errors.Is(p.API.Delete(ctx, "Kind", "B", version), platform.ErrNotFound))
	obj, err := p.API.Get(ctx, "Kind", "A")
	is.NoErr(err)
	is.Equal(string(obj.Value), "one")
}

func testNames(ctx context.Context, is *is.I, p Target) {
	all := []string{"3/7", "a b", "a%2Fb", "a/b", "a/../b", "é?x=1#y", "+"}
	for _, name := range all {
		_, err := p.API.Put(ctx, object(name, 0, name))
		is.NoErr(err)
	}
	for _, name := range all {
		obj, err := p.API.Get(ctx, "Kind", name)
		is.NoErr(err)
		is.Equal(string(obj.Value), name)
	}
}

func testSizeLimit(ctx context.Context, is *is.I, p Target) {
	obj := platform.Object{Kind: "Kind", Name: "A", Value: bytes.Repeat([]byte{1}, platform.MaxValueBytes)}
	_, err := p.API.Put(ctx, obj)
	is.NoErr(err)
	read, err := p.API.Get(ctx, "Kind", "A")
	is.NoErr(err)
	is.True(bytes.Equal(read.Value, obj.Value))
	read.Value = append(read.Value, 1)
	_, err = p.API.Put(ctx, read)
	is.True(errors.Is(err, platform.ErrTooLarge))
}

func testList(ctx context.Context, is *is.I, p Target) {
	for _, name := range []string{"b/2", "a/1", "b/1", "c"} {
		_, err := p.API.Put(ctx, object(name, 0, "value"))
		is.NoErr(err)
	}
	objects, err := p.API.List(ctx, "Kind", "b/")
	is.NoErr(err)
	is.Equal(len(objects), 2)
	is.Equal(objects[0].Name, "b/1")
	is.Equal(objects[1].Name, "b/2")
	is.Equal(objects[0].Kind, "Kind")
	is.True(objects[0].Version > 0)
	is.Equal(len(objects[0].Value), 0)
	objects, err = p.API.List(ctx, "Other", "")
	is.NoErr(err)
	is.Equal(len(objects), 0)
}

func testInstances(ctx context.Context, is *is.I, p Target) {
	list, err := p.API.Instances(ctx)
	is.NoErr(err)
	is.Equal(len(list), 0)
	want := []platform.Instance{{Name: "A", FailureDomain: "D", Leaving: true}}
	p.SetInstances(want)
	list, err = p.API.Instances(ctx)
	is.NoErr(err)
	is.Equal(list, want)
}

func testConcurrentWrites(ctx context.Context, is *is.I, p Target) {
	const writers = 8
	results := make(chan error, writers)
	for range writers {
		go func() {
			_, err := p.API.Put(ctx, object("A", 0, "x"))
			results <- err
		}()
	}
	succeeded := 0
	for range writers {
		err := <-results
		if err == nil {
			succeeded++
		} else {
			is.True(errors.Is(err, platform.ErrConflict))
		}
	}
	is.Equal(succeeded, 1)
}
