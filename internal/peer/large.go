package peer

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jujubestile.example/jujubestile/internal/bound"
)

const (
	// stallTime is how long a connection that holds memory must have received or sent
	// nothing to be closed for one that waits: more than a retransmission takes.
	stallTime = 500 * time.Millisecond
	// stallInterval is the time between two searches for such a connection.
	stallInterval = 50 * time.Millisecond
	// largeCost is what a byte of a received message takes: one in the frame and one in
	// the decoder.
	largeCost = 2
)

// largeMessages bounds the memory of the large messages of all connections of a Server.
type largeMessages struct {
	budget *bound.Budget

	mu      sync.Mutex
	holders []*largeMessage
}

// largeMessage is the memory of a message that is received or sent.
type largeMessage struct {
	of    *largeMessages
	conn  *serverConn
	bytes int64
}

func newLargeMessages(limit int64) *largeMessages {
	return &largeMessages{budget: bound.New(bound.Limits{Total: limit, Large: limit})}
}

// acquire charges n bytes for a message of the connection. It waits up to the given time
// and closes connections without progress meanwhile. It returns nil if the bytes do not
// fit.
func (l *largeMessages) acquire(c *serverConn, n int64, wait time.Duration) *largeMessage {
	if !l.budget.TryAcquire(bound.Large, n) && !l.await(c, n, wait) {
		return nil
	}
	m := &largeMessage{of: l, conn: c, bytes: n}
	c.progressAt.Store(time.Now().UnixNano())
	l.mu.Lock()
	l.holders = append(l.holders, m)
	l.mu.Unlock()
	return m
}

func (l *largeMessages) await(c *serverConn, n int64, wait time.Duration) bool {
	if n > l.budget.Limits().Large {
		return false
	}
	w := l.budget.Enqueue(bound.Large, n)
	end, again := time.NewTimer(wait), time.NewTicker(stallInterval)
	defer end.Stop()
	defer again.Stop()
	for {
		select {
		case <-w.Ready():
			return true
		case <-end.C:
			return w.Cancel()
		case <-c.ctx.Done():
			return w.Cancel()
		case <-again.C:
			l.closeStalled(time.Now())
		}
	}
}

// closeStalled closes the connection that has made no progress for longest.
func (l *largeMessages) closeStalled(now time.Time) {
	oldest := now.Add(-stallTime).UnixNano()
	var chosen *serverConn
	l.mu.Lock()
	for _, m := range l.holders {
		if at := m.conn.progressAt.Load(); at < oldest {
			chosen, oldest = m.conn, at
		}
	}
	l.mu.Unlock()
	if chosen != nil {
		chosen.server.counters.stalled.Add(1)
		chosen.close()
	}
}

// release returns the memory. The message may be nil.
func (m *largeMessage) release() {
	if m == nil {
		return
	}
	m.of.mu.Lock()
	if i := slices.Index(m.of.holders, m); i >= 0 {
		m.of.holders = slices.Delete(m.of.holders, i, i+1)
	}
	m.of.mu.Unlock()
	m.of.budget.Release(bound.Large, m.bytes)
}

// progressConn records when bytes were last received or sent.
type progressConn struct {
	net.Conn
	at *atomic.Int64
}

func (c progressConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.at.Store(time.Now().UnixNano())
	return n, err
}

// Write implements net.Conn. It writes in pieces, so that the progress of a large message
// is seen.
func (c progressConn) Write(b []byte) (int, error) {
	const piece = 64 << 10
	done := 0
	for done < len(b) {
		n, err := c.Conn.Write(b[done:min(done+piece, len(b))])
		done += n
		c.at.Store(time.Now().UnixNano())
		if err != nil {
			return done, err
		}
	}
	return done, nil
}
