// Command standin plays the platform, servers, stores and clients around real gateways, for the scripts of the review.
//
//	standin CASE GATEWAY TEMPLATE RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it
// leaves out the disruption.
package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the site sheet kleinkloof-jars: tokens of the cache in bytes, and prompt tokens that an engine reads in a millisecond.
const (
	modelName    = "daka510000"
	tokenBytes   = 18432
	prefillPerMs = 56.6
	bornMs       = 1_780_000_000_000
)

// notebook writes record.txt.
type notebook struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (n *notebook) add(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	fmt.Fprintf(n.file, "%8.3f "+format+"\n", append([]any{time.Since(n.start).Seconds()}, args...)...)
}

// world is what surrounds the gateways.
type world struct {
	notes    *notebook
	trouble  bool
	program  string
	template string
	dir      string
	objects  *objectStore
	platform string
	gateways []*gatewayProcess
}

type promptPart struct {
	id     string
	tokens int
}

func parsePrefix(text string) (parts []promptPart) {
	for item := range strings.SplitSeq(text, ",") {
		id, tokens, ok := strings.Cut(item, ":")
		if n, err := strconv.Atoi(tokens); ok && err == nil {
			parts = append(parts, promptPart{id, n})
		}
	}
	return parts
}

// splitList returns the n addresses of a list of stores, of which one stands for all parts and "-" for none.
func splitList(text string, n int) []string {
	list := make([]string, n)
	for i, item := range strings.Split(text, ",") {
		if i < n && item != "-" {
			list[i], _, _ = strings.Cut(item, "/")
		}
	}
	return list
}

// gatewayProcess is a gateway started by the command of the deploy file.
type gatewayProcess struct {
	w        *world
	name     string
	ip       string
	front    string
	ready    string
	settings string
	command  *exec.Cmd
	ended    chan struct{}
}

// newGateway prepares a gateway with the settings template of the deploy file.
func (w *world) newGateway(n, memoryMB int) (*gatewayProcess, error) {
	g := &gatewayProcess{w: w, name: fmt.Sprintf("edge-a-%d", n), ip: fmt.Sprintf("127.%d.%d.%d", 64+rand.N(64), rand.N(256), 10+n)}
	base := 20000 + rand.N(20000)
	g.front, g.ready = fmt.Sprintf("%s:%d", g.ip, base), fmt.Sprintf("%s:%d", g.ip, base+1)
	values := map[string]string{"node_name": g.name, "ip": g.ip, "zone": "gauteng-a", "listen.front": g.front, "listen.ready": g.ready,
		"internal_ports.0": strconv.Itoa(base + 2), "internal_ports.1": strconv.Itoa(base + 3), "provider.address": w.platform,
		"limits.memory_mb": strconv.Itoa(memoryMB), "limits.max_fds": "4100", "bounds.retry_budget_ratio": "0.2", "bounds.budget_extra": "58",
		"bounds.budget_window_s": "10", "bounds.grace_s": "8", "bounds.lease_ms": "3000", "bounds.thaw_ms": "300", "bounds.version_ms": "10000"}
	text := w.template
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("a placeholder of the settings template is unknown")
	}
	g.settings = filepath.Join(w.dir, g.name+".ini")
	return g, os.WriteFile(g.settings, []byte(text), 0o600)
}

