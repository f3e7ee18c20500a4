package linger

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// Quiet is how long the peer may keep the connection open, without sending a byte,
	// once it has acknowledged all that was written.
	Quiet = time.Second
	// Limit bounds the time for which a connection is kept for a peer that reads slowly.
	// The kernel goes on sending to one that takes longer, but a request that arrives
	// from it then resets the connection.
	Limit = 10 * time.Second
	// maxDiscarded bounds the bytes that are read from a peer that goes on sending. It is
	// the length of the longest bodies, whose senders read a refusal only then.
	maxDiscarded = 64 << 20
	// pollInterval is how often the kernel is asked for unacknowledged bytes.
	pollInterval = 100 * time.Millisecond
)

// Drain prepares a connection for Close (RFC 9112, section 9.6): it closes the write
// side, and reads and discards what the peer still sends, until the peer has closed its
// side or a limit is reached. If it were closed at once, the kernel would answer bytes
// that are unread or that arrive later, such as pipelined requests, with a reset, and
// drop what the peer has not received.
//
// Closing the connection meanwhile ends Drain. Without a write side of its own, a
// connection is ready at once.
func Drain(c net.Conn) {
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return // An error means that the connection has ended.
	}
	buf := make([]byte, 4<<10)
	began := time.Now()
	lastBusy := began
	for discarded := 0; discarded < maxDiscarded; {
		_ = c.SetReadDeadline(time.Now().Add(pollInterval)) // Read reports an ended connection.
		n, err := c.Read(buf)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		discarded += n
		now := time.Now()
		if n > 0 || Unacknowledged(c) > 0 {
			lastBusy = now
		}
		if now.Sub(lastBusy) >= Quiet || now.Sub(began) >= Limit {
			return
		}
	}
}
