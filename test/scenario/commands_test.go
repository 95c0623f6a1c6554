package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"primrosecourse/test/site"
)

// command is a script command. It returns an error if it fails.
type command func(s *system, ts *testscript.TestScript, args []string) error

// commands contains the script commands by name.
var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"system":       cmdSystem,
	"start":        wrap(cmdStart),
	"sigkill":      wrap(cmdSigkill),
	"sigstop":      wrap(cmdSignal(syscall.SIGSTOP)),
	"sigcont":      wrap(cmdSignal(syscall.SIGCONT)),
	"sigterm":      wrap(cmdSigterm),
	"ready":        wrap(cmdReady),
	"fault":        wrap(cmdFault),
	"ctl":          wrap(cmdCtl),
	"prompt":       wrap(cmdPrompt),
	"stream":       wrap(cmdStream),
	"order":        wrap(cmdOrder),
	"runs":         wrap(cmdRuns),
	"excess":       wrap(cmdExcess),
	"posted":       wrap(cmdPosted),
	"background":   wrap(cmdBackground),
	"await":        wrap(cmdAwait),
	"list":         wrap(cmdList),
	"sleep":        wrap(cmdSleep),
	"count":        wrap(cmdCount),
	"unchanged":    wrap(cmdUnchanged),
	"admin":        wrap(cmdAdmin),
	"foreign":      wrap(cmdForeign),
	"orders":       wrap(cmdOrders),
	"twin":         wrap(cmdTwin),
	"traffic":      wrap(cmdTraffic),
	"traffic-end":  wrap(cmdTrafficEnd),
	"traffic-stop": wrap(cmdTrafficStop),
}

func init() { commands["retry"] = cmdRetry }

// systems contains the system of each running script.
var systems = newRegistry()

func cmdSystem(ts *testscript.TestScript, _ bool, args []string) {
	shape := site.Shape{Entries: 2, Models: 3, Orders: 2, Fencing: true}
	for _, arg := range args {
		key, value, _ := strings.Cut(arg, "=")
		n, _ := strconv.Atoi(value) // 0 for fencing, whose value is not a number and is parsed below
		switch key {
		case "entries":
			shape.Entries = n
		case "models":
			shape.Models = n
		case "orders":
			shape.Orders = n
		case "stores":
			shape.Stores = n
		case "fencing":
			shape.Fencing = value == "on"
		default:
			ts.Fatalf("unknown argument %s", arg)
		}
	}
	s := newSystem(ts.Getenv("WORK"))
	systems.put(ts, s)
	ts.Defer(func() {
		s.down()
		systems.remove(ts)
		s.saveLogs(ts.Name())
	})
	ts.Check(s.Define(shape))
	if err := s.Up(); err != nil {
		ts.Fatalf("%v\n%s", err, s.logs())
	}
}

// wrap adapts a command to testscript. A command that the script negates must fail.
func wrap(c command) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		err := c(systems.get(ts), ts, args)
		if neg && err == nil {
			ts.Fatalf("command succeeded, want an error")
		}
		if !neg && err != nil {
			ts.Fatalf("%v", err)
		}
	}
}

// retryable contains the commands that cmdRetry accepts.
var retryable = map[string]command{
	"ctl": cmdCtl, "prompt": cmdPrompt, "order": cmdOrder, "runs": cmdRuns, "written": cmdWritten, "faults": cmdFaults, "settled": cmdSettled,
	"posted": cmdPosted, "orders": cmdOrders,
	"loads": cmdLoads,
}

// cmdRetry runs a command until it succeeds and its output contains the text that follows "--", if there is any. It fails after
// the time in the first argument.
func cmdRetry(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	c, ok := retryable[args[1]]
	if !ok {
		ts.Fatalf("retry does not accept the command %s", args[1])
	}
	rest, want := args[2:], ""
	if i := slices.Index(rest, "--"); i >= 0 {
		rest, want = rest[:i], rest[i+1]
	}
	s := systems.get(ts)
	for end := time.Now().Add(timeout); ; time.Sleep(20 * time.Millisecond) {
		s.printed.Reset()
		err := c(s, ts, rest)
		if err == nil && strings.Contains(s.printed.String(), want) {
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("after %s: error %v, output %s", timeout, err, s.printed.String())
		}
	}
}

