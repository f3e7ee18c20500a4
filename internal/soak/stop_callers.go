package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"jujubestile.example/jujubestile/platform/standin"
)

// StopRequest is a request of a caller that uses its connections until the process is
// gone.
type StopRequest struct {
	// Request is the request: Sent is when its last byte was sent, or zero, and Ended
	// when its answer was complete or its connection ended.
	Request
	Kind  string
	Begun time.Time
	// Deadline is the caller's, Limit the shorter one of that and the route's timeout,
	// and Work the service time.
	Deadline, Limit, Work time.Duration
	// Conn is the number of the connection, Bytes the size of the answer.
	Conn, Bytes int
	// Behind means that the caller had not received the answer to an earlier request
	// of the connection when it began to send.
	Behind bool
	// Left means that the caller closed its connection, or its half of it.
	Left bool
	// Signed means that the answer is an endpoint's, Whole that its body is what the
	// endpoint sends, and Closing that it closes the connection. Received counts the
	// bytes of its body.
	Signed, Whole, Closing bool
	Received               int

	// begun is closed when the request is about to be sent, answering when its answer
	// begins or fails.
	begun, answering chan struct{}
}

// stopRoutes are the routes of the callers. The timeout of the first one depends on the
// version of the desired state and is longer than the callers' deadlines.
func stopRoutes(version int) []standin.Route {
	route := func(name string, timeout time.Duration, repeatable bool) standin.Route {
		return standin.Route{Name: name, Host: host, Prefix: "/" + name + "/", Repeatable: repeatable, Service: "s", Timeout: timeout, Target: time.Second}
	}
	return []standin.Route{route("safe", time.Duration(5+version%3)*time.Second, true), route("pay", 5*time.Second, false),
		route("short", shortTimeout, true), route("long", 12*time.Second, true), route(fmt.Sprint("only-", version), 5*time.Second, true)}
}

const (
	shortTimeout = 1200 * time.Millisecond
	// maxDeadline bounds the deadlines of callers but those of long requests.
	maxDeadline  = 4 * time.Second
	longDeadline = 9 * time.Second
	uploadBytes  = 60 << 10
	uploadPiece  = 5 << 10
	// givesUpAfter is how long after its deadline a caller closes its connection.
	givesUpAfter = time.Second
)

// stopCallers are the callers of a run of planned stops.
type stopCallers struct {
	cluster  *Cluster
	mu       sync.Mutex
	lastID   int
	lastConn int
	requests []*StopRequest
}

func (s *stopCallers) locked(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
}

// stopCaller is one caller.
type stopCaller struct {
	*stopCallers
	kind string
	rnd  *rand.Rand
}

// callerKinds are the kinds of callers. Each one that pipelines sends repeatable
// requests only.
var callerKinds = []string{"pooled", "pooled", "pipelining", "late", "late", "slow", "slow late", "halves", "upload", "closing", "leaving"}

// Run sends requests from n callers of each kind until the context ends.
func (s *stopCallers) Run(ctx context.Context, n int, seed uint64) {
	var group sync.WaitGroup
	for i := range n * len(callerKinds) {
		c := &stopCaller{s, callerKinds[i%len(callerKinds)], rand.New(rand.NewPCG(seed, 1000+uint64(i)))}
		group.Go(func() {
			for c.pause(300); ctx.Err() == nil; c.pause(100) {
				in := s.cluster.Instances[c.rnd.IntN(len(s.cluster.Instances))]
				if c.kind == "pooled" {
					c.usePool(ctx, in)
				} else {
					c.useConnection(ctx, in)
				}
			}
		})
	}
	group.Wait()
}

func (c *stopCaller) pause(maxMS int) {
	time.Sleep(time.Duration(1+c.rnd.IntN(maxMS)) * time.Millisecond)
}

// linkDelay draws the delay of a link, or 0 for none.
func (c *stopCaller) linkDelay() time.Duration {
	return time.Duration(max(0, c.rnd.IntN(55)-33)) * time.Millisecond
}

