package proctest

import (
	"net"
	"testing"
)

const servicePath = "/v1/services/entries/x"

// runFiles leaves descriptors as the limit.
const runFiles = 300

// unfinished sends a header section of many short fields that does not end.
func unfinished(c net.Conn, p place, _ <-chan struct{}) {
	write(c, "POST "+p.path+" HTTP/1.1\r\nHost: "+serveHost+"\r\n"+shortFields(4*fieldsWithinLimit))
}

// Guards against unbounded memory of `jujubestiled run` for bodies that stop short, of
// legal size and in chunks, and for header sections that do not end.
func TestRunCrowdAtEntry(t *testing.T) {
	meetRun(t, manyFiles, func(p *process) []crowd {
		entry := place{"entry", p.entryAddr, servicePath}
		const n = 1 << 20
		return []crowd{{100, entry, known(n, 64<<10, 1)}, {150, entry, chunked(n-64<<10, 64<<10, "", "")}, {50, entry, known(60<<10, 60<<10, 1)}, {200, entry, unfinished}}
	})
}

// Guards against the same for edits that stop short and header sections that do not end
// at the operators' listener.
func TestRunCrowdAtControl(t *testing.T) {
	const n = 2_000_000
	edit := func(c net.Conn, p place, _ <-chan struct{}) {
		if write(c, head("POST", p, "Content-Type: application/json", "Content-Length: 2000000")+`{"text":"`) {
			sendBytes(c, n-20, 64<<10)
		}
	}
	meetRun(t, manyFiles, func(p *process) []crowd {
		control := place{"control", p.controlAddr, "/v1/rules"}
		return []crowd{{100, control, edit}, {200, control, unfinished}}
	})
}

// Guards against descriptors of `jujubestiled run` that run out because callers connect
// and send few bytes.
func TestRunCrowdOfConnections(t *testing.T) {
	few := func(c net.Conn, _ place, _ <-chan struct{}) { write(c, "POST /v1/s") }
	meetRun(t, runFiles, func(p *process) []crowd {
		return []crowd{{600, place{"entry", p.entryAddr, ""}, few}, {200, place{"control", p.controlAddr, ""}, few}}
	})
}

// Guards against unbounded memory of `jujubestiled run` for messages of other instances
// that stop short.
func TestRunCrowdOfPeerMessages(t *testing.T) {
	meetRun(t, manyFiles, func(p *process) []crowd { return []crowd{{200, place{"peer", p.peerAddr, ""}, frame}} })
}
