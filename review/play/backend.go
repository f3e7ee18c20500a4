package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// backend is a stand-in of a backend, in a process of its own. It writes one line to
// standard output for what it does with a request.
type backend struct {
	id      string
	slots   int
	queue   int
	work    time.Duration
	mu      sync.Mutex
	running int
	waiting int
	free    chan struct{}
	seq     int
}

func runBackend(args []string) {
	f := flag.NewFlagSet("backend", flag.ExitOnError)
	b := &backend{}
	f.StringVar(&b.id, "id", "", "")
	f.IntVar(&b.slots, "slots", 4, "")
	f.IntVar(&b.queue, "queue", 12, "")
	f.DurationVar(&b.work, "work", 400*time.Millisecond, "")
	_ = f.Parse(args)
	b.free = make(chan struct{}, b.slots)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(couldNotRun)
	}
	say("listening", ln.Addr().String())
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

var sayMu sync.Mutex

func say(words ...string) {
	sayMu.Lock()
	defer sayMu.Unlock()
	_, _ = os.Stdout.WriteString(strings.Join(words, " ") + "\n")
}

// serve answers the requests of a channel, one at a time.
func (b *backend) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if !b.answer(c, br, r) {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// answer answers a request. It reports whether the channel stays open.
func (b *backend) answer(c net.Conn, br *bufio.Reader, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	if r.URL.Path == "/health" {
		return b.write(c, "200 OK", "", "", "")
	}
	if want := r.Header.Get("X-Expected-Instance"); want != b.id {
		return b.write(c, "421 Misdirected Request", id, "", "")
	}
	switch {
	case strings.Contains(r.URL.Path, "/poison"):
		// The request crashes each backend that begins to run it.
		say("crash", id)
		os.Exit(1)
	case strings.Contains(r.URL.Path, "/early"):
		b.answerEarly(c, r, id)
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	// A backend drops a request when its channel closes. The system sends nothing
	// behind a request, so any end of the wait for more bytes is a close.
	gone := make(chan struct{})
	answered := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := br.Peek(1); err != nil {
			select {
			case <-answered:
			default:
				close(gone)
			}
		}
	}()
	defer func() {
		close(answered)
		_ = c.SetReadDeadline(time.Now())
		<-watched
		_ = c.SetReadDeadline(time.Time{})
	}()
	deadline := time.After(time.Hour)
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = time.After(time.Duration(ms) * time.Millisecond)
	}
	if !b.enter(deadline) {
		return b.write(c, "503 Service Unavailable", id, "X-Not-Executed: 1\r\n", "")
	}
	say("run", id)
	select {
	case <-time.After(b.work):
	case <-gone:
		b.leave()
		say("dropped", id)
		return false
	case <-deadline:
		b.leave()
		return b.write(c, "504 Gateway Timeout", id, "X-Server-Signature: "+id+".late\r\n", "")
	}
	b.leave()
	say("ran", id)
	return b.write(c, "200 OK", id, "X-Server-Signature: "+id+"."+b.id+"\r\n", "done "+id)
}

// enter waits for a slot.
func (b *backend) enter(deadline <-chan time.Time) bool {
	b.mu.Lock()
	if b.running >= b.slots && b.waiting >= b.queue {
		b.mu.Unlock()
		return false
	}
	b.waiting++
	b.mu.Unlock()
	ok := false
	select {
	case b.free <- struct{}{}:
		ok = true
	case <-deadline:
	}
	b.mu.Lock()
	b.waiting--
	if ok {
		b.running++
	}
	b.mu.Unlock()
	return ok
}

func (b *backend) leave() {
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	<-b.free
}

func (b *backend) write(c net.Conn, status, id, more, body string) bool {
	b.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", b.running, b.waiting, b.slots)
	b.mu.Unlock()
	head := "HTTP/1.1 " + status + "\r\nX-Instance-Id: " + b.id + "\r\nX-Server-Load: " + load + "\r\n" + more
	if id != "" {
		head += "X-Request-Id: " + id + "\r\n"
	}
	_, err := io.WriteString(c, head+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	return err == nil
}

// Pauses of answerEarly: how long the backend waits after the first half of its
// answer before it reads the rest of the body.
const earlyPause = 500 * time.Millisecond

// earlyHalf is half of the body that answerEarly sends.
var earlyHalf = strings.Repeat("0123456789abcdef", 2048)

// answerEarly answers before it has read the body, without a length, and reads on
// later. The answer ends with the channel.
func (b *backend) answerEarly(c net.Conn, r *http.Request, id string) {
	say("run", id)
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: "+b.id+"\r\nX-Request-Id: "+id+
		"\r\nX-Server-Signature: "+id+"."+b.id+"\r\nConnection: close\r\n\r\n"+earlyHalf)
	say("half", id)
	time.Sleep(earlyPause)
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		say("cut", id, strconv.FormatInt(n, 10))
		return
	}
	_, _ = io.WriteString(c, earlyHalf)
	say("ran", id)
}

// server is a running backend process.
type server struct {
	p       *platform
	id      string
	service string
	zone    string
	addr    string
	// proxy stands before the backend, if the platform is proxied.
	proxy *proxy
	pid   int
	kill  func()
	done  chan struct{}
	// lines has the lines that the process writes.
	lines chan []string
	stop  chan struct{}
}

// startServer starts a backend and its entry in the store. on is called with each
// line that it writes.
func (p *platform) startServer(id, service, zone string, slots int, work time.Duration, on func(s *server, words []string)) *server {
	s := &server{p: p, id: id, service: service, zone: zone, stop: make(chan struct{})}
	self, err := os.Executable()
	cannotRun(err)
	r, w, err := os.Pipe()
	cannotRun(err)
	c, done := p.runTo(w, nil, self, "backend", "-id", id, "-slots", strconv.Itoa(slots), "-work", work.String())
	_ = w.Close()
	s.pid, s.done, s.kill = c.Process.Pid, done, func() { _ = c.Process.Kill() }
	sc := bufio.NewScanner(r)
	if !sc.Scan() {
		cannotRun(fmt.Errorf("backend %s does not listen", id))
	}
	s.addr = strings.Fields(sc.Text())[1]
	p.log("backend: %s starts at %s, pid %d", id, s.addr, s.pid)
	if p.proxied {
		s.proxy = startProxy(s.addr)
		s.addr = s.proxy.addr
	}
	go func() {
		defer r.Close()
		for sc.Scan() {
			words := strings.Fields(sc.Text())
			p.log("backend: %s %s", id, sc.Text())
			on(s, words)
		}
	}()
	go s.beat(slots)
	return s
}

// beat writes the entry of the backend. The platform removes it after three check-in
// intervals of silence.
func (s *server) beat(slots int) {
	born := time.Now().UnixMilli()
	for n := 1; ; n++ {
		s.p.putEntry(s.id, s.service, s.zone, s.addr, slots, n, born)
		select {
		case <-s.done:
			select {
			case <-time.After(3 * heartbeat):
				s.p.store.remove("servers/" + s.id)
			case <-s.stop:
			}
			return
		case <-time.After(heartbeat):
		}
	}
}
