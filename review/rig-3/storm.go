package main

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// memoryMB is the limit of the smallest machines of the sites in force (naec-gala-grown,
	// crookfield-entries-grown, tozsdelang-edge-grown).
	memoryMB = 136
	// valueBytes is the largest value of the store, and stormRoutes as many routes as fit.
	valueBytes  = 1048576
	stormRoutes = 13100
	// A storm has a change each stormGap for stormTime (config_storm, gap_s and for_s).
	stormGap  = 220 * time.Millisecond
	stormTime = 4 * time.Second
	// stormPause is the time between two storms.
	stormPause = 100 * time.Millisecond
	stormLimit = 106 * time.Second
)

var residentLine = regexp.MustCompile(`RssAnon:\s+(\d+) kB`)

// resident returns the memory of the process in MB, without its program text.
func (in *instance) resident() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.cmd.Process.Pid))
	if m := residentLine.FindSubmatch(text); err == nil && m != nil {
		kb, _ := strconv.Atoi(string(m[1]))
		return kb >> 10
	}
	return 0
}

// storms: desired states come in quick succession, several times. A process whose memory
// exceeds the limit of its machine is killed and soon started again, as the platform does.
// It checks "Fault": processes end three times on a tenth of the machines, two at least.
func storms(recordPath string, trouble bool) int {
	rec := newRecord(recordPath)
	zones := []string{"lag-ikeja", "abj-garki"}
	g := newRig(rec, 20, map[string]string{zones[0]: "lag", zones[1]: "abj"})
	g.memory = memoryMB
	for i := range 4 {
		z := zones[i%2]
		g.add(fmt.Sprintf("edge-%s-%d", z, i/2+1), z)
		startBackend(g.store, rec, fmt.Sprintf("i-alpha-%d", i), "alpha", z, 32, 20*time.Millisecond)
	}
	put := func(version int) int {
		routes := []route{{"view", "h.example", "/view/", "safe", "alpha", fmt.Sprintf("%dms", 2000+version%7)}}
		for i := range stormRoutes {
			routes = append(routes, route{fmt.Sprintf("r-%d", i), "h.example", fmt.Sprintf("/x%dy/", i), "safe", "alpha", "2s"})
		}
		b := state(version, []string{"alpha"}, routes)
		if len(b) > valueBytes {
			panic("state too large")
		}
		g.store.put("op/config", b)
		return len(b)
	}
	size := put(1)
	for _, in := range g.instances {
		g.start(in)
	}
	g.awaitReady(g.instances...)
	time.Sleep(time.Second)
	defer g.traffic()()
	ends := make([]int, len(g.instances))
	var over atomic.Int64
	var most atomic.Int64
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for i, in := range g.instances {
				mb := in.resident()
				most.Store(max(most.Load(), int64(mb)))
				if mb <= memoryMB {
					continue
				}
				in.kill()
				ends[i]++
				rec.line("%s has %d MB, more than the %d MB of its machine: ended, %d times so far", in.name, mb, memoryMB, ends[i])
				if ends[i] == 3 {
					over.Add(1)
				}
				time.Sleep(200 * time.Millisecond)
				g.start(in)
			}
		}
	}()
	rec.line("desired states of %d bytes", size)
	version, began := 1, time.Now()
	for time.Since(began) < stormLimit && over.Load() < 2 {
		for storm := time.Now(); trouble && time.Since(storm) < stormTime; time.Sleep(stormGap) {
			version++
			put(version)
		}
		time.Sleep(stormPause)
		var mb []int
		for _, in := range g.instances {
			mb = append(mb, in.resident())
		}
		rec.line("%d versions; MB of the processes: %v, watching %v", version, mb, g.store.watchers())
	}
	close(stop)
	<-stopped
	rec.line("ends by memory of each machine: %v", ends)
	fmt.Printf("%d versions, at most %d MB, ends by memory %v\n", version, most.Load(), ends)
	if over.Load() >= 2 {
		return 1
	}
	return 0
}
