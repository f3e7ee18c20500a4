//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host = "h.example"
	// headerBytes and bodyBytes are the limits of the desired state, as in the site files.
	headerBytes, bodyBytes = 16 << 10, 64 << 20
	// caseTime bounds the time for which a case sends requests.
	caseTime = 60 * time.Second
	// restartDelay is the platform's delay before it starts a process again.
	restartDelay = 500 * time.Millisecond
	// endsToBreak is how often the processes of each machine have to end by themselves
	// for the rule on faults to be broken.
	endsToBreak = 3
)

// supervisor plays the platform for one instance: it starts a process that has ended
// again, and kills one that exceeds the memory of its machine.
type supervisor struct {
	stage    *stage
	in       *instance
	memoryMB int
	// ends counts the processes that ended by themselves, over those among them that
	// were killed for their memory, and most is the largest resident memory seen.
	ends, over, most atomic.Int64
}

// run supervises until stop is closed.
func (v *supervisor) run(stop <-chan struct{}) {
	rec := v.stage.rec
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if v.in.running() {
			mb := int64(v.in.residentMB())
			v.most.Store(max(v.most.Load(), mb))
			if v.memoryMB == 0 || mb <= int64(v.memoryMB) {
				continue
			}
			rec.printf("%s: %d MB resident, more than the %d MB of its machine; the platform kills it", v.in.name, mb, v.memoryMB)
			v.over.Add(1)
			v.in.kill()
		} else {
			rec.printf("%s: its process has ended by itself: %v", v.in.name, v.in.exitError())
			for _, line := range v.in.lastWords() {
				rec.printf("%s:   %s", v.in.name, line)
			}
		}
		v.ends.Add(1)
		time.Sleep(restartDelay)
		select {
		case <-stop:
			return
		default:
		}
		if err := v.stage.start(v.in); err != nil {
			rec.printf("%s: %v", v.in.name, err)
			return
		}
	}
}

var crashLine = regexp.MustCompile(`^(panic: |\s*fatal error: |jujubestile\.example/.*\(|\s+\S*/(internal|platform)/\S+:\d+)`)

// lastWords returns the lines of the log that say why the last process has crashed.
func (in *instance) lastWords() []string {
	b, err := os.ReadFile(in.log.Name())
	if err != nil {
		return nil
	}
	text := string(b)
	i := strings.LastIndex(text, "panic: ")
	if i < 0 {
		return nil
	}
	var out []string
	for line := range strings.SplitSeq(text[i:], "\n") {
		if crashLine.MatchString(line) && len(out) < 14 {
			if k := strings.Index(line, "/internal/"); k >= 0 && strings.HasPrefix(line, "\t") {
				line = "  ..." + line[k:]
			}
			out = append(out, line)
		}
	}
	return out
}

// tally counts what the callers of a case have seen.
type tally struct{ sent, answered, refused, unavailable, cut, left atomic.Int64 }

func (t *tally) String() string {
	return fmt.Sprintf("sent %d, answered %d, refused with 503 %d, no connection %d, cut or given up %d, left early %d", t.sent.Load(), t.answered.Load(),
		t.refused.Load(), t.unavailable.Load(), t.cut.Load(), t.left.Load())
}

// call sends a request in two parts on a new connection and waits for the answer until
// the deadline. It returns how long the instance asks it to wait.
func (t *tally) call(addr, first string, pause time.Duration, second string, wait time.Duration) time.Duration {
	end := time.Now().Add(wait)
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		t.unavailable.Add(1)
		return 100 * time.Millisecond
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	t.sent.Add(1)
	if pause == 0 {
		first, second = first+second, ""
	}
	_, err = io.WriteString(conn, first)
	if err == nil && second != "" {
		time.Sleep(pause)
		_, err = io.WriteString(conn, second)
	}
	if err != nil {
		t.cut.Add(1)
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	switch {
	case err != nil:
		t.cut.Add(1)
	case resp.StatusCode == http.StatusOK:
		t.answered.Add(1)
	default:
		t.refused.Add(1)
		after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return time.Duration(after * float64(time.Second))
	}
	return 0
}

// startMachines starts machines of one failure domain and their supervisors, and waits
// until the machines are ready.
func (s *stage) startMachines(n int, m machine, bounds map[string]any, memoryMB int) ([]*supervisor, error) {
	var out []*supervisor
	for i := range n {
		in, err := s.add(fmt.Sprintf("edge-%d", i+1), "lag", "lag-ikeja", map[string]string{"lag-ikeja": "lag"}, m, bounds)
		if err != nil {
			return nil, err
		}
		if err := s.start(in); err != nil {
			return nil, err
		}
		out = append(out, &supervisor{stage: s, in: in, memoryMB: memoryMB})
	}
	for _, v := range out {
		if err := v.in.awaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// awaitEnds waits until the processes of all machines have ended by themselves often
// enough to break the rule on faults and done reports true, or until the time is over. It
// reports whether that rule is broken.
func (s *stage) awaitEnds(supervisors []*supervisor, crowd, ordinary *tally, done func() bool) bool {
	const step = time.Second
	for end := time.Now().Add(caseTime); time.Now().Before(end); time.Sleep(step) {
		enough := true
		for _, v := range supervisors {
			enough = enough && v.ends.Load() >= endsToBreak
		}
		if enough && done() {
			break
		}
	}
	broken := true
	for _, v := range supervisors {
		s.rec.printf("%s: its processes ended by themselves %d times (%d of them for their memory), at most %d MB resident", v.in.name,
			v.ends.Load(), v.over.Load(), v.most.Load())
		broken = broken && v.ends.Load() >= endsToBreak
	}
	s.rec.printf("crowd: %s", crowd)
	s.rec.printf("ordinary callers: %s", ordinary)
	return broken
}

// leaveAfter sends a request on a new connection and closes it after a time.
func (t *tally) leaveAfter(addr, request string, stay time.Duration) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		t.unavailable.Add(1)
		time.Sleep(stay)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(stay))
	t.sent.Add(1)
	_, _ = io.WriteString(conn, request)
	time.Sleep(stay)
	t.left.Add(1)
}
