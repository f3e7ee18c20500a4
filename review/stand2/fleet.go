//go:build review2

// Command stand2 holds the stand-ins and the checks of the cases in review/6 to
// review/10. Each case starts processes of `jujubestiled serve` with a stand-in store
// and stand-in endpoints, all on loopback addresses.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"

	"jujubestile.example/jujubestile/platform/standin"
)

// errCannotRun marks failures of the case itself, as opposed to a broken rule.
var errCannotRun = errors.New("the case could not run")

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// machine describes the machine of an instance, as in the platform's settings.
type machine struct {
	memoryMB, maxFiles int
	cpu, linkMbps      float64
}

// instance is one machine with a process of the system.
type instance struct {
	name, settings                    string
	requests, ready, lookups, metrics string
	peer                              string
	log                               *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	waitErr error
	started time.Time
}

// stage holds what a case has started.
type stage struct {
	rec       *recorder
	dir       string
	store     *standin.Store
	instances []*instance
	binary    string
}

func newStage(rec *recorder) (*stage, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	store, err := standin.StartStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &stage{rec: rec, dir: dir, store: store, binary: "target/jujubestiled"}, nil
}

// close ends all processes that the case started.
func (s *stage) close() {
	for _, in := range s.instances {
		in.kill()
		_ = in.log.Close()
	}
	s.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// freeAddr returns a loopback address with a free port.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// add adds an instance whose settings have the form of deploy/settings.json.tmpl.
func (s *stage) add(name, region, domain string, domains map[string]string, m machine, bounds map[string]any) (*instance, error) {
	in := &instance{name: name}
	for _, a := range []*string{&in.requests, &in.ready, &in.lookups, &in.metrics, &in.peer} {
		var err error
		if *a, err = freeAddr(); err != nil {
			return nil, err
		}
	}
	text, err := json.Marshal(map[string]any{
		"instance": name, "region": region, "domain": domain, "domains": domains,
		"listen": map[string]string{"requests": in.requests, "ready": in.ready, "lookups": in.lookups, "metrics": in.metrics, "peer": in.peer},
		"store":  map[string]string{"address": s.store.Addr()},
		"bounds": bounds, "seeds": []string{}, "memory_mb": m.memoryMB, "max_files": m.maxFiles,
		"machine": map[string]any{"cpu": m.cpu, "link_mbps": m.linkMbps}, "log": map[string]string{"level": "info"},
	})
	if err != nil {
		return nil, err
	}
	in.settings = filepath.Join(s.dir, name+".json")
	if err := os.WriteFile(in.settings, text, 0o644); err != nil {
		return nil, err
	}
	if in.log, err = os.Create(filepath.Join(s.dir, name+".log")); err != nil {
		return nil, err
	}
	s.instances = append(s.instances, in)
	return in, nil
}

// start starts a process of the instance with the command of the deploy file.
func (s *stage) start(in *instance) error {
	cmd := exec.Command(s.binary, "serve")
	cmd.Env = append(os.Environ(), "JUJUBESTILE_CONFIG="+in.settings)
	cmd.Stdout, cmd.Stderr = in.log, in.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	in.mu.Lock()
	in.cmd, in.exited, in.started = cmd, exited, time.Now()
	in.mu.Unlock()
	go func() {
		err := cmd.Wait()
		in.mu.Lock()
		in.waitErr = err
		in.mu.Unlock()
		close(exited)
	}()
	return nil
}

// kill ends the process of the instance, if it runs.
func (in *instance) kill() {
	in.mu.Lock()
	cmd, exited := in.cmd, in.exited
	in.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

// running reports whether the process runs.
func (in *instance) running() bool {
	in.mu.Lock()
	exited := in.exited
	in.mu.Unlock()
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

var residentLine = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)

// residentMB returns the resident memory of the process, or 0 if it does not run.
func (in *instance) residentMB() int {
	in.mu.Lock()
	pid := in.cmd.Process.Pid
	in.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	m := residentLine.FindSubmatch(status)
	if m == nil {
		return 0
	}
	kb, _ := strconv.Atoi(string(m[1]))
	return kb >> 10
}

// awaitReady waits until the readiness probe of the instance succeeds.
func (in *instance) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + in.ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not ready", errCannotRun, in.name)
}

// startedAt returns when the last process was started.
func (in *instance) startedAt() time.Time {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.started
}

// exitError returns the result of the process that has ended.
func (in *instance) exitError() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.waitErr
}