func cmdStart(s *system, _ *testscript.TestScript, args []string) error {
	p, ok := s.Processes[args[0]]
	if !ok {
		return fmt.Errorf("there is no process %s", args[0])
	}
	return p.Start()
}

// cmdTwin starts a process under another name with the arguments of an existing one, as happens when an instance is replaced
// before it has exited: "twin Model1 Model1b".
func cmdTwin(s *system, _ *testscript.TestScript, args []string) error {
	old := s.Processes[args[0]]
	s.Addresses[args[1]] = s.Addresses[args[0]]
	return s.Add(args[1], filepath.Base(old.Path), old.Args...).Start()
}

func cmdReady(s *system, _ *testscript.TestScript, args []string) error {
	defer s.inRotation.Store(args[0], true)
	return s.WaitReady(args[0])
}

func cmdSigkill(s *system, _ *testscript.TestScript, args []string) error {
	s.Processes[args[0]].Kill()
	return nil
}

func cmdSignal(sig syscall.Signal) command {
	return func(s *system, _ *testscript.TestScript, args []string) error {
		return s.Processes[args[0]].Signal(sig)
	}
}

func cmdSigterm(s *system, _ *testscript.TestScript, args []string) error {
	p := s.Processes[args[0]]
	s.inRotation.Store(args[0], false) // the load balancer sends nothing to an entry that shuts down
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.Exited():
	case <-time.After(site.ReadyTimeout):
		return fmt.Errorf("%s did not exit in time", args[0])
	}
	if code := p.ExitCode(); code != 0 {
		return fmt.Errorf("%s exited with %d\n%s", args[0], code, p.Log)
	}
	return nil
}

func cmdFault(s *system, _ *testscript.TestScript, args []string) error {
	url := "http://" + s.Addresses[args[0]].String() + "/fault"
	method, body := http.MethodPost, args[1]
	if body == "clear" {
		method, body = http.MethodDelete, ""
	}
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := s.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body) // for the error message only
		return fmt.Errorf("fault: %s: %s", resp.Status, text)
	}
	return nil
}

func cmdCtl(s *system, ts *testscript.TestScript, args []string) error {
	out, err := s.Primrosectl(args...)
	s.print(ts, out)
	return err
}

// cmdRuns fails unless all order services together ran the order N times, by their ledgers.
func cmdRuns(s *system, _ *testscript.TestScript, args []string) error {
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	got := 0
	for name := range s.Addresses {
		if !strings.HasSuffix(name, ".service") {
			continue
		}
		var ledger []struct{ Key string }
		if err := s.getJSON(name, "/ledger", &ledger); err != nil {
			return err
		}
		for _, run := range ledger {
			if run.Key == args[0] {
				got++
			}
		}
	}
	if got != want {
		return fmt.Errorf("order %s ran %d times, want %d", args[0], got, want)
	}
	return nil
}

func (s *system) getJSON(name, path string, v any) error {
	resp, err := s.HTTP.Get("http://" + s.Addresses[name].String() + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

func (s *system) print(ts *testscript.TestScript, text string) {
	s.printed.WriteString(text)
	fmt.Fprintln(ts.Stdout(), text)
}

// logs returns the last 30 lines of the output of every process.
func (s *system) logs() string {
	var b strings.Builder
	for name, p := range s.Processes {
		lines := strings.Split(strings.TrimSpace(p.Log.String()), "\n")
		fmt.Fprintf(&b, "--- %s\n%s\n", name, strings.Join(lines[max(0, len(lines)-30):], "\n"))
	}
	return b.String()
}

// saveLogs writes the logs of all processes to the directory PRIMROSE_LOGS if that variable is set.
func (s *system) saveLogs(script string) {
	dir := os.Getenv("PRIMROSE_LOGS")
	if dir == "" {
		return
	}
	for name, p := range s.Processes {
		file := filepath.Join(dir, strings.ReplaceAll(script, "/", "-")+"-"+name+".log")
		_ = os.WriteFile(file, []byte(p.Log.String()), 0o600) // the logs are for diagnosis only
	}
}
