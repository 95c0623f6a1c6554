//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"

	"primrosecourse/internal/standin/link"
	"primrosecourse/internal/standin/ports"
	"primrosecourse/platform/standin"
)

// scene is a small deployment.
type scene struct {
	record   *record
	trouble  bool
	block    *ports.Block
	folder   string
	store    *standin.Store
	storeAt  netip.AddrPort
	gateways []*gateway
	closers  []func()
	hosts    byte
	// firstPeerPort and lastPeerPort are the same for all gateways.
	firstPeerPort, lastPeerPort uint16
}

// gateway is a process of the deploy file.
type gateway struct {
	name           string
	callers, ready netip.AddrPort
	// store is the path to the store.
	store   *link.Link
	command *exec.Cmd
	client  *http.Client
}

func newScene(recordPath string, trouble bool) (s *scene, err error) {
	s = &scene{trouble: trouble, hosts: 1, store: standin.NewStore()}
	if s.record, err = newRecord(recordPath); err != nil {
		return nil, err
	}
	if s.block, err = ports.Reserve(); err != nil {
		return nil, err
	}
	if s.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if s.storeAt, err = s.serve(withoutEra{s.store}, nil); err != nil {
		return nil, err
	}
	first, err := s.block.Draw(s.block.Host(1))
	if err != nil {
		return nil, err
	}
	last, err := s.block.Draw(s.block.Host(1))
	s.firstPeerPort, s.lastPeerPort = first.Port(), last.Port()
	return s, err
}

// close ends all processes that the scene started.
func (s *scene) close() {
	for _, g := range s.gateways {
		_ = g.command.Process.Signal(syscall.SIGKILL)
		_ = g.command.Wait()
		g.store.Close()
	}
	for _, c := range s.closers {
		c()
	}
	_ = s.block.Close()
	_ = os.RemoveAll(s.folder)
	_ = s.record.file.Close()
}

// withoutEra is the object store without a header that the pages don't name.
type withoutEra struct{ store http.Handler }

func (h withoutEra) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.store.ServeHTTP(withoutEraWriter{w}, r)
}

type withoutEraWriter struct{ http.ResponseWriter }

func (w withoutEraWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (w withoutEraWriter) Write(b []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(b)
}

// serve serves a handler at an address of its own. The context of each request holds its connection.
func (s *scene) serve(h http.Handler, connContext func(context.Context, net.Conn) context.Context) (address netip.AddrPort, err error) {
	s.hosts++
	if address, err = s.block.Draw(s.block.Host(s.hosts)); err != nil {
		return address, err
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return address, err
	}
	server := &http.Server{Handler: h, ConnContext: connContext, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }() // it ends with Close
	s.closers = append(s.closers, func() { _ = server.Close() })
	return address, nil
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// startGateway starts a gateway in a failure domain, with the bounds of a small deployment.
func (s *scene) startGateway(name, domain string) (*gateway, error) {
	s.hosts++
	host := s.block.Host(s.hosts)
	g := &gateway{name: name, client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}}
	var err error
	if g.callers, err = s.block.Draw(host); err != nil {
		return nil, err
	}
	if g.ready, err = s.block.Draw(host); err != nil {
		return nil, err
	}
	if g.store, err = link.New(context.Background(), s.storeAt); err != nil {
		return nil, err
	}
	values := map[string]string{"node_name": name, "ip": host.String(), "zone": domain, "listen.front": g.callers.String(), "listen.ready": g.ready.String(),
		"internal_ports.0": fmt.Sprint(s.firstPeerPort), "internal_ports.1": fmt.Sprint(s.lastPeerPort), "provider.address": g.store.Address().String(),
		"limits.memory_mb": "284", "limits.max_fds": "4100", "bounds.retry_budget_ratio": "0.2", "bounds.budget_extra": "58", "bounds.budget_window_s": "10",
		"bounds.grace_s": "8", "bounds.lease_ms": "3000", "bounds.thaw_ms": "300", "bounds.version_ms": "10000",
		"contracts": "base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,places,platform"}
	template, err := os.ReadFile("deploy/gateway.ini")
	if err != nil {
		return nil, err
	}
	settings := section.ReplaceAllFunc(template, func(match []byte) []byte {
		parts := section.FindSubmatch(match)
		if _, ok := values[string(parts[1])]; ok {
			return parts[2]
		}
		return nil
	})
	settings = placeholder.ReplaceAllFunc(settings, func(match []byte) []byte { return []byte(values[string(bytes.Trim(match, "{}"))]) })
	path := filepath.Join(s.folder, name+".ini")
	if err = os.WriteFile(path, settings, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	g.command = exec.Command("target/primrose-gateway")
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PRIMROSECOURSE_SETTINGS=" + path}
	g.command.Stdout, g.command.Stderr = log, log
	if err = g.command.Start(); err != nil {
		return nil, err
	}
	s.gateways = append(s.gateways, g)
	s.record.line("gateway %s started in %s", name, domain)
	return g, nil
}

// awaitReady waits until all gateways are ready.
func (s *scene) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range s.gateways {
			if r, err := g.client.Get("http://" + g.ready.String() + "/primrosecourse/ready"); err == nil {
				if _ = r.Body.Close(); r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.gateways) {
			return nil
		}
	}
	return errors.New("the gateways are not ready")
}