// start starts the process and waits until it is ready.
func (g *gatewayProcess) start() error {
	g.command = exec.Command(g.w.program)
	g.command.Env = []string{"PRIMROSECOURSE_SETTINGS=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + g.w.dir}
	log, err := os.Create(filepath.Join(g.w.dir, g.name+".log"))
	if err != nil {
		return err
	}
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.command.Start(); err != nil {
		return err
	}
	g.ended = make(chan struct{})
	go func() {
		_ = g.command.Wait()
		_ = log.Close()
		close(g.ended)
	}()
	for range 100 {
		if response, err := http.Get("http://" + g.ready + "/primrosecourse/ready"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				g.w.notes.add("%s is ready at %s", g.name, g.front)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s does not get ready", g.name)
}

// kill ends the process at once.
func (g *gatewayProcess) kill() {
	if g.command != nil && g.command.Process != nil {
		_ = g.command.Process.Signal(syscall.SIGKILL)
		<-g.ended
	}
}

// request is one request of a client.
type request struct {
	id     string
	path   string
	prefix string
	tokens int
	body   string
	// out is the number of tokens of the answer, deadline how long the client waits, in ms.
	out, deadline int
}

// client sends requests on one connection that it keeps.
type client struct {
	conn net.Conn
	br   *bufio.Reader
}

func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: c, br: bufio.NewReader(c)}, nil
}

// do sends a request and returns the status and the body. An error means that the connection ended without a complete answer.
func (c *client) do(r request) (status int, body string, err error) {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: pule25.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\nContent-Length: %d\r\n", r.path, r.id,
		cmp.Or(r.deadline, 8000), len(r.body))
	if r.prefix != "" {
		fmt.Fprintf(&b, "X-Model: %s\r\nX-Token-Count: %d,%d\r\nX-Prompt-Prefix: %s\r\n", modelName, r.tokens, cmp.Or(r.out, 3), r.prefix)
	}
	b.WriteString("\r\n" + r.body)
	_ = c.conn.SetDeadline(time.Now().Add(8 * time.Second))
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(c.br, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return response.StatusCode, string(read), err
}

// send sends a request on a connection of its own.
func (w *world) send(g *gatewayProcess, r request) (status int) {
	c, err := dial(g.front)
	if err != nil {
		w.notes.add("%s to %s: %v", r.id, g.name, err)
		return 0
	}
	defer c.conn.Close()
	w.notes.add("%s sent to %s: %s", r.id, g.name, r.prefix)
	status, _, err = c.do(r)
	w.notes.add("%s answered by %s: %d %v", r.id, g.name, status, err)
	return status
}

func main() {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE GATEWAY TEMPLATE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3], os.Args[4]))
}

func run(name, program, template, record string) int {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	text, err := os.ReadFile(template)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	w := &world{notes: &notebook{file: file, start: time.Now()}, trouble: os.Getenv("TROUBLE") != "0", program: program, template: string(text),
		dir: dir, objects: newObjectStore()}
	platform := httptest.NewServer(w.objects)
	defer platform.CloseClientConnections()
	w.platform = platform.Listener.Addr().String()
	defer func() {
		for _, g := range w.gateways {
			g.kill()
		}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stopped
		for _, g := range w.gateways {
			g.kill()
		}
		os.Exit(2)
	}()
	cases := map[string]func(*world) (bool, error){"store-restart": storeRestart, "config-storms": configStorms, "late-stream": lateStream}
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		return 2
	}
	broken, err := play(w)
	switch {
	case err != nil:
		w.notes.add("the case could not run: %v", err)
		return 2
	case broken:
		w.notes.add("the rule was broken")
		return 1
	}
	w.notes.add("the rule held")
	return 0
}

// engineConfig returns a configuration with one route of streams to a service of engines, and a KV store.
func engineConfig(version int, storeAddr string) map[string]any {
	var c map[string]any
	_ = json.Unmarshal(fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-z5k6pjs","hostname":"pule25.example","path_prefix":"/puxa400/",
"kind":"streaming","timeout_ms":8000,"target_latency_ms":600,"priority":1,"service":"huvo11a","attempts":2,"public":true,"session_affinity":true,
"resumable":true,"gap_aim_ms":300}],"services":[{"name":"lovo22d","kv_store_addr":%q,"zone":"gauteng-b","kv_capacity":634412,
"link_mbps":42000.0,"max_concurrent":12,"managed":true,"first_ms":6.0},{"name":"huvo11a","health_check":"/health","max_connections":370,
"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":0,"engine":{"slots":64,"kv_capacity":70494,"kv_token_bytes":18432,
"link_mbps":180000.0,"managed":true,"max_concurrent":12,"models":[{"name":%q}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`,
		version, storeAddr, modelName), &c)
	return c
}
