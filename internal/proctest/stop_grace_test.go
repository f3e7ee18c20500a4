package proctest

import (
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"jujubestile.example/jujubestile/internal/soak"
)

// Guards against a process that is killed at the end of the grace period, because each
// step of its exit takes as long as it may: a caller has sent half a request, the store
// does not respond, and nobody reads the log.
func TestStopEndsWithinGraceWhenEachStepIsSlow(t *testing.T) {
	const grace, lines, halves = 2 * time.Second, 500, 20
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if _, err := unix.FcntlInt(w.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize()); err != nil {
		t.Fatal(err)
	}
	var store *soak.Proxy
	s := startServeWith(t, serveConfig{memoryMB: 206, maxFiles: 2870, grace: grace, serviceTime: time.Millisecond, stdout: w,
		proxy: func(addr string) string {
			if store, err = soak.NewProxy(addr); err != nil {
				t.Fatal(err)
			}
			return store.Addr()
		}})
	defer store.Close()
	_ = w.Close() // The process has its own.
	for range lines {
		_ = s.answersAux(s.requests, "/none") // Refused, which is logged.
	}
	store.Silence()
	stopped := time.Now()
	_ = s.cmd.Process.Signal(syscall.SIGTERM)
	for range halves {
		c := dialSlow(s.requests)
		if c == nil {
			t.Fatal("not connected")
		}
		defer c.Close()
		_, _ = io.WriteString(c, "GET /safe/x HTTP/1.1\r\nHost: "+serveHost+"\r\nX-Request-Id")
	}
	err = <-s.exited
	s.exited <- err
	if took := time.Since(stopped); took > grace || err != nil {
		t.Errorf("exited after %v of %v: %v", took, grace, err)
	}
}
