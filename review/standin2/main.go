//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. Each returns the number of times that its rule was broken.
var cases = map[string]func(s *scene) (broken int, err error){
	"savelate": playSaveLate,
	"wall":     playWall,
	"gone":     playGone,
	"longstop": playLongStop,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return failed
	}
	s, err := newScene(filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return failed
	}
	defer s.close()
	n, err := cases[os.Args[1]](s)
	switch {
	case err != nil:
		s.record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return failed
	case n > 0:
		s.record.line("result: the rule was broken %d times", n)
		fmt.Println("broken:", n)
		return broken
	}
	s.record.line("result: the rule held")
	fmt.Println("held")
	return held
}

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

// now returns the time since the start, which is also the clock of the servers.
func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}
