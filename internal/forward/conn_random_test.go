package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// randomAnswer is what the server knows of a request, and whether its caller has received
// the whole answer.
type randomAnswer struct {
	// written is set once the handler has passed the whole answer on without an error:
	// to the kernel if flushed is set.
	written, flushed bool
	began            time.Time
	// left is set if the caller has not stayed for the answer, received if it got all.
	left, received bool
}

// randomServer serves callers that act at random.
type randomServer struct {
	guard    *Guard
	listener Listener
	server   *http.Server
	addr     string
	ids      atomic.Int64

	mu      sync.Mutex
	answers map[string]*randomAnswer
}

func startRandomServer(t *testing.T, limit int) *randomServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &randomServer{guard: NewGuard(GuardConfig{}), addr: ln.Addr().String(), answers: map[string]*randomAnswer{}}
	s.listener = s.guard.Listener(ln, limit)
	s.server = &http.Server{Handler: s.guard.Handler(http.HandlerFunc(s.answer)), ConnContext: ConnContext, ConnState: ConnState,
		ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = s.server.Serve(s.listener) }() // Ends with Close.
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// answer serves /ID?size=BYTES&ms=TIME&end=KIND.
func (s *randomServer) answer(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	size, _ := strconv.Atoi(q.Get("size"))
	ms, _ := strconv.Atoi(q.Get("ms"))
	a := connOf(r.Context())
	if r.Context().Err() != nil { // As in Engine.Do.
		a.abort()
		panic(http.ErrAbortHandler)
	}
	s.update(r.URL.Path, func(e *randomAnswer) { e.began = time.Now() })
	time.Sleep(time.Duration(ms) * time.Millisecond)
	switch q.Get("end") {
	case "abort":
		a.abort()
		panic(http.ErrAbortHandler)
	case "panic":
		panic("a fault of the handler")
	case "close":
		w.Header().Set("Connection", "close")
	}
	a.beginAnswer(int64(size))
	defer a.endAnswer(int64(size))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, err := io.WriteString(w, strings.Repeat("x", size))
	flushed := q.Get("flush") != ""
	if flushed && err == nil {
		err = http.NewResponseController(w).Flush()
	}
	s.update(r.URL.Path, func(e *randomAnswer) { e.written, e.flushed = err == nil, flushed })
}

func (s *randomServer) update(path string, change func(*randomAnswer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.answers[path]
	if e == nil {
		e = &randomAnswer{}
		s.answers[path] = e
	}
	change(e)
}

// request returns a random request and its path.
func (s *randomServer) request(rnd *rand.Rand) (path, text string) {
	path = fmt.Sprint("/", s.ids.Add(1))
	size := []int{0, 300, 3 << 10, 5 << 10, 30 << 10, 200 << 10}[rnd.IntN(6)]
	end := []string{"close", "close", "abort", "panic", ""}[min(rnd.IntN(16), 4)]
	proto := []string{"1.0", "1.1"}[min(rnd.IntN(10), 1)]
	query := fmt.Sprintf("size=%d&ms=%d&end=%s&flush=%s", size, rnd.IntN(15), end, []string{"", "1"}[rnd.IntN(2)])
	header := []string{"Connection: close\r\n", ""}[min(rnd.IntN(10), 1)]
	return path, fmt.Sprintf("GET %s?%s HTTP/%s\r\nHost: h\r\n%s\r\n", path, query, proto, header)
}

// call acts as a caller on one connection.
func (s *randomServer) call(rnd *rand.Rand) {
	c := dialRandom(s.addr, rnd.IntN(3) == 0)
	if c == nil {
		return // The server has closed its listener.
	}
	defer c.Close()
	in := bufio.NewReaderSize(c, 1<<10)
	for range 1 + rnd.IntN(5) {
		var paths []string
		var all strings.Builder
		for range 1 + rnd.IntN(4) {
			path, text := s.request(rnd)
			paths = append(paths, path)
			all.WriteString(text)
		}
		if rnd.IntN(10) == 0 {
			all.WriteString("GET\r\n\r\n") // Malformed.
		}
		_, _ = io.WriteString(c, all.String()) // An error shows when the answers are read.
		if s.leave(c, rnd, paths) {
			return
		}
		slow := rnd.IntN(4) == 0
		for _, path := range paths {
			if slow {
				time.Sleep(time.Duration(rnd.IntN(30)) * time.Millisecond)
			}
			if rnd.IntN(4) == 0 {
				_, _ = io.WriteString(c, oneRequest[:1+rnd.IntN(len(oneRequest)-1)]) // A request is on its way.
			}
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				return
			}
			n, err := io.Copy(io.Discard, resp.Body)
			if err != nil || n != resp.ContentLength {
				return
			}
			if resp.StatusCode == http.StatusOK {
				s.update(path, func(e *randomAnswer) { e.received = true })
			}
		}
	}
	s.stay(c, rnd)
}

