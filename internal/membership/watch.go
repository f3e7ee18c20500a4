package membership

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// pingInterval is the time between two pings of members that answer. Each
	// member is neighbour or caller of about ten others, so that it gets
	// about one ping in this time.
	pingInterval = 750 * time.Millisecond
	// sampleEvery is the number of pings of watched members for each ping of
	// another one. A member that nobody watches any more, for example because
	// its region is out of reach, would otherwise stay alive in the table.
	sampleEvery = 13
	// probeInterval is the time between two pings of a member that fails.
	probeInterval = 250 * time.Millisecond
	pingTimeout   = 500 * time.Millisecond
	// relayedTimeout bounds a ping through another member, and fits into
	// pingTimeout with the way there.
	relayedTimeout = 350 * time.Millisecond
	// confirmers are the members that are asked to confirm a suspicion.
	confirmers = 2
	maxProbes  = 10
)

// reported is what the last events said.
type reported struct {
	distrusted, superseded bool
	paused                 time.Duration
}

func (n *Node) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	expired := time.Now()
	for {
		now := time.Now()
		n.tick(ctx, now)
		if now.Sub(expired) >= expireInterval {
			expired = now
			n.expireTopics(now)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			n.closeLinks()
			return
		}
	}
}

func (n *Node) expireTopics(now time.Time) {
	for _, topic := range n.topics {
		if e, ok := topic.(Expirer); ok {
			e.Expire(now)
		}
	}
}

func (n *Node) tick(ctx context.Context, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	seq := n.table.Seq()
	n.table.Tick(now)
	n.flushSoft(now)
	if n.table.Seq() != seq {
		n.broadcastLocked()
	}
	n.dropCallers(now)
	n.dropFailing()
	n.adjustLinks(ctx)
	n.report()
	for _, id := range n.table.ToConfirm(now) {
		if !n.confirming[id] {
			n.confirming[id] = true
			n.running.Go(func() { n.confirm(ctx, id) })
		}
	}
}

func (n *Node) flushSoft(now time.Time) {
	if !n.soft.due(now, DeferredUpdateInterval(len(n.table.rows)), n.opts.Rand) {
		return
	}
	if n.soft.changes(n.table.Self()) {
		n.table.UpdateSelf(now, n.soft.apply)
	}
}

func (n *Node) dropCallers(now time.Time) {
	for id, c := range n.callers {
		if now.Sub(c.seen) > callerTTL {
			delete(n.callers, id)
		}
	}
}

// dropFailing forgets what was measured at members that are not watched any
// more.
func (n *Node) dropFailing() {
	for id := range n.heard {
		if !n.watches(id) {
			delete(n.heard, id)
		}
	}
	for id := range n.table.failing {
		if r := n.table.rows[id]; !n.watches(id) || r.member.Health == HealthDead {
			n.table.RecordAnswer(id)
		}
	}
}

// watches reports whether this instance pings a member. The caller holds n.mu.
func (n *Node) watches(id model.InstanceID) bool {
	if n.table.rows[id] == nil {
		return false
	}
	return n.links[id] != nil || n.callers[id] != nil || n.sampled == id
}

// adjustLinks starts and ends links so that they match the neighbours.
func (n *Node) adjustLinks(ctx context.Context) {
	if n.linked == n.table.shape {
		return
	}
	n.linked = n.table.shape
	near, far := n.table.Neighbours()
	wanted := slices.Concat(near, far)
	for id, l := range n.links {
		if !slices.Contains(wanted, id) {
			l.cancel()
			delete(n.links, id)
		}
	}
	for _, id := range wanted {
		if n.links[id] == nil {
			n.startLink(ctx, id)
		}
	}
}

func (n *Node) startLink(ctx context.Context, id model.InstanceID) {
	ctx, cancel := context.WithCancel(ctx)
	l := newLink(n, id, cancel)
	n.links[id] = l
	n.running.Go(func() { l.pollLoop(ctx) })
	n.running.Go(func() { l.pushLoop(ctx) })
}

func (n *Node) closeLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.cancel()
	}
}

// report sends events about changes since the last one.
func (n *Node) report() {
	now := reported{n.table.Distrusted(), n.table.Superseded(), n.table.Paused()}
	last := n.reported
	n.reported = now
	if now.distrusted != last.distrusted {
		kind := EventTrust
		if now.distrusted {
			kind = EventDistrust
		}
		n.opts.OnEvent(Event{Kind: kind, Detail: fmt.Sprintf("%d members fail", len(n.table.failing))})
	}
	if now.superseded && !last.superseded {
		n.opts.OnEvent(Event{Kind: EventSuperseded, Member: n.table.Self().ID})
	}
	if now.paused != last.paused {
		n.opts.OnEvent(Event{Kind: EventPaused, Detail: (now.paused - last.paused).String()})
	}
}

