package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the page SYSTEM.md and of the settings in DEPLOY.md.
const (
	memoryMB     = 206
	grace        = 6 * time.Second
	stableWindow = 3 * time.Second
	heartbeat    = 1500 * time.Millisecond
	// restartDelay is the short delay after which the platform starts a process
	// again.
	restartDelay = time.Second
)

// platform starts instances with the command of the deploy file, watches their
// memory and writes what happens into the record.
type platform struct {
	dir   string
	start time.Time
	store *store
	net   string
	seeds []string
	// grace is the grace period of the processes.
	grace time.Duration
	// proxied puts a proxy before each backend.
	proxied bool

	mu     sync.Mutex
	record *os.File
	procs  map[int]*exec.Cmd
	// closed means that no process may be started any more.
	closed bool
}

// newPlatform creates the record in the folder of the case and a store.
func newPlatform(folder string) *platform {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	cannotRun(err)
	dir, err := os.MkdirTemp("", "review")
	cannotRun(err)
	p := &platform{dir: dir, start: time.Now(), record: f, procs: map[int]*exec.Cmd{}, store: startStore(), grace: grace,
		net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))}
	return p
}

// log writes a line with the time into the record.
func (p *platform) log(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.3f "+format+"\n", append([]any{time.Since(p.start).Seconds()}, args...)...)
}

// close ends all processes that were started and removes the temporary folder.
func (p *platform) close() {
	p.mu.Lock()
	p.closed = true
	for _, c := range p.procs {
		_ = c.Process.Kill()
	}
	p.mu.Unlock()
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		p.mu.Lock()
		n := len(p.procs)
		p.mu.Unlock()
		if n == 0 {
			break
		}
	}
	_ = p.record.Close()
	_ = os.RemoveAll(p.dir)
}

// run starts a process. done is closed when it has ended.
func (p *platform) run(out string, env []string, name string, args ...string) (*exec.Cmd, chan struct{}) {
	f, err := os.OpenFile(filepath.Join(p.dir, out), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	cannotRun(err)
	defer f.Close()
	return p.runTo(f, env, name, args...)
}

// runTo is run for a process whose output goes to a file.
func (p *platform) runTo(out *os.File, env []string, name string, args ...string) (*exec.Cmd, chan struct{}) {
	c := exec.Command(name, args...)
	c.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	c.Stdout, c.Stderr = out, out
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		select {} // The program is about to end.
	}
	err := c.Start()
	if err == nil {
		p.procs[c.Process.Pid] = c
	}
	p.mu.Unlock()
	cannotRun(err)
	done := make(chan struct{})
	go func() {
		_ = c.Wait()
		p.mu.Lock()
		delete(p.procs, c.Process.Pid)
		p.mu.Unlock()
		close(done)
	}()
	return c, done
}

// instance is a process of the role entry.
type instance struct {
	p        *platform
	name     string
	requests string
	ready    string
	config   string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	upAt time.Time
	// stopping is set from SIGTERM until the next start.
	stopping atomic.Bool
	kills    int
	peak     int
}

// addInstances prepares n instances, in the zones in turn. Each has a loopback
// address of its own, since the template of the settings fixes one port.
func (p *platform) addInstances(zones []string, regions map[string]string, n int) []*instance {
	var out []*instance
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("%s.%d", p.net, i+10))
	}
	for i := range min(n, 3) {
		p.seeds = append(p.seeds, ips[i]+":8649")
	}
	for i, ip := range ips {
		for _, port := range []string{"8641", "8640", "8644", "9464", "7620"} {
			ln, err := net.Listen("tcp", ip+":"+port)
			cannotRun(err)
			_ = ln.Close()
		}
		zone := zones[i%len(zones)]
		in := &instance{p: p, name: fmt.Sprintf("edge-%s-%d", zone, i+1), requests: ip + ":8641", ready: ip + ":8640"}
		settings := map[string]any{
			"instance": in.name, "region": regions[zone], "domain": zone, "domains": regions,
			"listen": map[string]string{"requests": in.requests, "ready": in.ready, "lookups": ip + ":8644",
				"metrics": ip + ":9464", "peer": ip + ":7620"},
			"store":  map[string]string{"address": p.store.addr},
			"bounds": map[string]any{"grace": p.grace.String(), "retry_ratio": 0.2, "retry_slack": 120, "retry_window": "10s", "max_shift": 0.15},
			"seeds":  p.seeds, "memory_mb": memoryMB, "machine": map[string]any{"cpu": 0.224, "link_mbps": 700.0},
			"log": map[string]string{"level": "info"},
		}
		b, err := json.MarshalIndent(settings, "", "\t")
		cannotRun(err)
		in.config = filepath.Join(p.dir, in.name+".json")
		cannotRun(os.WriteFile(in.config, b, 0o644))
		out = append(out, in)
	}
	return out
}

