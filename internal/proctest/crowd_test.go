package proctest

import (
	"fmt"
	"io"
	"net"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"jujubestile.example/jujubestile/platform/standin"
)

const (
	// crowdMemoryMB is the memory of the machine that the processes are told: three
	// times what one takes in calm.
	crowdMemoryMB = 64
	// crowdTime is how long a crowd stays once all have connected.
	crowdTime = 1200 * time.Millisecond
	// answerTime is for how long an ordinary request is tried again.
	answerTime = 15 * time.Second
)

// crowdSite is what a crowd meets. Endpoints of the routes /slow-pay/ and /slow-safe/
// take slowTime and respond with slowBytes.
type crowdSite struct {
	slowTime  time.Duration
	slowBytes int
}

// start starts a process of `jujubestiled serve`.
func (site crowdSite) start(t *testing.T) *serveProcess {
	t.Helper()
	store, err := standin.StartStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	const slots = 500
	for i := range 2 {
		for _, cfg := range []standin.EndpointConfig{
			{ID: fmt.Sprint("e", i), Service: "s", Slots: 32, Queue: 64, ServiceTime: 5 * time.Millisecond},
			{ID: fmt.Sprint("f", i), Service: "slow", Slots: slots, Queue: slots, ServiceTime: site.slowTime, ResponseBytes: site.slowBytes},
		} {
			cfg.Domain = "a1"
			e, err := standin.StartEndpoint(cfg)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(e.Close)
			store.PutEndpoint(e, e.Addr(), false, 0)
		}
	}
	route := func(name, service string, repeatable bool) standin.Route {
		return standin.Route{Name: name, Host: serveHost, Prefix: "/" + name + "/", Repeatable: repeatable, Service: service, Timeout: 8 * time.Second, Target: 4 * time.Second}
	}
	routes := []standin.Route{route("safe", "s", true), route("pay", "s", false), route("slow-safe", "slow", true), route("slow-pay", "slow", false)}
	store.PutState(standin.WithLimits(standin.EncodeDesiredState(1, 5, []string{"s", "slow"}, routes), serveHeaderBytes, serveBodyBytes))
	s := &serveProcess{t: t, requests: reserveAddr(t), ready: reserveAddr(t), lookups: reserveAddr(t), metrics: reserveAddr(t), peer: reserveAddr(t)}
	s.run(map[string]any{
		"instance": "i1", "region": "a", "domain": "a1", "domains": map[string]string{"a1": "a"},
		"listen": map[string]string{"requests": s.requests, "ready": s.ready, "lookups": s.lookups, "metrics": s.metrics, "peer": s.peer},
		"store":  map[string]string{"address": store.Addr()},
		"bounds": map[string]any{"grace": "2s", "retry_ratio": 0.2, "retry_slack": 120, "retry_window": "10s", "max_shift": 0.15},
		"seeds":  []string{}, "memory_mb": crowdMemoryMB, "max_files": manyFiles, "log": map[string]string{"level": "info"},
	})
	eventually(t, 10*time.Second, "first answer", s.answers)
	return s
}

// crowd is a number of callers of one kind.
type crowd struct {
	callers int
	at      place
	// send sends what a caller sends. Its connection then stays open until the end, and
	// a caller whose connection has been closed connects again at once.
	send func(c net.Conn, p place, end <-chan struct{})
}

// gather lets the crowds call until the returned function is called, which waits for
// them. It returns once all have connected or have been refused.
func gather(crowds ...crowd) (leave func()) {
	end := make(chan struct{})
	var wg, connected sync.WaitGroup
	for _, of := range crowds {
		for range of.callers {
			connected.Add(1)
			wg.Go(func() { of.call(end, connected.Done) })
		}
	}
	connected.Wait()
	return func() { close(end); wg.Wait() }
}

func (of crowd) call(end <-chan struct{}, connected func()) {
	c := dialSlow(of.at.addr)
	connected()
	for {
		if c != nil {
			of.use(c, end)
		}
		if !pause(time.Millisecond, end) {
			return
		}
		c = dialSlow(of.at.addr)
	}
}

// use sends on a connection and keeps it open until either side ends it.
func (of crowd) use(c net.Conn, end <-chan struct{}) {
	closed := make(chan struct{})
	defer close(closed)
	defer c.Close()
	go func() {
		select {
		case <-end:
			_ = c.SetDeadline(time.Now())
		case <-closed:
		}
	}()
	of.send(c, of.at, end)
	_, _ = io.Copy(io.Discard, c)
}