// pingLoop pings the watched members, and those that fail more often.
func (n *Node) pingLoop(ctx context.Context) {
	n.mu.Lock()
	offset := time.Duration(n.opts.Rand.Int64N(int64(pingInterval)))
	n.mu.Unlock()
	sleep(ctx, offset)
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		n.mu.Lock()
		targets := n.failingTargets()
		if i%int(pingInterval/probeInterval) == 0 {
			targets = append(targets, n.nextTarget())
		}
		if i%int(sampleEvery*pingInterval/probeInterval) == 0 {
			targets = append(targets, n.sample())
		}
		for _, id := range targets {
			if id != "" && !n.probing[id] {
				n.probing[id] = true
				n.running.Go(func() { n.probe(ctx, id) })
			}
		}
		n.mu.Unlock()
	}
}

func (n *Node) failingTargets() []model.InstanceID {
	var ids []model.InstanceID
	for id := range n.table.failing {
		if len(ids) < maxProbes {
			ids = append(ids, id)
		}
	}
	return ids
}

// nextTarget returns the watched member whose last ping in either direction is
// the oldest, so that the watchers of a member take turns without agreeing on
// them. Polls don't count, because all of them start at the same time after a
// change.
func (n *Node) nextTarget() model.InstanceID {
	var next model.InstanceID
	var oldest time.Time
	consider := func(id model.InstanceID) {
		if r := n.table.rows[id]; r == nil || r.member.Health == HealthDead {
			return
		}
		if at := n.heard[id]; next == "" || at.Before(oldest) || at.Equal(oldest) && id < next {
			next, oldest = id, at
		}
	}
	for id := range n.links {
		consider(id)
	}
	for id := range n.callers {
		consider(id)
	}
	return next
}

// pinged records a ping that was answered. The caller holds n.mu.
func (n *Node) pinged(id model.InstanceID) {
	if n.watches(id) {
		n.heard[id] = time.Now()
	}
}

// sample returns a random member that is not known to be dead, and watches it
// until the next one is taken.
func (n *Node) sample() model.InstanceID {
	n.sampled = ""
	skip := n.opts.Rand.IntN(len(n.table.rows))
	for id, r := range n.table.rows {
		if r == n.table.self || r.member.Health == HealthDead {
			continue
		}
		n.sampled = id
		if skip--; skip < 0 {
			break
		}
	}
	return n.sampled
}

func (n *Node) probe(ctx context.Context, id model.InstanceID) {
	start := time.Now()
	_, err := n.ping(ctx, id, "", pingTimeout)
	if ctx.Err() == nil {
		n.observe(start, id, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.probing, id)
	if err == nil {
		n.pinged(id)
	}
}

// ping asks a member whether it answers, or whether a target answers it.
func (n *Node) ping(ctx context.Context, id, target model.InstanceID, timeout time.Duration) (bool, error) {
	n.stats.pings.Add(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply PingReply
	err := n.opts.Caller.Call(ctx, id, methodPing, &PingArgs{From: n.opts.Self.ID, To: toHash(id), Target: target}, &reply)
	return reply.Reached, err
}

// Ping answers a ping.
func (n *Node) Ping(args *PingArgs, reply *PingReply) error {
	if args.To != toHash(n.opts.Self.ID) {
		return errOtherInstance
	}
	if args.Target == "" {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.table.RecordAnswer(args.From)
		n.pinged(args.From)
		return nil
	}
	_, err := n.ping(callContext(args.ctx), args.Target, "", relayedTimeout)
	reply.Reached = err == nil
	return nil
}

// confirm suspects a member unless another one reaches it. In that case the
// path between the two is broken, and the member is asked for again after
// SuspectAfter. All neighbours are pinged at the same time: if the fault is at
// this instance, one of them fails first, and the others must be known to fail
// before that one is suspected.
func (n *Node) confirm(ctx context.Context, id model.InstanceID) {
	var probes sync.WaitGroup
	for _, other := range n.answering(id) {
		probes.Go(func() { n.probe(ctx, other) })
	}
	reached := n.reachedByOthers(ctx, id)
	probes.Wait()
	n.mu.Lock()
	wait := n.table.UntilSuspect(time.Now(), id)
	n.mu.Unlock()
	if !reached && wait > 0 {
		sleep(ctx, wait)
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.confirming, id)
	if reached {
		n.table.RestartFailure(now, id)
		return
	}
	if n.table.Suspect(now, id) {
		n.stats.suspicions.Add(1)
		n.opts.OnEvent(Event{Kind: EventSuspected, Member: id})
		n.broadcastLocked()
	}
}

func (n *Node) reachedByOthers(ctx context.Context, id model.InstanceID) bool {
	helpers := n.helpers(id)
	results := make(chan bool, len(helpers))
	for _, h := range helpers {
		go func() {
			reached, err := n.ping(ctx, h, id, pingTimeout)
			results <- err == nil && reached
		}()
	}
	reached := false
	for range helpers {
		reached = <-results || reached
	}
	return reached
}

// helpers returns some neighbours that answer.
func (n *Node) helpers(except model.InstanceID) []model.InstanceID {
	ids := n.answering(except)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.opts.Rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return first(ids, confirmers)
}

// answering returns the neighbours that are not known to fail.
func (n *Node) answering(except model.InstanceID) []model.InstanceID {
	n.mu.Lock()
	defer n.mu.Unlock()
	var ids []model.InstanceID
	for id := range n.links {
		if id != except && !n.table.Failing(id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
