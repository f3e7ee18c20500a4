package exchange_test

import (
	"bufio"
	"fmt"
	"net"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/platform/standin"
)

const (
	// machineMemory is the memory of the smallest machine in bytes, and
	// softLimit the memory limit of the Go runtime there.
	machineMemory = 136 << 20
	softLimit     = machineMemory * 7 / 10
	// endlessConns is the number of concurrent exchanges with failing
	// endpoints.
	endlessConns = 96
)

// peakMemory samples the memory of the process until stop is called, which
// returns the highest value in bytes.
func peakMemory() (stop func() uint64) {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	done, peak := make(chan struct{}), make(chan uint64)
	go func() {
		most := uint64(0)
		for {
			metrics.Read(samples)
			most = max(most, samples[0].Value.Uint64()-samples[1].Value.Uint64())
			select {
			case <-done:
				peak <- most
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() uint64 { close(done); return <-peak }
}

// TestMemoryOfEndlessResponses guards against a process that exceeds the memory
// of a small machine while endpoints send bytes without end, and against
// failures of sound responses meanwhile.
func TestMemoryOfEndlessResponses(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(softLimit))
	for name, s := range map[string]standin.Stream{
		"declared length":  {Head: okHead + "Content-Length: 8000000\r\n\r\n", Repeat: "a", Pause: 5 * time.Millisecond},
		"large body, slow": {Head: okHead + "\r\n", Repeat: "a", Burst: 7 << 20, Pause: 5 * time.Millisecond},
		"body":             {Head: okHead + "\r\n", Repeat: "a"},
		"small fields":     {Head: okHead, Repeat: "A:b\r\n"},
		"fields, slow":     {Head: okHead, Repeat: "A:b\r\n", Burst: 30 << 10, Pause: 5 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			debug.FreeOSMemory()
			e, to := startEndless(t, s)
			sound, _ := serveScript(t, func(c net.Conn, br *bufio.Reader) {
				for r := readRequest(br); r != nil; r = readRequest(br) {
					body := strings.Repeat("b", 30_000)
					fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", strings.Replace(okHead, "$ID", r.Header.Get("Request-Id"), 1), len(body), body)
				}
			})
			client := newEndlessClient()
			sound.ID = "sound"
			t.Cleanup(func() { client.Drop(sound.ID) })
			stop := peakMemory()
			var wg sync.WaitGroup
			for range endlessConns {
				wg.Go(func() { doEndless(client, to, "GET", endlessTimeout) })
			}
			slowest := time.Duration(0)
			for i := range 50 {
				start := time.Now()
				if res := do(t, client, sound, fmt.Sprint("s", i)); res.Outcome != exchange.Answered || len(res.Body) != 30_000 {
					t.Errorf("sound response: %s, %v", res.Outcome, res.Err)
				}
				slowest = max(slowest, time.Since(start))
			}
			wg.Wait()
			peak := stop()
			t.Logf("peak %d MB, slowest sound response %s", peak>>20, slowest)
			if peak > machineMemory || slowest > endlessTimeout+pauseSlack {
				t.Errorf("peak %d MB, slowest sound response %s", peak>>20, slowest)
			}
			closed(t, e)
		})
	}
}

// TestLargestResponses guards against rejecting responses of the largest size.
func TestLargestResponses(t *testing.T) {
	const largest = 8 << 20
	for _, size := range []int{largest, largest + 1} {
		for _, head := range []string{
			fmt.Sprintf("X-A: %s\r\nContent-Length: %d\r\n\r\n", strings.Repeat("a", 31<<10), size),
			fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size), "\r\n",
		} {
			to, client := serveScript(t, func(c net.Conn, br *bufio.Reader) {
				readRequest(br)
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n", head, strings.Repeat("a", size))
				if strings.Contains(head, "chunked") {
					fmt.Fprint(c, "\r\n0\r\n\r\n")
				}
			})
			res := do(t, client, to, "r1")
			if answered := res.Outcome == exchange.Answered && len(res.Body) == size; answered != (size == largest) {
				t.Errorf("body of %d bytes after %.30q: %s, %d bytes, %v", size, head, res.Outcome, len(res.Body), res.Err)
			}
		}
	}
}
