package proctest

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// daemonCommands are the commands that run an instance.
var daemonCommands = []string{"run", "serve"}

// settingsOf returns the text of the settings of an instance whose platform does not
// answer.
func settingsOf(t *testing.T, command string) []byte {
	t.Helper()
	nowhere, grace := reserveAddr(t), "1s"
	settings := map[string]any{"instance": "a1-0", "region": "a", "domain": "a1", "store": "http://" + nowhere,
		"listen":   map[string]string{"entry": reserveAddr(t), "peer": reserveAddr(t), "control": reserveAddr(t)},
		"requests": map[string]string{"default_timeout": grace, "max_timeout": grace},
		"platform": map[string]string{"url": "http://" + nowhere}, "shutdown": map[string]string{"announce": grace, "grace": grace}}
	if command == "serve" {
		settings = map[string]any{"instance": "a1-0", "region": "a", "domain": "a1", "domains": map[string]string{"a1": "a"},
			"listen": map[string]string{"requests": reserveAddr(t), "ready": reserveAddr(t), "lookups": reserveAddr(t), "peer": reserveAddr(t)},
			"store":  map[string]string{"address": nowhere}, "seeds": []string{}, "log": map[string]string{"level": "info"},
			"bounds": map[string]any{"grace": grace, "retry_ratio": 0.2, "retry_slack": 120, "retry_window": "10s", "max_shift": 0.15}}
	}
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// startDaemon starts an instance that reads its settings from file and logs to log.
func startDaemon(t *testing.T, command, file string, log *os.File) (*os.Process, <-chan error) {
	t.Helper()
	cmd := exec.Command(binary, command, "-config", file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited, ended := make(chan error, 1), make(chan struct{})
	go func() { exited <- cmd.Wait(); close(ended) }()
	t.Cleanup(func() { _ = cmd.Process.Kill(); <-ended })
	return cmd.Process, exited
}

// stays fails the test if the process exits within d.
func stays(t *testing.T, exited <-chan error, d time.Duration) {
	t.Helper()
	select {
	case err := <-exited:
		t.Fatalf("the process has exited: %v", err)
	case <-time.After(d):
	}
}

// Guards against a process that ends, with all of its requests, because the reader of its
// log has ended.
func TestLogReaderThatEnds(t *testing.T) {
	for _, command := range daemonCommands {
		t.Run(command, func(t *testing.T) {
			t.Parallel()
			file := filepath.Join(t.TempDir(), "settings.json")
			if err := os.WriteFile(file, settingsOf(t, command), 0o600); err != nil {
				t.Fatal(err)
			}
			r, w, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer w.Close()
			_ = r.Close()
			_, exited := startDaemon(t, command, file, w)
			stays(t, exited, 500*time.Millisecond)
		})
	}
}

// Guards against a process that ends, with all of its requests, at a signal that has
// another meaning, or at a second one that asks it to stop: SIGHUP before the settings are
// read and while it runs, and all of them during a stop.
func TestSignalsThatDoNotEndTheProcess(t *testing.T) {
	for _, command := range daemonCommands {
		t.Run(command, func(t *testing.T) {
			t.Parallel()
			const pause = 200 * time.Millisecond
			file := filepath.Join(t.TempDir(), "settings.json")
			if err := syscall.Mkfifo(file, 0o600); err != nil {
				t.Fatal(err)
			}
			log, err := os.Create(filepath.Join(t.TempDir(), "log"))
			if err != nil {
				t.Fatal(err)
			}
			defer log.Close()
			p, exited := startDaemon(t, command, file, log)
			stays(t, exited, pause) // It waits for its settings.
			_ = p.Signal(syscall.SIGHUP)
			stays(t, exited, pause)
			if err := os.WriteFile(file, settingsOf(t, command), 0); err != nil {
				t.Fatal(err)
			}
			stays(t, exited, pause)
			_ = p.Signal(syscall.SIGHUP)
			stays(t, exited, pause)
			for _, s := range []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
				_ = p.Signal(s)
				stays(t, exited, pause/4)
			}
			select {
			case err := <-exited:
				if err != nil {
					text, _ := os.ReadFile(log.Name())
					t.Errorf("the stop has failed: %v\n%s", err, text)
				}
			case <-time.After(10 * time.Second):
				t.Error("the process has not stopped")
			}
		})
	}
}
