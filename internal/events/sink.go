package events

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sinkLines is the largest number of buffered lines, about 200 KB.
	sinkLines = 512
	// dropReportInterval is the shortest time between two reports of dropped
	// lines.
	dropReportInterval = time.Second
)

// Sink is a buffered writer that never blocks. A goroutine writes the buffered
// lines to the output; while the buffer is full, lines are dropped and counted.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	// closing is closed by Close, done once the buffered lines have been written.
	closing, done chan struct{}
	once          sync.Once
}

// NewSink returns a sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, sinkLines), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It copies p.
func (s *Sink) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
		s.total.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines have been dropped in total.
func (s *Sink) Dropped() int64 { return s.total.Load() }

// Close writes the buffered lines. It returns after the timeout even if some are
// left. Lines of requests that end later are dropped.
func (s *Sink) Close(timeout time.Duration) {
	s.once.Do(func() { close(s.closing) })
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	reported := time.Now()
	for {
		line, ok := s.next()
		if !ok {
			return
		}
		// A write error cannot be logged, because the log itself has failed.
		_, _ = s.out.Write(line)
		if s.dropped.Load() > 0 && time.Since(reported) > dropReportInterval {
			reported = time.Now()
			n := s.dropped.Swap(0)
			_, _ = fmt.Fprintf(s.out, `{"event":%d,"message":%q,"level":"warn","dropped":%d}`+"\n",
				LinesDropped.Number, LinesDropped.Text, n)
		}
	}
}

// next waits for a line. It returns false once the sink is closing and no line is left.
func (s *Sink) next() ([]byte, bool) {
	select {
	case line := <-s.lines:
		return line, true
	case <-s.closing:
	}
	select {
	case line := <-s.lines:
		return line, true
	default:
		return nil, false
	}
}

// Limiter limits the rate of log lines of one kind. It is safe for concurrent
// use.
type Limiter struct {
	// PerSecond is the largest number of lines per second.
	PerSecond int

	mu         sync.Mutex
	second     time.Time
	n          int
	suppressed int
}

// Allow reports whether a line may be written. If so, it also returns how many
// lines have been suppressed since the last one that was allowed.
func (l *Limiter) Allow(now time.Time) (bool, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second, l.n = now, 0
	}
	if l.n >= l.PerSecond {
		l.suppressed++
		return false, 0
	}
	l.n++
	s := l.suppressed
	l.suppressed = 0
	return true, s
}