// dial connects to the latest process of an instance. buffer is the size of the receive
// buffer, or 0 for the kernel's choice. It fails if the process is replaced meanwhile.
func (s *stopCallers) dial(in *Instance, buffer int, delay time.Duration) (*stopConn, error) {
	before, _, _ := in.state()
	c, err := dialBuffered(in.entry, buffer, delay)
	if err != nil {
		return nil, err
	}
	if after, _, _ := in.state(); after != before {
		_ = c.Close()
		return nil, errors.New("the process has been replaced")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastConn++
	return &stopConn{TCPConn: c, number: s.lastConn, in: in, incarnation: before}, nil
}

// newRequest draws a request. Requests that are pipelined are repeatable.
func (c *stopCaller) newRequest(pipelined bool) *StopRequest {
	r := &StopRequest{Kind: c.kind, begun: make(chan struct{}), answering: make(chan struct{})}
	c.locked(func() { c.lastID++; r.ID = fmt.Sprint("s", c.lastID) })
	ms := func(from, to int) time.Duration { return time.Duration(from+c.rnd.IntN(to-from)) * time.Millisecond }
	r.Work, r.Deadline, r.Bytes = ms(300, 900), ms(2500, int(maxDeadline.Milliseconds())), 5<<10+c.rnd.IntN(25<<10)
	const tail, tailFactor = 3, 7
	if c.rnd.IntN(100) < tail {
		r.Work *= tailFactor
	}
	slow := strings.HasPrefix(c.kind, "slow")
	if slow || c.rnd.IntN(5) == 0 {
		r.Bytes = 5<<10 + c.rnd.IntN(145<<10)
	}
	route, timeout := "safe", longDeadline
	switch n := c.rnd.IntN(20); {
	case c.kind == "upload" || !pipelined && n >= 12:
		route, r.Unsafe = "pay", true
	case n < 2:
		route, timeout = "short", shortTimeout
	case n < 4 && (slow || !pipelined):
		route, r.Work, r.Deadline = "long", ms(1500, int(c.cluster.grace.Milliseconds())*5/6), longDeadline
	case n < 5:
		c.cluster.mu.Lock()
		route = fmt.Sprint("only-", c.cluster.version)
		c.cluster.mu.Unlock()
	}
	r.Limit = min(r.Deadline, timeout)
	r.Path = fmt.Sprintf("/%s/x?work=%d&bytes=%d", route, r.Work.Milliseconds(), r.Bytes)
	return r
}

// stopWork returns what a request asks of an endpoint.
func stopWork(r *http.Request) (time.Duration, int) {
	var ms, n int
	_, _ = fmt.Sscanf(r.URL.RawQuery, "work=%d&bytes=%d", &ms, &n) // Others are answered at once.
	return time.Duration(ms) * time.Millisecond, n
}

// text returns the head of the request and its body.
func (r *StopRequest) text() (head, body string) {
	method, connection := "GET", "keep-alive"
	if r.Unsafe {
		method, body = "POST", "body of "+r.ID
	}
	if r.Kind == "upload" {
		body = strings.Repeat("x", uploadBytes)
	}
	if r.Kind == "closing" {
		connection = "close"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n",
		method, r.Path, host, r.ID, r.Deadline.Milliseconds(), connection, len(body)), body
}

// record records that a request is about to be sent. It returns false if the
// connection has ended.
func (s *stopCallers) record(r *StopRequest, c *stopConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.Ended.IsZero() {
		return false
	}
	if r.Conn == 0 {
		s.requests = append(s.requests, r)
	}
	r.Conn, r.Instance, r.Incarnation, r.Begun = c.number, c.in, c.incarnation, time.Now()
	return true
}

// usePool sends some requests with net/http's pool of connections to an instance.
func (c *stopCaller) usePool(ctx context.Context, in *Instance) {
	delay := c.linkDelay()
	t := &http.Transport{MaxIdleConnsPerHost: 4, DialContext: func(context.Context, string, string) (net.Conn, error) {
		return c.dial(in, 0, delay)
	}}
	defer t.CloseIdleConnections()
	var group sync.WaitGroup
	for n := 1 + c.rnd.IntN(12); n > 0 && ctx.Err() == nil; n-- {
		r := c.newRequest(false)
		done := make(chan struct{})
		group.Go(func() { defer close(done); c.roundTrip(t, r) })
		if c.rnd.IntN(4) > 0 {
			<-done
		}
		c.pause(600)
	}
	group.Wait()
}

// poolName stands for the address of an instance: the pool's dial function knows it.
const poolName = "instance:80"

func (c *stopCaller) roundTrip(t *http.Transport, r *StopRequest) {
	req := standin.NewRequest(map[bool]string{true: "POST", false: "GET"}[r.Unsafe], poolName, host, r.Path, r.ID, "", r.Deadline)
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline+givesUpAfter)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { c.record(r, i.Conn.(*stopConn)) },
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if i.Err == nil {
				c.locked(func() { r.Sent = time.Now() })
			}
		},
	})
	resp, err := t.RoundTrip(req.WithContext(ctx))
	r.finish(c.stopCallers, resp, err)
}

// finish reads and records the answer, or how it failed. It reports whether the
// connection can be used for the next one.
func (r *StopRequest) finish(s *stopCallers, resp *http.Response, err error) bool {
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Ended, r.Err, r.Received = time.Now(), err, len(body)
	if resp != nil {
		r.Closing = resp.Close
	}
	if err != nil {
		return false
	}
	r.Status, r.Signed = resp.StatusCode, standin.Signed(resp.Header)
	r.Whole = len(body) == r.Bytes && strings.HasPrefix(string(body), "answer to "+r.ID+" by ")
	return !resp.Close
}

