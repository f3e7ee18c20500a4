package proctest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// stopGrace and stopServiceTime are the grace period and the longest mean service
	// time of a deployment with pipelining callers.
	stopGrace, stopServiceTime = 6 * time.Second, 600 * time.Millisecond
	// stopResponse exceeds the receive buffer of a slow caller and fits into the
	// kernel's buffer of a connection.
	stopResponse = 150 << 10
)

// Guards against answers that are lost in a planned stop: the process closes a
// connection behind its last answer, a request that the caller had sent ahead arrives
// there, and the kernel resets the connection with a part of the answer unsent.
func TestStoppingProcessDeliversAnswersToPipeliningCallers(t *testing.T) {
	stopWithPipeliningCallers(t, stopGrace, 100*time.Millisecond)
}

// Guards against a process that ends while callers still read its last answers: a request
// that a caller had sent ahead arrives when the process is gone, and the rest of the
// answer is lost.
func TestProcessOutlivesItsLastAnswers(t *testing.T) {
	const grace = 10 * time.Second
	stopWithPipeliningCallers(t, grace, lookupsKept-stopServiceTime/2)
}

// lookupsKept is how long a process waits for callers with an old lookup.
const lookupsKept = 4500 * time.Millisecond

// stopWithPipeliningCallers stops a process whose callers send requests at the given time
// after the signal, and checks their answers.
func stopWithPipeliningCallers(t *testing.T, grace, after time.Duration) {
	s := startServeWith(t, serveConfig{memoryMB: 206, maxFiles: 2870, grace: grace, serviceTime: stopServiceTime, responseBytes: stopResponse})
	const callers = 10
	var wg, kept sync.WaitGroup
	stopping := make(chan struct{})
	errs := make([]error, callers)
	for i := range callers {
		kept.Add(1)
		wg.Go(func() { errs[i] = pipelineSlowly(s.requests, i, kept.Done, stopping) })
	}
	kept.Wait()
	_ = s.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(after)
	close(stopping)
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			t.Errorf("caller %d: %v", i, err)
		}
	}
	err := <-s.exited
	s.exited <- err
	if err != nil {
		t.Errorf("the process has not stopped in time: %v", err)
	}
}

// pipelineSlowly opens a connection with a first request and calls kept. Once the process
// is stopping, it sends a second one and, after that has been answered, a third one, before
// it reads the answer to the second one in small pieces. It returns an error unless that is
// complete. The third one may be unanswered if the second answer closes the connection.
func pipelineSlowly(addr string, caller int, kept func(), stopping <-chan struct{}) error {
	c := dialSlow(addr)
	if c == nil {
		kept()
		return fmt.Errorf("not connected")
	}
	defer c.Close()
	request := func(n int) string {
		return fmt.Sprintf("GET /safe/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: p%d-%d\r\nX-Deadline-Ms: 4000\r\n\r\n", serveHost, caller, n)
	}
	in := bufio.NewReader(slowReader{c, 4 << 10, 5 * time.Millisecond})
	write(c, request(0))
	err := readWhole(in)
	kept()
	if err != nil {
		return err
	}
	<-stopping
	write(c, request(1))
	time.Sleep(stopServiceTime + 600*time.Millisecond)
	write(c, request(2))
	return readWhole(in)
}

// readWhole reads an answer. It returns an error unless it is complete and a success.
func readWhole(in *bufio.Reader) error {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return fmt.Errorf("no answer: %w", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("status %d, %d bytes of %d: %w", resp.StatusCode, len(body), resp.ContentLength, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return nil
}

// slowReader reads at most size bytes at a time, with a pause before each.
type slowReader struct {
	net.Conn
	size  int
	pause time.Duration
}

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(r.pause)
	return r.Conn.Read(p[:min(len(p), r.size)])
}
