package membership

import (
	"context"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// reachInterval is the interval between attempts to reach listed instances
	// that are unknown or dead in the table.
	reachInterval = time.Second
	// reachMinDelay and reachMaxDelay are the limits of the delay between
	// attempts to reach the same instance, which doubles with each attempt. With
	// reachMaxDelay, 10 instances on one side of a network partition reach the
	// other side within 6 s on average after its end.
	reachMinDelay = time.Second
	reachMaxDelay = time.Minute
	// joinFanout is the number of instances that an instance without any known
	// member calls at the same time.
	joinFanout = 5
)

// retry has the time of the next attempt to reach an instance and the delay
// after that attempt.
type retry struct {
	next  time.Time
	delay time.Duration
}

func (n *Node) listLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.readList(ctx)
		sleep(ctx, n.listDelay())
	}
}

// listDelay returns the delay before the next read of the platform's list.
func (n *Node) listDelay() time.Duration {
	v := n.View()
	if v.IsRelay() || len(v.Members) <= listReaders {
		return n.opts.ListInterval
	}
	return n.opts.ListInterval * time.Duration(len(v.Members)) / listReaders
}

func (n *Node) readList(ctx context.Context) {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := n.opts.Source.List(listCtx)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		n.mu.Lock()
		n.table.SetListing(time.Now(), listing.Entries)
		n.mu.Unlock()
	}
	n.opts.OnListing(listing, err)
}

// reachLoop calls listed instances that are unknown or dead in the table. This
// joins an instance to the others after its start, and merges the two sides of a
// network partition after its end.
func (n *Node) reachLoop(ctx context.Context) {
	for ctx.Err() == nil {
		targets, alone := n.unreached(time.Now())
		for _, id := range targets {
			n.running.Go(func() { n.reach(ctx, id) })
		}
		delay := reachInterval
		if alone {
			delay = tickInterval
		}
		sleep(ctx, delay)
	}
}

// unreached returns the instances to call now, in random order, and whether this
// instance knows no other member.
func (n *Node) unreached(now time.Time) (ids []model.InstanceID, alone bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	limit := 1
	alone = len(n.table.rows) == 1
	if alone {
		limit = joinFanout
	}
	var due []model.InstanceID
	retries := map[model.InstanceID]*retry{}
	for _, id := range n.table.Unreached() {
		r := n.retries[id]
		if r == nil {
			r = &retry{delay: reachMinDelay}
		}
		retries[id] = r
		if id != n.table.self.member.ID && !now.Before(r.next) {
			due = append(due, id)
		}
	}
	n.retries = retries
	n.opts.Rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	due = first(due, limit)
	for _, id := range due {
		n.scheduleRetry(now, retries[id])
	}
	return due, alone
}

// scheduleRetry sets the time of the next attempt to a random time between half
// of the delay and the whole delay from now, and doubles the delay up to
// reachMaxDelay.
func (n *Node) scheduleRetry(now time.Time, r *retry) {
	half := r.delay / 2
	r.next = now.Add(half + time.Duration(n.opts.Rand.Int64N(int64(half)+1)))
	r.delay = min(2*r.delay, reachMaxDelay)
}

// reach compares this instance's table with that of an instance that is not a
// neighbour and transfers the differences in both directions.
func (n *Node) reach(ctx context.Context, id model.InstanceID) {
	own := n.ownDigests()
	n.mu.Lock()
	args := &ExchangeArgs{
		From:    n.table.Self().ID,
		Buckets: n.table.Digest(),
		Topics:  own.hash(),
		Digests: own.changedFrom(nil),
	}
	n.mu.Unlock()
	var reply ExchangeReply
	if n.exchange(ctx, id, transferTimeout, args, &reply) != nil {
		return
	}
	n.mergeMembers(reply.Members, id)
	n.mergeNews(reply.News, id)
	n.mu.Lock()
	records, _ := n.table.Differing(reply.Buckets)
	n.mu.Unlock()
	_ = n.pushRecords(ctx, id, records)
}
