package forward

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jujubestile.example/jujubestile/internal/model"
)

// Metrics counts requests and measures their latency, by rank.
type Metrics struct {
	// Requests counts ended requests by rank, outcome and reason.
	Requests expvar.Map

	mu      sync.Mutex
	latency map[int]*hdrhistogram.Histogram
}

const (
	// Latencies are recorded from 1 ms to 60 s with two significant digits.
	lowestLatency, highestLatency = 1, 60_000
	latencyDigits                 = 2
)

func newMetrics() *Metrics {
	m := &Metrics{latency: map[int]*hdrhistogram.Histogram{}}
	m.Requests.Init()
	return m
}

func (m *Metrics) finished(req *Request, a Answer, took time.Duration) {
	rank := -1
	if req.Route != nil {
		rank = req.Rank()
	}
	outcome := string(a.Outcome)
	if a.CallerGone {
		outcome = "caller-gone"
	}
	m.Requests.Add("rank="+strconv.Itoa(rank)+" outcome="+outcome+" reason="+a.Reason, 1)
	if a.Outcome != model.OutcomeAnswered {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	hist := m.latency[rank]
	if hist == nil {
		hist = hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
		m.latency[rank] = hist
	}
	_ = hist.RecordValue(min(max(took.Milliseconds(), lowestLatency), highestLatency)) // The value is within the histogram's range.
}

// Latency summarizes the latency of a rank's answered requests, in
// milliseconds.
type Latency struct {
	Count              int64
	P50, P90, P99, Max int64
}

// Latencies returns the summaries by rank.
func (m *Metrics) Latencies() map[string]Latency {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]Latency{}
	for rank, h := range m.latency {
		out["rank="+strconv.Itoa(rank)] = Latency{Count: h.TotalCount(), P50: h.ValueAtQuantile(50),
			P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99), Max: h.Max()}
	}
	return out
}
