package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
	// runs has the runs of each request: the services.
	runs map[string][]string
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	check(err)
	return &record{out: f, start: time.Now(), runs: map[string][]string{}}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) run(id, service, backend string) {
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], service)
	r.mu.Unlock()
	if strings.HasPrefix(id, "look-") {
		r.line("run %s by %s of %s", id, backend, service)
	}
}

func (r *record) ran(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs[id]...)
}

// instance is one process of the deploy file's role.
type instance struct {
	name, zone, region string
	storeAddr          string
	addrs              map[string]string
	dir                string
	cmd                *exec.Cmd
	done               chan struct{}
	starts             int
}

// rig is a small deployment.
type rig struct {
	store     *store
	rec       *record
	dir       string
	zones     map[string]string
	instances []*instance
	seeds     []string
	// mu is held while a process is started.
	mu sync.Mutex
	// net is the third byte of the loopback addresses.
	net int
	// memory is the limit of a machine in MB.
	memory int
	// version is that of the newest desired state, looks counts requests that look.
	version, looks int
}

func newRig(rec *record, net int, zones map[string]string) *rig {
	dir, err := os.MkdirTemp("", "review-3-")
	check(err)
	g := &rig{store: newStore(), rec: rec, dir: dir, zones: zones, net: net, memory: 206}
	rigsMu.Lock()
	rigs = append(rigs, g)
	rigsMu.Unlock()
	return g
}

// usedPorts has the ports that were given out, on any address.
var (
	usedMu    sync.Mutex
	usedPorts = map[string]bool{}
)

// freeAddr returns an address with a free port.
func freeAddr(ip string) string {
	for {
		ln, err := net.Listen("tcp", ip+":0")
		check(err)
		addr := ln.Addr().String()
		ln.Close()
		_, port, _ := net.SplitHostPort(addr)
		usedMu.Lock()
		used := usedPorts[port]
		usedPorts[port] = true
		usedMu.Unlock()
		if !used {
			return addr
		}
	}
}

// add adds an instance with loopback addresses of its own.
func (g *rig) add(name, zone string) *instance {
	ip := fmt.Sprintf("127.0.%d.%d", g.net, len(g.instances)+1)
	in := &instance{name: name, zone: zone, region: g.zones[zone], storeAddr: g.store.listen(name), dir: g.dir}
	in.addrs = map[string]string{}
	for _, l := range []string{"requests", "ready", "lookups", "metrics"} {
		in.addrs[l] = freeAddr(ip)
	}
	// All machines of a deployment have the same ports between instances.
	peer := 17620
	if len(g.instances) > 0 {
		_, p, _ := net.SplitHostPort(g.instances[0].addrs["peer"])
		_, _ = fmt.Sscan(p, &peer)
	} else {
		_, p, _ := net.SplitHostPort(freeAddr(ip))
		_, _ = fmt.Sscan(p, &peer)
	}
	in.addrs["peer"] = fmt.Sprintf("%s:%d", ip, peer)
	g.instances = append(g.instances, in)
	if len(g.seeds) < 3 {
		g.seeds = append(g.seeds, in.addrs["peer"])
	}
	return in
}

// start starts the process with the command of the deploy file. The settings are those
// that deploy/settings.json.tmpl gives for a machine of the site naec-gala.
func (g *rig) start(in *instance) {
	settings := map[string]any{
		"instance": in.name, "region": in.region, "domain": in.zone, "domains": g.zones,
		"listen": in.addrs,
		"store":  map[string]any{"address": in.storeAddr, "heartbeat": "1500ms"},
		"bounds": map[string]any{"grace": "6s", "drain": "2500ms", "retry_ratio": 0.2, "retry_slack": 120, "retry_window": "10s", "max_shift": 0.15},
		"seeds":  g.seeds, "memory_mb": g.memory, "max_files": 2870,
		"machine": map[string]any{"cpu": 0.224, "link_mbps": 700}, "log": map[string]any{"level": "info"},
	}
	b, err := json.Marshal(settings)
	check(err)
	file := filepath.Join(g.dir, in.name+".json")
	check(os.WriteFile(file, b, 0o600))
	in.starts++
	log, err := os.Create(filepath.Join(g.dir, fmt.Sprintf("%s.%d.log", in.name, in.starts)))
	check(err)
	cmd := exec.Command("target/jujubestiled", "serve")
	cmd.Env = append(os.Environ(), "JUJUBESTILE_CONFIG="+file)
	cmd.Stdout, cmd.Stderr = log, log
	g.mu.Lock()
	defer g.mu.Unlock()
	check(cmd.Start())
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); log.Close(); close(done) }()
	in.cmd, in.done = cmd, done
}

