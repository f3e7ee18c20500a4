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
	// pingInterval is the interval between pings of members that respond. Each
	// member is monitored by about ten others, so that it receives about one
	// ping per interval.
	pingInterval = 750 * time.Millisecond
	// pingsPerSample is the number of pings of monitored members per ping of a
	// random member. A member that no other one monitors any longer, for example
	// because its region is unreachable, would otherwise stay alive in the table.
	pingsPerSample = 13
	// probeInterval is the interval between pings of a failing member.
	probeInterval = 250 * time.Millisecond
	pingTimeout   = 500 * time.Millisecond
	// indirectPingTimeout is the timeout of a ping on behalf of another member.
	// Together with the latency to the requesting member it fits into that
	// member's pingTimeout.
	indirectPingTimeout = 350 * time.Millisecond
	// indirectPingHelpers is the number of members that are asked to ping a
	// failing member before it is suspected.
	indirectPingHelpers = 2
	// maxProbes is the maximum number of failing members pinged per
	// probeInterval.
	maxProbes = 10
)

// reportedState is the state at the last call of reportChanges.
type reportedState struct {
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
	n.flushDeferred(now)
	if n.table.Seq() != seq {
		n.broadcastLocked()
	}
	n.dropInbound(now)
	n.dropUnmonitored()
	n.adjustLinks(ctx)
	n.reportChanges()
	for _, id := range n.table.ToConfirm(now) {
		if !n.confirming[id] {
			n.confirming[id] = true
			n.running.Go(func() { n.confirm(ctx, id) })
		}
	}
}

func (n *Node) flushDeferred(now time.Time) {
	if !n.deferred.due(now, DeferredUpdateInterval(len(n.table.rows)), n.opts.Rand) {
		return
	}
	if n.deferred.wouldChange(n.table.Self()) {
		n.table.UpdateSelf(now, n.deferred.apply)
	}
}

// dropInbound deletes the inbound peers that have not called for inboundTTL.
func (n *Node) dropInbound(now time.Time) {
	for id, p := range n.inbound {
		if now.Sub(p.lastSeen) > inboundTTL {
			delete(n.inbound, id)
		}
	}
}

// dropUnmonitored deletes the measurements of members that are no longer
// monitored, and the failures of dead ones.
func (n *Node) dropUnmonitored() {
	for id := range n.lastPing {
		if !n.monitors(id) {
			delete(n.lastPing, id)
		}
	}
	for id := range n.table.failing {
		if r := n.table.rows[id]; !n.monitors(id) || r.member.Health == HealthDead {
			n.table.RecordAnswer(id)
		}
	}
}

// monitors reports whether this instance monitors a member by pings: neighbours,
// inbound peers and the sampled member. The caller must hold n.mu.
func (n *Node) monitors(id model.InstanceID) bool {
	if n.table.rows[id] == nil {
		return false
	}
	return n.links[id] != nil || n.inbound[id] != nil || n.sampled == id
}

// adjustLinks starts and ends links so that there is one for each neighbour.
func (n *Node) adjustLinks(ctx context.Context) {
	if n.linksTopologySeq == n.table.topologySeq {
		return
	}
	n.linksTopologySeq = n.table.topologySeq
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

// reportChanges calls OnEvent for the changes since its last call.
func (n *Node) reportChanges() {
	now := reportedState{n.table.Distrusted(), n.table.Superseded(), n.table.Paused()}
	last := n.lastReported
	n.lastReported = now
	if now.distrusted != last.distrusted {
		kind := EventTrust
		if now.distrusted {
			kind = EventDistrust
		}
		n.opts.OnEvent(Event{Kind: kind, Detail: fmt.Sprintf("%d members do not answer", len(n.table.failing))})
	}
	if now.superseded && !last.superseded {
		n.opts.OnEvent(Event{Kind: EventSuperseded, Member: n.table.Self().ID})
	}
	if now.paused != last.paused {
		n.opts.OnEvent(Event{Kind: EventPaused, Detail: (now.paused - last.paused).String()})
	}
}

// pingLoop pings the monitored members in turn, and failing ones more often.
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
		if i%int(pingsPerSample*pingInterval/probeInterval) == 0 {
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

// nextTarget returns the monitored member whose last ping in either direction is
// the oldest, so that the instances that monitor a member take turns without
// coordination. Polls do not count, because all of them start at the same time
// after a change.
func (n *Node) nextTarget() model.InstanceID {
	var next model.InstanceID
	var oldest time.Time
	consider := func(id model.InstanceID) {
		if r := n.table.rows[id]; r == nil || r.member.Health == HealthDead {
			return
		}
		if at := n.lastPing[id]; next == "" || at.Before(oldest) || at.Equal(oldest) && id < next {
			next, oldest = id, at
		}
	}
	for id := range n.links {
		consider(id)
	}
	for id := range n.inbound {
		consider(id)
	}
	return next
}

// recordPing records that a member responded to or sent a ping. The caller must hold
// n.mu.
func (n *Node) recordPing(id model.InstanceID) {
	if n.monitors(id) {
		n.lastPing[id] = time.Now()
	}
}

// sample returns a random member that is not known to be dead. The member is
// monitored until the next call.
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
		n.recordPing(id)
	}
}

// ping pings a member or, with a target, asks the member to ping the target. It
// reports whether the target responded.
func (n *Node) ping(ctx context.Context, id, target model.InstanceID, timeout time.Duration) (bool, error) {
	n.stats.pings.Add(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply PingReply
	err := n.opts.Caller.Call(ctx, id, methodPing, &PingArgs{From: n.opts.Self.ID, To: recipientHash(id), Target: target}, &reply)
	return reply.Reached, err
}

// Ping serves a ping and, with a target, pings the target for the sender.
func (n *Node) Ping(args *PingArgs, reply *PingReply) error {
	if args.To != recipientHash(n.opts.Self.ID) {
		return errOtherInstance
	}
	if args.Target == "" {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.table.RecordAnswer(args.From)
		n.recordPing(args.From)
		return nil
	}
	_, err := n.ping(callContext(args.ctx), args.Target, "", indirectPingTimeout)
	reply.Reached = err == nil
	return nil
}

// confirm suspects a failing member unless another member reaches it. If one
// does, only the network path from this instance is broken, and the failure is
// measured again from now. At the same time all responding neighbours are pinged:
// if the fault is at this instance, the member is only the first one that was seen
// to fail, and the failures of the others must be known before it is suspected.
func (n *Node) confirm(ctx context.Context, id model.InstanceID) {
	var probes sync.WaitGroup
	for _, other := range n.responding(id) {
		probes.Go(func() { n.probe(ctx, other) })
	}
	reached := n.reachedIndirectly(ctx, id)
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

// reachedIndirectly reports whether a member responds to pings of other members.
func (n *Node) reachedIndirectly(ctx context.Context, id model.InstanceID) bool {
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

// helpers returns up to indirectPingHelpers random neighbours that respond.
func (n *Node) helpers(except model.InstanceID) []model.InstanceID {
	ids := n.responding(except)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.opts.Rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return first(ids, indirectPingHelpers)
}

// responding returns the neighbours that do not fail, except the given one, sorted.
func (n *Node) responding(except model.InstanceID) []model.InstanceID {
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
