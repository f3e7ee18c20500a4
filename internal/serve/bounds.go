package serve

import (
	"context"
	"net"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"jujubestile.example/jujubestile/internal/bound"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/forward"
)

// Limits bounds what callers can take. Zero values stand for the defaults below.
type Limits struct {
	// CallerMemory is the share of the memory that is held for callers, and LargeMemory
	// that for long bodies and bytes read ahead, which is part of it.
	CallerMemory float64 `json:"caller_memory"`
	LargeMemory  float64 `json:"large_memory"`
	// CallerFiles is the share of the sockets for connections of callers.
	CallerFiles float64 `json:"caller_files"`
	// PeerMemory is the share of the memory for large messages of other instances.
	PeerMemory float64 `json:"peer_memory"`
	// EndpointBody bounds the request bodies in flight to one endpoint. A longer body
	// is sent if no other is in flight.
	EndpointBody Megabytes `json:"endpoint_body_mb"`
}

const (
	// defaultMemory is assumed if memory_mb is 0. It serves one body of 64 MB.
	defaultMemory Megabytes = 256
	// defaultCallerMemory leaves 0.4 to the program, the copy of the store, the collector
	// and the kernel's buffers. At 0.65, slow readers brought a process to 119 of 136 MB.
	// defaultLargeMemory is just enough for a body of 64 MB on a machine of
	// 136 MB.
	defaultCallerMemory, defaultLargeMemory = 0.6, 0.5
	defaultPeerMemory                       = 0.05
	// programMemory is what the program takes beside the Go heap: its text, and what the
	// collector is late to free.
	programMemory Megabytes = 28
	// maxHeapShare is the share of the collector's limit that is in use at most, as far
	// as callers decide. Closer to the limit it runs all the time.
	maxHeapShare = 0.93
	// filesReserve is the number of descriptors that machines reserve for files.
	filesReserve = 200
	// defaultCallerFiles leaves a quarter of the sockets to endpoints, other instances
	// and the store.
	defaultCallerFiles = 0.75
	// maxConnMemory is the share of the callers' memory that connections may take as
	// such.
	maxConnMemory = 0.75
	// otherFiles is the share of the callers' sockets for each of the readiness, lookup
	// and metrics listeners, up to maxOthers, and minConns the least of any listener.
	otherFiles = 0.1
	maxOthers  = 64
	minConns   = 16
	// defaultEndpointBody bounds the bodies in flight from an instance to an endpoint.
	// Endpoints crash if requests exceed their memory, which they do not report.
	defaultEndpointBody Megabytes = 32
)

func orDefault(v, def float64) float64 {
	if v > 0 {
		return v
	}
	return def
}

// memoryBytes returns the memory of which the limits are shares: that of the machine, or
// on a small one as much as leaves programMemory.
func (s Settings) memoryBytes() float64 {
	memory := s.Memory
	if memory <= 0 {
		memory = defaultMemory
	}
	return min(float64(memory), max(float64(memory-programMemory), 1)/memoryLimitFraction) * (1 << 20)
}

// peerMemory returns the bound for large messages of other instances.
func (s Settings) peerMemory() int64 {
	return int64(orDefault(s.Limits.PeerMemory, defaultPeerMemory) * s.memoryBytes())
}

// memoryLimits returns the budget for callers.
func (s Settings) memoryLimits() bound.Limits {
	bytes := s.memoryBytes()
	return bound.Limits{Total: int64(orDefault(s.Limits.CallerMemory, defaultCallerMemory) * bytes),
		Large:  int64(orDefault(s.Limits.LargeMemory, defaultLargeMemory) * bytes),
		Memory: int64(maxHeapShare * memoryLimitFraction * bytes)}
}

// connLimits returns the largest numbers of connections of callers and of each other
// listener.
func (s Settings) connLimits() (callers, others int) {
	byMemory := int(maxConnMemory * float64(s.memoryLimits().Total) / forward.ConnCost)
	files := s.MaxFiles
	if files == 0 {
		files = fileLimit()
	}
	sockets := float64(files - filesReserve)
	shared := int(min(sockets*orDefault(s.Limits.CallerFiles, defaultCallerFiles), float64(byMemory)))
	others = min(max(int(otherFiles*float64(shared)), minConns), maxOthers)
	return max(shared-otherListeners*others, minConns), others
}

// otherListeners is the number of listeners beside that for requests.
const otherListeners = 3

// fileLimit returns the limit of descriptors of the process.
func fileLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 1024 // The usual limit where none can be read.
	}
	return int(min(limit.Cur, 1<<20))
}

func (s Settings) endpointBody() int64 {
	if s.Limits.EndpointBody > 0 {
		return int64(s.Limits.EndpointBody) << 20
	}
	return int64(defaultEndpointBody) << 20
}

// newGuard returns the guard of all listeners for callers.
func (in *Instance) newGuard() *forward.Guard {
	return forward.NewGuard(forward.GuardConfig{Log: &in.log, Memory: in.settings.memoryLimits(), MaxHeader: in.maxHeader})
}

// maxHeader returns the limit of header sections in force, or 0 if there is none.
func (in *Instance) maxHeader() int {
	if s := in.state.Load(); s != nil {
		return s.Limits.MaxHeaderBytes
	}
	return 0
}

// listenCallers opens a listener whose connections have kernel buffers of a bounded
// size: what callers send before it is read counts as memory of the machine.
func (in *Instance) listenCallers(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if set := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, forward.SocketBuffer)
			if err == nil {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, forward.SocketBuffer)
			}
		}); set != nil {
			err = set
		}
		if err != nil {
			in.log.Log(events.SocketBuffersDefault).Err(err).Send()
		}
		return nil
	}}
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	return ln, errors.Trace(err)
}