// run starts the process with the command of deploy/system.toml.
func (in *instance) run() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.cmd, in.done = in.p.run(in.name+".log", []string{"JUJUBESTILE_CONFIG=" + in.config}, "target/jujubestiled", "serve")
	in.upAt = time.Now()
	in.p.log("platform: %s starts, pid %d", in.name, in.cmd.Process.Pid)
}

// awaitReady waits until GET /ready gives 200.
func (in *instance) awaitReady() {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := c.Get("http://" + in.ready + "/ready")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	cannotRun(fmt.Errorf("%s is not ready after 10 s", in.name))
}

// restart stops the process with SIGTERM, and with SIGKILL after the grace period,
// and starts it again.
func (in *instance) restart() {
	in.mu.Lock()
	cmd, done := in.cmd, in.done
	in.mu.Unlock()
	in.p.log("platform: SIGTERM to %s", in.name)
	in.stopping.Store(true)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(in.p.grace):
		_ = cmd.Process.Kill()
		<-done
	}
	in.p.log("platform: %s has ended", in.name)
	in.run()
	in.stopping.Store(false)
}

// inTouch reports whether the process has run for the whole stable window
// before now.
func (in *instance) inTouch() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return time.Since(in.upAt) > stableWindow
}

// guardMemory kills the process when its memory exceeds the limit of the machine
// and starts it again after a short delay. Only anonymous memory is counted.
func (in *instance) guardMemory(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		in.mu.Lock()
		cmd, done := in.cmd, in.done
		in.mu.Unlock()
		mb := anonymousMB(cmd.Process.Pid)
		in.mu.Lock()
		in.peak = max(in.peak, mb)
		in.mu.Unlock()
		if mb <= memoryMB {
			continue
		}
		_ = cmd.Process.Kill()
		<-done
		in.mu.Lock()
		in.kills++
		in.mu.Unlock()
		in.p.log("platform: %s uses %d MB of %d MB: killed", in.name, mb, memoryMB)
		select {
		case <-stop:
			return
		case <-time.After(restartDelay):
		}
		in.run()
	}
}

// anonymousMB returns the anonymous memory of a process that this program started.
func anonymousMB(pid int) int {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(b) {
		if f := strings.Fields(string(line)); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

// route is a row of the desired state.
type route struct {
	name, host, prefix, kind, timeout, target, service string
	priority, attempts                                 int
}

// putConfig writes the desired state as the operator does. The limits are those of
// the example of fleetbench wire.
func (p *platform) putConfig(routes []route, services []string) {
	columns := []string{"name", "host", "pathPrefix", "type", "timeout", "targetLatency", "priority", "service", "maxAttempts",
		"sessionAffinity", "allowedRegions", "trafficSplit"}
	var rows, srows []any
	for _, r := range routes {
		rows = append(rows, []any{r.name, r.host, r.prefix, r.kind, r.timeout, r.target, r.priority, r.service, r.attempts, false, []string{}, []any{}})
	}
	for _, s := range services {
		srows = append(srows, []any{s, "/health", 720, "h1", false, "3s", 12.0})
	}
	p.store.put("op/config", map[string]any{
		"configVersion": "00000007",
		"routes":        map[string]any{"columns": columns, "rows": rows},
		"services":      map[string]any{"columns": []string{"name", "healthPath", "maxConnections", "protocol", "tls", "coldStart", "coldPerS"}, "rows": srows},
		"limits":        map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
}

const maxBodyBytes = 67108864

// putEntry writes the entry of a backend, as the backend does.
func (p *platform) putEntry(id, service, zone, addr string, slots, sequence int, born int64) {
	p.store.put("servers/"+id, map[string]any{
		"address": addr, "born": born,
		"info":   map[string]any{"service": service, "configVersion": "v1", "zone": zone, "capacity": slots},
		"status": map[string]any{"state": "ready", "sequence": sequence, "coldRemaining": "0ms"},
	})
}
