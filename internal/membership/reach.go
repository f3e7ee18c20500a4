package membership

import (
	"context"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// reachInterval is the time between two attempts to reach listed members
	// that are not known to be alive.
	reachInterval = time.Second
	// reachMin and reachMax bound the pause between attempts to reach the
	// same member, which doubles. With reachMax, 10 instances on one side of
	// a lost link find the other side within 6 s on average.
	reachMin = time.Second
	reachMax = time.Minute
	// joinReach is how many members an instance calls at once that knows no
	// other.
	joinReach = 5
)

// retry is when to try again to reach a member.
type retry struct {
	next  time.Time
	pause time.Duration
}

func (n *Node) listLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.readList(ctx)
		sleep(ctx, n.listPause())
	}
}

// listPause is the time to the next reading of the list.
func (n *Node) listPause() time.Duration {
	v := n.View()
	if v.IsRelay() || len(v.Members) <= listReaders {
		return n.opts.ListInterval
	}
	return n.opts.ListInterval * time.Duration(len(v.Members)) / listReaders
}

func (n *Node) readList(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := n.opts.Source.List(bounded)
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

// reachLoop tries listed members that are not known to be alive. Islands that
// formed while regions could not reach each other join again this way.
func (n *Node) reachLoop(ctx context.Context) {
	for ctx.Err() == nil {
		targets, alone := n.unreached(time.Now())
		for _, id := range targets {
			n.running.Go(func() { n.reach(ctx, id) })
		}
		pause := reachInterval
		if alone {
			pause = tickInterval
		}
		sleep(ctx, pause)
	}
}

// unreached returns the members to try now, in random order, and whether this
// instance knows no other member.
func (n *Node) unreached(now time.Time) (ids []model.InstanceID, alone bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	limit := 1
	alone = len(n.table.rows) == 1
	if alone {
		limit = joinReach
	}
	var due []model.InstanceID
	waiting := map[model.InstanceID]*retry{}
	for _, id := range n.table.Unreached() {
		r := n.retries[id]
		if r == nil {
			r = &retry{pause: reachMin}
		}
		waiting[id] = r
		if id != n.table.self.member.ID && !now.Before(r.next) {
			due = append(due, id)
		}
	}
	n.retries = waiting
	n.opts.Rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	due = first(due, limit)
	for _, id := range due {
		n.postpone(now, waiting[id])
	}
	return due, alone
}

func (n *Node) postpone(now time.Time, r *retry) {
	half := r.pause / 2
	r.next = now.Add(half + time.Duration(n.opts.Rand.Int64N(int64(half)+1)))
	r.pause = min(2*r.pause, reachMax)
}

// reach compares the tables with a member that is not a neighbour.
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
