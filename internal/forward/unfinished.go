package forward

import (
	"cmp"
	"context"
	"net"
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/bound"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/linger"
)

// Owing returns the number of connections whose callers may not have received all of an
// answer.
func (l Listener) Owing() int { return int(l.group.owing.Load()) }

// awaitInterval is how often AwaitReceived looks at the connections.
const awaitInterval = 10 * time.Millisecond

// AwaitReceived waits until no caller still receives an answer, or until the context ends,
// whose error it returns.
func (l Listener) AwaitReceived(ctx context.Context) error {
	for l.Owing() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(awaitInterval):
		}
	}
	return nil
}

// maxUnfinishedLines bounds the lines on requests that a planned stop cuts.
const maxUnfinishedLines = 50

// LogUnfinished logs the requests that are running or being answered, the oldest ones
// first.
func (l Listener) LogUnfinished(log events.Logger) {
	type unfinished struct {
		request string
		phase   phase
		since   int64
	}
	var found []unfinished
	for _, a := range l.group.all() {
		p := phase(a.phase.Load())
		if p == phaseClosing && linger.Unacknowledged(a.Conn) == 0 {
			continue // The caller has received all.
		}
		if p >= phaseRunning {
			a.mu.Lock()
			found = append(found, unfinished{a.request, p, a.since.Load()})
			a.mu.Unlock()
		}
	}
	slices.SortFunc(found, func(a, b unfinished) int { return cmp.Compare(a.since, b.since) })
	now := time.Now()
	for i, u := range found[:min(len(found), maxUnfinishedLines)] {
		e := log.Log(events.RequestCut).Str("request", u.request).Stringer("state", u.phase).Dur("age_ms", now.Sub(time.Unix(0, u.since)))
		if i == maxUnfinishedLines-1 && len(found) > maxUnfinishedLines {
			e = e.Int("suppressed", len(found)-maxUnfinishedLines)
		}
		e.Send()
	}
}

// setRequest sets the ID of the request that is handled, for logs.
func (a *guardedConn) setRequest(id string) {
	a.mu.Lock()
	a.request = id
	a.mu.Unlock()
}

// logUnacknowledged logs that a connection is about to be closed before its caller's
// kernel has acknowledged all that was written.
func (g *Guard) logUnacknowledged(request string, c net.Conn) {
	unacknowledged := linger.Unacknowledged(c)
	if unacknowledged == 0 {
		return
	}
	g.counters.Add(bound.AnswerCut)
	if g.cfg.Log == nil {
		return
	}
	ok, suppressed := g.sample.Allow(time.Now())
	if !ok {
		return
	}
	e := g.cfg.Log.Log(events.AnswerCut).Str("request", request).Int("unacknowledged", unacknowledged).Int("unread", linger.Unread(c))
	if suppressed > 0 {
		e = e.Int("suppressed", suppressed)
	}
	e.Send()
}