// useConnection sends some requests on a connection to an instance. It closes the
// connection when an answer says so, and when the context has ended.
func (c *stopCaller) useConnection(ctx context.Context, in *Instance) {
	buffer, slow := 0, strings.HasPrefix(c.kind, "slow")
	if slow {
		buffer = smallBuffer
	}
	conn, err := c.dial(in, buffer, c.linkDelay())
	if err != nil {
		return // No process is listening.
	}
	defer conn.Close()
	if slow {
		conn.readSize, conn.readPause = 2<<10+c.rnd.IntN(8<<10), time.Duration(2+c.rnd.IntN(8))*time.Millisecond
	}
	c.pause([]int{10, 4000}[c.rnd.IntN(2)])
	pipelines := c.kind == "pipelining" || c.kind == "late" || slow
	answers := bufio.NewReader(conn)
	for batches := 1 + c.rnd.IntN(6); batches > 0 && ctx.Err() == nil; batches-- {
		n := 1
		if pipelines {
			n = 2 + c.rnd.IntN(5)
		}
		batch := make([]*StopRequest, n)
		for i := range batch {
			batch[i] = c.newRequest(pipelines)
		}
		over, sent := make(chan struct{}), make(chan struct{})
		go func() { defer close(sent); c.sendBatch(conn, batch, over) }()
		usable := c.readBatch(conn, answers, batch, sent)
		close(over)
		if !usable {
			if c.rnd.IntN(4) == 0 {
				c.pause(2000) // Some callers hold on to a connection that has ended.
			}
			_ = conn.Close()
			<-sent
			return
		}
		<-sent
		c.pause([]int{100, 1500}[c.rnd.IntN(2)])
	}
}

// sendBatch sends the requests one behind the other, all at once or some of them late:
// when the answer to the one before arrives, or when it is due. It stops when the
// answers have ended.
func (c *stopCaller) sendBatch(conn *stopConn, batch []*StopRequest, over <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(uint64(conn.number), 1)) // readBatch uses the other one at the same time.
	for i, x := range batch {
		if i > 0 {
			prev := batch[i-1]
			late := time.After(0)
			if strings.HasSuffix(c.kind, "late") && rnd.IntN(3) > 0 {
				spread := []int{80, 80, 1500}[rnd.IntN(3)]
				late = time.After(time.Until(prev.Begun.Add(prev.Work + time.Duration(rnd.IntN(spread)-20)*time.Millisecond)))
				if rnd.IntN(2) == 0 {
					late = nil
				}
			}
			select {
			case <-late:
			case <-prev.answering:
			case <-over:
				return
			}
		}
		if !c.record(x, conn) {
			return
		}
		c.locked(func() { x.Behind = i > 0 && batch[i-1].Ended.IsZero() })
		close(x.begun)
		if !c.sendOne(conn, x, rnd) {
			return
		}
	}
}

// sendOne sends a request as callers of its kind do.
func (c *stopCaller) sendOne(conn *stopConn, x *StopRequest, rnd *rand.Rand) bool {
	head, body := x.text()
	pieces, pause := []string{head + body}, time.Duration(0)
	switch c.kind {
	case "halves":
		all := head + body
		half := 1 + rnd.IntN(len(all)-1)
		pieces, pause = []string{all[:half], all[half:]}, time.Duration(rnd.IntN(1500))*time.Millisecond
	case "upload":
		pieces, pause = []string{head}, time.Duration(5+rnd.IntN(100))*time.Millisecond
		for piece := range slices.Chunk([]byte(body), uploadPiece) {
			pieces = append(pieces, string(piece))
		}
	}
	for i, p := range pieces {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(conn, p); err != nil {
			return false
		}
	}
	c.locked(func() { x.Sent = time.Now() })
	if c.kind == "leaving" && rnd.IntN(2) == 0 {
		time.Sleep(time.Duration(rnd.IntN(800)) * time.Millisecond)
		c.locked(func() { x.Left = x.Ended.IsZero() })
		if rnd.IntN(2) == 0 {
			_ = conn.CloseWrite()
		} else {
			_ = conn.Close()
		}
	}
	return true
}

// readBatch reads the answers in turn. It reports whether the connection can be used
// again.
func (c *stopCaller) readBatch(conn *stopConn, in *bufio.Reader, batch []*StopRequest, sent <-chan struct{}) bool {
	for i, x := range batch {
		select {
		case <-x.begun:
		case <-sent: // All of them, or the connection is broken.
		}
		if strings.HasSuffix(c.kind, "late") && c.rnd.IntN(2) == 0 {
			// The next request is sent behind this answer before any of it is read.
			idle := []time.Duration{x.Work + 100*time.Millisecond, min(x.Limit, maxDeadline) * 7 / 10}[c.rnd.IntN(2)]
			for due := x.Begun.Add(idle); time.Now().Before(due) && !conn.ended(); {
				time.Sleep(5 * time.Millisecond)
			}
		}
		_ = conn.SetReadDeadline(x.Begun.Add(x.Deadline + givesUpAfter)) // An error shows when reading.
		_, err := in.Peek(1)
		close(x.answering)
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(in, nil)
		}
		if !x.finish(c.stopCallers, resp, err) {
			c.locked(func() {
				for _, rest := range batch[i+1:] {
					rest.Ended, rest.Err, rest.Behind = time.Now(), x.Err, true
					rest.Left = errors.Is(x.Err, os.ErrDeadlineExceeded)
				}
			})
			return false
		}
	}
	return true
}