// pause reports whether the crowd is to go on after d.
func pause(d time.Duration, end <-chan struct{}) bool {
	select {
	case <-end:
		return false
	case <-time.After(d):
		return true
	}
}

// meet checks that the process lives, stays within its machine, and answers an ordinary
// request while the crowds are there and afterwards.
func (s *serveProcess) meet(crowds ...crowd) {
	s.t.Helper()
	stop := s.watch()
	leave := gather(crowds...)
	time.Sleep(crowdTime)
	eventually(s.t, answerTime, "answer to an ordinary request beside the crowd", func() bool { s.lives(); return s.answers() })
	stop()
	leave()
	s.check(crowdMemoryMB, manyFiles)
}

// lives fails the test if the process has exited.
func (s *serveProcess) lives() {
	s.t.Helper()
	select {
	case err := <-s.exited:
		s.exited <- err
		s.t.Fatalf("the process has exited: %v", err)
	default:
	}
}

// known sends a body of n bytes with its length in pieces, without the last bytes.
func known(n, piece, short int) func(net.Conn, place, <-chan struct{}) {
	return func(c net.Conn, p place, _ <-chan struct{}) {
		if write(c, head("POST", p, fmt.Sprint("Content-Length: ", n))) {
			sendBytes(c, n-short, piece)
		}
	}
}

// chunked sends n bytes in chunks of the given size, each with the extension, and then
// tail in place of the last chunk.
func chunked(n, size int, extension, tail string) func(net.Conn, place, <-chan struct{}) {
	const leastWrite = 16 << 10
	chunk := fmt.Sprintf("%x%s\r\n%s\r\n", size, extension, strings.Repeat("x", size))
	chunks := max(1, leastWrite/len(chunk))
	text := strings.Repeat(chunk, chunks)
	return func(c net.Conn, p place, _ <-chan struct{}) {
		ok := write(c, head("POST", p, "Transfer-Encoding: chunked"))
		for sent := 0; ok && sent < n; sent += chunks * size {
			ok = write(c, text)
		}
		write(c, tail)
	}
}

// frame sends a message to other instances that stops one byte short of its end.
func frame(c net.Conn, _ place, _ <-chan struct{}) {
	const size = 1<<20 + 128<<10
	if write(c, string([]byte{0, size >> 16, size >> 8 & 0xff, 0})) {
		sendBytes(c, size-1, 64<<10)
	}
}

// runMachineMB is the memory of the smallest machine of the deployments, for processes
// of `jujubestiled run`.
const runMachineMB = misuseMemoryMB

// startRun starts a process of `jujubestiled run` with the given limit of descriptors.
func startRun(t *testing.T, maxFiles int) (*serveProcess, *process) {
	t.Helper()
	f := newFleet(t, fleetConfig{endpoints: 1})
	f.addInstance(0)
	f.platform.Publish()
	p := f.instances[0]
	f.startCommand(p, exec.Command("/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`, fmt.Sprint(maxFiles), binary, "run", "-config", p.config))
	f.awaitReady(p)
	return &serveProcess{t: t, cmd: p.cmd, exited: p.exited}, p
}

// meetRun is meet for a process of `jujubestiled run`.
func meetRun(t *testing.T, maxFiles int, crowds func(p *process) []crowd) {
	t.Helper()
	s, p := startRun(t, maxFiles)
	answers := func() bool {
		s.lives()
		return strings.Contains(get(t, "http://"+p.entryAddr+"/v1/services/entries/list?event=7"), "GET /list?event=7")
	}
	eventually(t, answerTime, "first answer", answers)
	stop := s.watch()
	leave := gather(crowds(p)...)
	time.Sleep(crowdTime)
	eventually(t, answerTime, "answer to an ordinary request beside the crowd", answers)
	stop()
	leave()
	t.Logf("at most %d MB resident, %d descriptors", s.maxResident, s.maxFiles)
	if s.maxResident > runMachineMB {
		t.Errorf("%d MB resident, more than the %d MB of the machine", s.maxResident, runMachineMB)
	}
	eventually(t, answerTime, "answer to an ordinary request", answers)
	eventually(t, answerTime, "answer of the control listener", func() bool { return get(t, "http://"+p.controlAddr+"/v1/status") != "" })
}