// dialRandom opens a connection, or returns nil.
func dialRandom(addr string, smallBuffer bool) net.Conn {
	d := net.Dialer{Timeout: 2 * time.Second}
	if smallBuffer {
		d.Control = smallReceiveBuffer
	}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return nil
	}
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	return c
}

// leave makes some callers reset the connection or close a side of it, before they have
// got their answers.
func (s *randomServer) leave(c net.Conn, rnd *rand.Rand, paths []string) bool {
	how := rnd.IntN(12)
	if how > 1 {
		return false
	}
	for _, path := range paths {
		s.update(path, func(e *randomAnswer) { e.left = true })
	}
	time.Sleep(time.Duration(rnd.IntN(10)) * time.Millisecond)
	tcp := c.(*net.TCPConn)
	if how == 0 {
		_ = tcp.SetLinger(0) // A reset.
		return true
	}
	_ = tcp.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
	return true
}

// stay keeps some connections open after the last answer, and goes on sending on some.
func (s *randomServer) stay(c net.Conn, rnd *rand.Rand) {
	switch rnd.IntN(4) {
	case 0:
		time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
	case 1:
		for range rnd.IntN(300) {
			if _, err := io.WriteString(c, strings.Repeat("GET / ", 100)); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// Guards against answers that are lost with their connections, charges and connections
// that stay, and a server that blocks, whatever callers, the limit and the end of the
// server do at the same time.
func TestRandomCallers(t *testing.T) {
	const seeds = 12
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandomCallers(t, seed)
		})
	}
}

func runRandomCallers(t *testing.T, seed uint64) {
	const callers = 60
	rnd := rand.New(rand.NewPCG(seed, 1))
	s := startRandomServer(t, []int{0, 0, 6}[rnd.IntN(3)])
	var running sync.WaitGroup
	for i := range uint64(callers) {
		running.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, i+2))
			time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
			s.call(rnd)
		})
	}
	time.Sleep(time.Duration(100+rnd.IntN(300)) * time.Millisecond)
	graceful, stopped := rnd.IntN(3) > 0, time.Now()
	if graceful {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		_ = s.server.Shutdown(ctx) // Some callers stay for longer.
		cancel()
	}
	_ = s.server.Close()
	running.Wait()
	for end := time.Now().Add(3 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		stats, owing := s.guard.Stats(), s.listener.Owing()
		if stats.Used == 0 && stats.Large == 0 && stats.Connections == 0 && owing == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("after all connections have ended: %d owe answers, %+v", owing, stats)
		}
	}
	s.check(t, graceful, stopped)
}

// check reports the answers that were written and not received by callers that stayed.
// The guard may close the connections of callers that stall, which these do not.
func (s *randomServer) check(t *testing.T, graceful bool, stopped time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	received := 0
	for path, e := range s.answers {
		if e.received {
			received++
		}
		kept := e.flushed || graceful && e.began.Before(stopped)
		if e.received || e.left || !e.written || !kept {
			continue
		}
		t.Errorf("%s: the answer was written and not received (flushed: %v)", path, e.flushed)
	}
	if received == 0 {
		t.Error("no answer was received")
	}
	t.Logf("%d requests, %d answers received, graceful: %v, %v", len(s.answers), received, graceful, s.guard.Stats().Reasons)
}
