package proctest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against answers that a stopping instance of command run loses: it closes a
// connection behind its last answer, or exits, while the caller has received only a part
// of it, and a request that the caller had sent ahead arrives there.
func TestStoppingInstanceDeliversAnswers(t *testing.T) {
	const serviceTime = 200 * time.Millisecond
	f := newFleet(t, fleetConfig{instances: 1, endpoints: 6, serviceTime: serviceTime})
	p := f.instances[0]
	f.awaitReady(p)
	eventually(t, 10*time.Second, "response of an endpoint", func() bool {
		return strings.Contains(get(t, "http://"+p.entryAddr+"/v1/services/entries/x"), "GET /x")
	})
	request := fmt.Sprintf("POST /v1/services/entries/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", stopResponse) +
		strings.Repeat("x", stopResponse) // The endpoint repeats the body.
	// The instance announces the stop for a second, and exits then if it owes nothing.
	delays := []time.Duration{0, 0, 0, 1200 * time.Millisecond, 1200 * time.Millisecond, 1200 * time.Millisecond}
	errs := make([]error, len(delays))
	conns := make([]net.Conn, len(delays))
	for i := range conns {
		if conns[i] = dialSlow(p.entryAddr); conns[i] == nil {
			t.Fatal("not connected")
		}
		defer conns[i].Close()
	}
	p.signal(syscall.SIGTERM)
	time.Sleep(50 * time.Millisecond)
	var wg sync.WaitGroup
	for i, c := range conns {
		wg.Go(func() {
			write(c, request)
			time.Sleep(2*serviceTime + delays[i])
			write(c, request)
			errs[i] = readWhole(bufio.NewReader(slowReader{c, 4 << 10, 5 * time.Millisecond}))
			_ = c.Close()
		})
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			t.Errorf("caller that reads after %v: %v", 2*serviceTime+delays[i], err)
		}
	}
	select {
	case err := <-p.exited:
		if err != nil {
			t.Errorf("the instance has failed: %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the instance has not exited though nothing is left to do")
	}
}

// Guards against refusals of command run that are lost because the body of the request is
// unread when the connection closes.
func TestRefusalsOfUnreadBodiesArrive(t *testing.T) {
	f := newFleet(t, fleetConfig{instances: 1})
	p := f.instances[0]
	eventually(t, readyTimeout, "refusal", func() bool {
		resp, err := http.Get("http://" + p.entryAddr + "/v1/services/entries/x")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	for _, addr := range []string{p.entryAddr, p.controlAddr} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		const n = 1 << 20 // The limit of requests.
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		write(c, fmt.Sprintf("POST /v1/services/entries/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", n))
		for range n >> 17 {
			time.Sleep(50 * time.Millisecond)
			if !write(c, strings.Repeat("x", 1<<17)) {
				t.Errorf("%s: the connection was reset while the body was sent", addr)
				break
			}
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("%s: no answer: %v", addr, err)
		} else if resp.StatusCode < http.StatusBadRequest {
			t.Errorf("%s: status %d", addr, resp.StatusCode)
		}
		_ = c.Close()
	}
}

// Guards against a control listener without the limits of its API: a request whose body
// stalls would keep its connection, and a stop, waiting without end.
func TestControlListenerHasLimits(t *testing.T) {
	f := newFleet(t, fleetConfig{instances: 1})
	addr := f.instances[0].controlAddr
	eventually(t, readyTimeout, "answer", func() bool { return get(t, "http://"+addr+"/v1/status") != "" })
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const within = 4 * time.Second // The limit for a header section is 2 s, that of callers 5 s.
	_ = c.SetDeadline(time.Now().Add(within))
	write(c, "POST /v1/drain HTTP/1.1\r\nHost: h\r\n")
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection is kept: %v", err)
	}
}
