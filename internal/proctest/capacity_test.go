package proctest

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// idleTime is the duration of the measurement of an idle fleet.
const idleTime = 15 * time.Second

// clockTicksPerSecond is the number of clock ticks per second, the unit of
// processor time in /proc/PID/stat.
const clockTicksPerSecond = 100

// usage is the resource usage of a process since its start.
type usage struct {
	cpu time.Duration
	// rss is the resident memory; sent and received count the traffic of calls
	// between instances. All are in bytes.
	rss, sent, received float64
}

// BenchmarkCapacityDaemon measures the control overhead of an idle daemon in
// fleets of several sizes: processor time, memory, traffic between instances,
// and calls to the store and the instance list.
func BenchmarkCapacityDaemon(b *testing.B) {
	for _, n := range []int{5, 10, 20} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, n)
			}
		})
	}
}

func measureIdle(b *testing.B, n int) {
	f := newFleet(b, fleetConfig{instances: n, endpoints: 48, serviceTime: time.Millisecond})
	f.awaitReady(f.instances...)
	time.Sleep(5 * time.Second)
	before := make([]usage, n)
	for i, p := range f.instances {
		before[i] = readUsage(b, p)
	}
	stats := f.kv.Stats()
	reads, _ := f.platform.ReadCounts()
	time.Sleep(idleTime)
	var sum usage
	for i, p := range f.instances {
		u := readUsage(b, p)
		sum.cpu += u.cpu - before[i].cpu
		sum.rss += u.rss
		sum.sent += u.sent - before[i].sent
		sum.received += u.received - before[i].received
	}
	after := f.kv.Stats()
	readsAfter, _ := f.platform.ReadCounts()
	instanceSeconds := float64(n) * idleTime.Seconds()
	b.ReportMetric(100*sum.cpu.Seconds()/instanceSeconds, "%core/daemon")
	b.ReportMetric(sum.rss/float64(n)/(1<<20), "MB/daemon")
	b.ReportMetric(sum.sent/instanceSeconds, "sentB/s")
	b.ReportMetric(sum.received/instanceSeconds, "recvB/s")
	b.ReportMetric(float64(after.Reads-stats.Reads)/instanceSeconds, "storereads/s")
	b.ReportMetric(float64(after.Writes-stats.Writes)/instanceSeconds, "storewrites/s")
	b.ReportMetric(float64(after.WaitingWatches), "watches")
	b.ReportMetric(float64(readsAfter-reads)/instanceSeconds, "listreads/s")
}

func readUsage(b *testing.B, p *process) usage {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	// The fields after the command name, which is in parentheses; see
	// proc_pid_stat(5).
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	number := func(i int) float64 {
		v, _ := strconv.ParseFloat(fields[i], 64)
		return v
	}
	u := usage{
		cpu: time.Duration((number(11) + number(12)) / clockTicksPerSecond * float64(time.Second)),
		rss: number(21) * float64(os.Getpagesize()),
	}
	var vars struct {
		Calls  map[string]float64 `json:"peer_calls"`
		Server map[string]float64 `json:"peer_server"`
	}
	if err := json.Unmarshal([]byte(get(b, "http://"+p.controlAddr+"/debug/vars")), &vars); err != nil {
		b.Fatal(err)
	}
	u.sent = vars.Calls["bytes_out"] + vars.Server["bytes_out"]
	u.received = vars.Calls["bytes_in"] + vars.Server["bytes_in"]
	return u
}
