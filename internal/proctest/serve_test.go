package proctest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"testing"
	"time"

	"jujubestile.example/jujubestile/platform"
	"jujubestile.example/jujubestile/platform/standin"
)

const (
	serveHost = "h.example"
	// Limits of the desired state, as in the deployments.
	serveHeaderBytes, serveBodyBytes = 16 << 10, 64 << 20
)

// serveProcess is a process of `jujubestiled serve` with a stand-in store and
// stand-in endpoints.
type serveProcess struct {
	t                                       *testing.T
	requests, ready, lookups, metrics, peer string
	cmd                                     *exec.Cmd
	exited                                  chan error
	stdout                                  io.Writer
	maxResident, maxFiles                   int
}

// serveConfig configures a serveProcess and its endpoints.
type serveConfig struct {
	// memoryMB and maxFiles are the limits of the machine.
	memoryMB, maxFiles int
	// grace is the time from SIGTERM to SIGKILL.
	grace time.Duration
	// serviceTime is the time that a request takes, responseBytes the size of responses.
	serviceTime   time.Duration
	responseBytes int
	// proxy returns the address at which the process reaches the store, given the
	// store's. It may be nil.
	proxy func(string) string
	// stdout is the process's, or nil for one that is printed if the test fails.
	stdout io.Writer
}

// startServe starts a process with the given limits of its machine and waits until
// it answers requests. responseBytes is the size of the endpoints' responses.
func startServe(t *testing.T, memoryMB, maxFiles, responseBytes int) *serveProcess {
	t.Helper()
	return startServeWith(t, serveConfig{memoryMB: memoryMB, maxFiles: maxFiles, grace: 2 * time.Second,
		serviceTime: 5 * time.Millisecond, responseBytes: responseBytes})
}

// startServeWith starts a process and waits until it answers requests.
func startServeWith(t *testing.T, cfg serveConfig) *serveProcess {
	t.Helper()
	store, err := standin.StartStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	for i := range 2 {
		e, err := standin.StartEndpoint(standin.EndpointConfig{ID: fmt.Sprint("e", i), Service: "s", Domain: "a1", Slots: 32, Queue: 64,
			ServiceTime: cfg.serviceTime, ResponseBytes: cfg.responseBytes})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		store.PutEndpoint(e, e.Addr(), false, 0)
	}
	routes := []standin.Route{{Name: "safe", Host: serveHost, Prefix: "/safe/", Repeatable: true, Service: "s", Timeout: 5 * time.Second, Target: time.Second},
		{Name: "pay", Host: serveHost, Prefix: "/pay/", Service: "s", Timeout: 5 * time.Second, Target: time.Second}}
	store.PutState(standin.WithLimits(standin.EncodeDesiredState(1, 5, []string{"s"}, routes), serveHeaderBytes, serveBodyBytes))
	s := &serveProcess{t: t, requests: reserveAddr(t), ready: reserveAddr(t), lookups: reserveAddr(t), metrics: reserveAddr(t), stdout: cfg.stdout}
	storeAddr := store.Addr()
	if cfg.proxy != nil {
		storeAddr = cfg.proxy(storeAddr)
	}
	s.run(map[string]any{
		"instance": "i1", "region": "a", "domain": "a1", "domains": map[string]string{"a1": "a"},
		"listen": map[string]string{"requests": s.requests, "ready": s.ready, "lookups": s.lookups, "metrics": s.metrics, "peer": reserveAddr(t)},
		"store":  map[string]string{"address": storeAddr},
		"bounds": map[string]any{"grace": cfg.grace.String(), "retry_ratio": 0.2, "retry_slack": 120, "retry_window": "10s", "max_shift": 0.15},
		"seeds":  []string{}, "memory_mb": cfg.memoryMB, "max_files": cfg.maxFiles, "log": map[string]string{"level": "info"},
	})
	eventually(t, 10*time.Second, "first answer", s.answers)
	return s
}

// run starts the process. Its log is printed if the test fails.
func (s *serveProcess) run(settings map[string]any) {
	s.t.Helper()
	text, err := json.Marshal(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	file := filepath.Join(s.t.TempDir(), "settings.json")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		s.t.Fatal(err)
	}
	var log bytes.Buffer
	s.cmd = exec.Command(binary, "serve", "-config", file)
	s.cmd.Stdout, s.cmd.Stderr = &log, &log
	if s.stdout != nil {
		s.cmd.Stdout = s.stdout
	}
	if err := s.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.exited = make(chan error, 1)
	go func() { s.exited <- s.cmd.Wait() }()
	s.t.Cleanup(func() {
		_ = s.cmd.Process.Signal(syscall.SIGKILL)
		<-s.exited
		if s.t.Failed() {
			const shown = 20 << 10
			out := log.Bytes()
			s.t.Logf("log:\n%s", out[max(0, len(out)-shown):])
		}
	})
}

// answers reports whether the process answers an ordinary request.
func (s *serveProcess) answers() bool {
	c := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(standin.NewRequest("POST", s.requests, serveHost, "/pay/x", strconv.FormatInt(time.Now().UnixNano(), 16), "o", 3*time.Second))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// answersAux reports whether the listener at addr answers.
func (s *serveProcess) answersAux(addr, path string) bool {
	c := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + addr + path)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var residentLine = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)

// sample records the resident memory in MB and the number of descriptors.
func (s *serveProcess) sample() {
	dir := fmt.Sprintf("/proc/%d/", s.cmd.Process.Pid)
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return // It has exited, which check reports.
	}
	if m := residentLine.FindSubmatch(status); m != nil {
		kb, _ := strconv.Atoi(string(m[1]))
		s.maxResident = max(s.maxResident, kb>>10)
	}
	if fds, err := os.ReadDir(dir + "fd"); err == nil {
		s.maxFiles = max(s.maxFiles, len(fds))
	}
}

// watch samples the process until the returned function is called.
func (s *serveProcess) watch() (stop func()) {
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			s.sample()
			select {
			case <-end:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return func() { close(end); <-ended }
}

// check fails the test if the process has exited, has exceeded a limit of its
// machine, or answers no ordinary request.
func (s *serveProcess) check(memoryMB, maxFiles int) {
	s.t.Helper()
	select {
	case err := <-s.exited:
		s.exited <- err
		s.t.Fatalf("the process has exited: %v", err)
	default:
	}
	s.t.Logf("at most %d MB resident, %d descriptors", s.maxResident, s.maxFiles)
	if s.maxResident > memoryMB {
		s.t.Errorf("%d MB resident, more than the %d MB of the machine", s.maxResident, memoryMB)
	}
	if s.maxFiles > maxFiles {
		s.t.Errorf("%d open descriptors, more than %d", s.maxFiles, maxFiles)
	}
	eventually(s.t, 15*time.Second, "answer to an ordinary request", s.answers)
	eventually(s.t, 15*time.Second, "answer of the readiness listener", func() bool { return s.answersAux(s.ready, platform.PathReady) })
}
