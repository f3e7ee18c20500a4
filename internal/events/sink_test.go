package events

import (
	"bytes"
	"sync"
	"testing"
	"time"
)

// Guards against a process that crashes when it stops, because a request that the stop has
// cut logs its end after the log is closed, and against last lines that are lost.
func TestSinkIsClosedWhileLinesAreWritten(t *testing.T) {
	const writers, lines = 4, 50
	var out bytes.Buffer
	s := NewSink(&out)
	for range lines {
		_, _ = s.Write([]byte("a\n"))
	}
	var wg sync.WaitGroup
	end := make(chan struct{})
	for range writers {
		wg.Go(func() {
			for {
				select {
				case <-end:
					return
				default:
					_, _ = s.Write([]byte("b\n"))
				}
			}
		})
	}
	s.Close(time.Second)
	time.Sleep(10 * time.Millisecond)
	close(end)
	wg.Wait()
	if n := bytes.Count(out.Bytes(), []byte("a\n")); n != lines {
		t.Errorf("%d lines of %d that were written before the end", n, lines)
	}
}
