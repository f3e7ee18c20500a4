package daemon

import (
	"golang.org/x/sys/unix"

	"jujubestile.example/jujubestile/internal/bound"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/settings"
)

const (
	// callerMemory and largeMemory are the shares of the memory that are held for
	// callers and operators, and for their bodies.
	callerMemory, largeMemory = 0.5, 0.35
	// collectorMemory is the share that the collector keeps to, and heapMemory that of
	// the charges and what is not charged together.
	collectorMemory, heapMemory = 0.7, 0.65
	// connMemory is the share of the callers' memory that connections may take as such.
	connMemory = 0.75
	// filesReserve is the number of descriptors that are left to other instances, to
	// endpoints, the store and files, and entryFiles the share of the others for callers.
	filesReserve = 100
	entryFiles   = 0.75
	// maxControlConns bounds the connections of operators, and minConns is the least of
	// any listener.
	maxControlConns, minConns = 64, 16
	// maxHeaderBytes is the limit of a header section, as in the entry.
	maxHeaderBytes = 16 << 10
)

// CollectorLimit returns the soft limit of the Go runtime in bytes.
func CollectorLimit(s settings.Settings) int64 { return int64(collectorMemory * memoryBytes(s)) }

func memoryBytes(s settings.Settings) float64 { return float64(s.MemoryMB) * (1 << 20) }

// newGuard returns the guard of the listeners for callers and operators.
func (d *Daemon) newGuard() *forward.Guard {
	m := memoryBytes(d.settings)
	return forward.NewGuard(forward.GuardConfig{Log: &d.log, MaxHeader: func() int { return maxHeaderBytes },
		Memory: bound.Limits{Total: int64(callerMemory * m), Large: int64(largeMemory * m), Memory: int64(heapMemory * m)}})
}

// connLimits returns the largest numbers of connections of callers and of operators.
func connLimits(s settings.Settings) (callers, operators int) {
	files := 1024.0
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
		files = float64(min(limit.Cur, 1<<20))
	}
	byMemory := connMemory * callerMemory * memoryBytes(s) / forward.ConnCost
	callers = max(int(min(entryFiles*(files-filesReserve), byMemory)), minConns)
	return callers, min(max(callers/10, minConns), maxControlConns)
}

// WatchMemory has what is in memory besides the charges counted until stop is called. It
// is for a process with one instance.
func (d *Daemon) WatchMemory() (stop func()) { return d.guard.Budget().WatchHeap() }
