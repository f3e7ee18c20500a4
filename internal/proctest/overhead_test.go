package proctest

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"
)

// overheadRequests is the number of requests that are timed on each path.
const overheadRequests = 3000

// BenchmarkEntryOverhead compares the latency of requests sent directly to an
// endpoint with that of requests through an instance, one at a time over a
// keep-alive connection.
func BenchmarkEntryOverhead(b *testing.B) {
	f := newFleet(b, fleetConfig{instances: 1, endpoints: 3, serviceTime: 0})
	f.awaitReady(f.instances...)
	entryURL := "http://" + f.instances[0].entryAddr + "/v1/services/entries/x"
	eventually(b, 15*time.Second, "response", func() bool { return get(b, entryURL) != "" })
	directURL := "http://" + f.endpoints[0].Addr().String() + "/x"
	for b.Loop() {
		direct, entry := latencies(b, directURL), latencies(b, entryURL)
		for _, q := range []struct {
			name string
			at   float64
		}{{"p50", 0.50}, {"p99", 0.99}} {
			i := int(q.at * overheadRequests)
			b.ReportMetric(float64((entry[i] - direct[i]).Microseconds()), q.name+"-added-us")
		}
	}
}

func latencies(b *testing.B, url string) []time.Duration {
	b.Helper()
	c := http.Client{Timeout: 5 * time.Second}
	defer c.CloseIdleConnections()
	out := make([]time.Duration, overheadRequests)
	for i := range out {
		began := time.Now()
		resp, err := c.Get(url)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			b.Fatalf("status %d, %v", resp.StatusCode, err)
		}
		_ = resp.Body.Close()
		out[i] = time.Since(began)
	}
	slices.Sort(out)
	return out
}