func (in *instance) kill() {
	_ = in.cmd.Process.Kill()
	<-in.done
}

func (in *instance) running() bool {
	select {
	case <-in.done:
		return false
	default:
		return true
	}
}

// rigs has all deployments, which end with the program.
var (
	rigsMu sync.Mutex
	rigs   []*rig
)

// exit ends all processes that were started, removes the temporary folders and exits.
func exit(code int) {
	rigsMu.Lock()
	for _, g := range rigs {
		g.mu.Lock() // No further process is started.
		for _, in := range g.instances {
			if in.cmd != nil {
				in.kill()
			}
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(g.dir)
		} else {
			fmt.Println("logs in", g.dir)
		}
	}
	os.Exit(code)
}

// exitOnSignal makes SIGTERM and SIGINT end the case: it couldn't run.
func exitOnSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-c; exit(2) }()
}

func (in *instance) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + in.addrs["ready"] + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the instances are ready, or ends the case: it could not run.
func (g *rig) awaitReady(of ...*instance) {
	for _, in := range of {
		for end := time.Now().Add(10 * time.Second); !in.ready(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				text, _ := os.ReadFile(filepath.Join(g.dir, fmt.Sprintf("%s.%d.log", in.name, in.starts)))
				fmt.Printf("%s is not ready, running: %v\n%.3000s\n", in.name, in.running(), text)
				exit(2)
			}
		}
	}
}

// answer is what a client got.
type answer struct {
	status    int
	signature string
	body      string
	err       error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d signature %q body %.80q", a.status, a.signature, a.body)
}

var plain = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// ask sends one request to an instance.
func ask(client *http.Client, in *instance, method, host, path, id string, wait time.Duration, body string) answer {
	req, err := http.NewRequest(method, "http://"+in.addrs["requests"]+path, strings.NewReader(body))
	check(err)
	if body == "" {
		req.Body, req.ContentLength = http.NoBody, 0
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Affinity-Key", "17")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	c := *client
	c.Timeout = wait + 500*time.Millisecond
	resp, err := c.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("X-Server-Signature"), string(b), err}
}

// route is a row of the desired state.
type route struct {
	name, host, prefix, kind, service string
	timeout                           string
}

// state encodes a desired state.
func state(version int, services []string, routes []route) []byte {
	var rows, srv [][]any
	for _, r := range routes {
		rows = append(rows, []any{r.name, r.host, r.prefix, r.kind, r.timeout, "400ms", 1, r.service, 2, true, []string{}, nil})
	}
	for _, s := range services {
		srv = append(srv, []any{s, "/health", 720, "h1", false, "3s", 12.0})
	}
	b, err := json.Marshal(map[string]any{
		"configVersion": fmt.Sprintf("%08x", version),
		"routes": map[string]any{"columns": []string{"name", "host", "pathPrefix", "type", "timeout", "targetLatency", "priority", "service", "maxAttempts", "sessionAffinity", "allowedRegions", "trafficSplit"},
			"rows": rows},
		"services": map[string]any{"columns": []string{"name", "healthPath", "maxConnections", "protocol", "tls", "coldStart", "coldPerS"}, "rows": srv},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	check(err)
	return b
}
