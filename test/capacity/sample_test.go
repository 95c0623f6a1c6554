package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"primrosecourse/internal/standin/platform"
)

// ticksPerSecond is USER_HZ, the unit of times in /proc, which is always 100 on Linux.
const ticksPerSecond = 100

// usage contains the resources that a process used since its start or in a window. Resident is the value at the end.
type usage struct {
	cpu               float64 // seconds
	resident          float64 // bytes
	received, written float64 // bytes
}

func (u usage) minus(v usage) usage {
	return usage{u.cpu - v.cpu, u.resident, u.received - v.received, u.written - v.written}
}

// field returns the number after key and a colon at the start of a line, or NaN if there is no such line.
func field(text, key string) float64 {
	for line := range strings.Lines(text) {
		if value, ok := strings.CutPrefix(line, key+":"); ok {
			v, _ := strconv.ParseFloat(strings.Fields(value)[0], 64) // the kernel writes a number here
			return v
		}
	}
	return math.NaN()
}

// usage reads the resources that the process has used since its start.
func (p *process) usage(b *testing.B) (u usage) {
	read := func(name string) string {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name))
		if err != nil {
			b.Fatal(err)
		}
		return string(text)
	}
	stat := read("stat")
	// The second field is the program name in parentheses, which may contain spaces; utime and stime are fields 14 and 15.
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	for _, text := range fields[11:13] {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			b.Fatal(err)
		}
		u.cpu += v / ticksPerSecond
	}
	u.resident = 1024 * field(read("status"), "VmRSS")
	io := read("io")
	info, err := p.log.Stat()
	if err != nil {
		b.Fatal(err)
	}
	u.received, u.written = field(io, "rchar"), field(io, "wchar")-float64(info.Size())
	return u
}

// window contains the mean resources that the processes of each role used between two samples or, from usageSinceStart, since
// their start. Only measure sets seconds and calls.
type window struct {
	seconds float64
	// watchers are the two entries that watch the platform for the only failure domain; they are recognised by the most bytes
	// read. others are the other entries, models the agents of models, and services the agents of services.
	watchers, others, models, services usage
	calls                              map[string]int // calls that the platform received, by operation and kind
}

// measure runs work and returns the resources that the processes used and the calls that the platform received meanwhile.
func (s *system) measure(b *testing.B, work func()) (w window) {
	before := map[*process]usage{}
	for _, p := range s.measured() {
		before[p] = p.usage(b)
	}
	lastCall := s.lastCall(b)
	start := time.Now()
	work()
	w.seconds = time.Since(start).Seconds()
	used := func(ps []*process) (us []usage) {
		for _, p := range ps {
			us = append(us, p.usage(b).minus(before[p]))
		}
		return us
	}
	entries := used(s.entries)
	slices.SortFunc(entries, func(u, v usage) int { return int(v.received - u.received) })
	w.watchers, w.others = mean(entries[:2]), mean(entries[2:])
	w.models, w.services = mean(used(s.models)), mean(used(s.services))
	w.calls = map[string]int{}
	for _, c := range s.ledger(b) {
		if c.Sequence > lastCall {
			w.calls[c.Operation+" "+c.Kind]++
		}
	}
	return w
}

// usageSinceStart returns the resources that the processes have used since their start.
func (s *system) usageSinceStart(b *testing.B) (w window) {
	used := func(ps []*process) (us []usage) {
		for _, p := range ps {
			us = append(us, p.usage(b))
		}
		slices.SortFunc(us, func(u, v usage) int { return int(v.received - u.received) })
		return us
	}
	entries := used(s.entries)
	w.watchers, w.others = mean(entries[:2]), mean(entries[2:])
	w.models, w.services = mean(used(s.models)), mean(used(s.services))
	return w
}

func mean(us []usage) (m usage) {
	n := float64(len(us))
	for _, u := range us {
		m.cpu += u.cpu / n
		m.resident += u.resident / n
		m.received += u.received / n
		m.written += u.written / n
	}
	return m
}

// ledger returns the calls that the platform received.
func (s *system) ledger(b *testing.B) (calls []platform.Call) {
	resp, err := http.Get("http://" + s.platform + "/ledger")
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&calls); err != nil {
		b.Fatal(err)
	}
	return calls
}

// lastCall returns the sequence number of the last call that the platform received, or 0.
func (s *system) lastCall(b *testing.B) uint64 {
	if calls := s.ledger(b); len(calls) > 0 {
		return calls[len(calls)-1].Sequence
	}
	return 0
}

// print prints the figures of a window. All except memory are divided by n, which is the number of seconds or of configuration
// changes in the window, or 1 for totals.
func (w window) print(title string, n float64) {
	fmt.Printf("%s\n", title)
	for _, r := range []struct {
		name string
		u    usage
	}{{"watcher entry", w.watchers}, {"other entry", w.others}, {"model agent", w.models}, {"service agent", w.services}} {
		fmt.Printf("  %-14s cpu %8.3f ms  rss %6.1f MB  read %9.0f B  written %9.0f B\n", r.name, 1000*r.u.cpu/n,
			r.u.resident/1e6, r.u.received/n, r.u.written/n)
	}
	var names []string
	for name := range w.calls {
		names = append(names, name)
	}
	slices.Sort(names)
	var out bytes.Buffer
	for _, name := range names {
		fmt.Fprintf(&out, " %s %.3f;", name, float64(w.calls[name])/n)
	}
	fmt.Printf("  platform:%s\n", out.String())
}

// fit prints the least-squares line through the points. It prints nothing for fewer than three points, which happens if only
// some of the sizes are run.
func fit(what string, x, y []float64) {
	if len(x) < 3 {
		return
	}
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept := (sy - slope*sx) / n
	residual := 0.0
	for i := range x {
		residual = max(residual, math.Abs(y[i]-slope*x[i]-intercept))
	}
	fmt.Printf("  fit %-52s slope %.6g intercept %.6g residual %.3g\n", what, slope, intercept, residual)
}

// fitUsage prints a least-squares line for each figure of a role.
func fitUsage(what string, x []float64, us []usage) {
	var cpu, resident, received, written []float64
	for _, u := range us {
		cpu, resident = append(cpu, 1000*u.cpu), append(resident, u.resident/1e6)
		received, written = append(received, u.received), append(written, u.written)
	}
	fit(what+": cpu ms", x, cpu)
	fit(what+": rss MB", x, resident)
	fit(what+": read B", x, received)
	fit(what+": written B", x, written)
}

// per divides all figures except memory by n.
func (u usage) per(n float64) usage {
	return usage{u.cpu / n, u.resident, u.received / n, u.written / n}
}
