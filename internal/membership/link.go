package membership

import (
	"context"
	"maps"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// pollWait is how long a neighbour holds a poll if it has nothing to return.
	// It must be shorter than the idle timeout of connections.
	pollWait = 5 * time.Second
	// callTimeout is the timeout of a call that gets a response without delay.
	// transferTimeout is added if a message may be large: 1 MB takes up to ten
	// round trips of 70 ms on a new connection between regions. It is not added
	// to long polls, because these also detect neighbours that do not respond. If
	// a long poll times out while large news is in transfer, the next poll has
	// all of pollWait for the transfer.
	callTimeout     = time.Second
	transferTimeout = 3 * time.Second
	// largeMessage is the message size from which transferTimeout is added.
	largeMessage = 64 << 10
	// pollRetryDelay is the delay after a failed poll, and pushRetryDelay that
	// after a failed push.
	pollRetryDelay = 200 * time.Millisecond
	pushRetryDelay = 200 * time.Millisecond
	// maxMismatches is the number of consecutive polls that return no changes
	// but a sum that differs from that of this instance's table, after which the
	// tables are compared. A single such poll may be caused by a change in transfer.
	maxMismatches = 2
)

// link is the state of the exchange with a neighbour that this instance has
// chosen. It receives the neighbour's changes by long polls and pushes the
// changes of this instance. The fields are guarded by Node.mu.
type link struct {
	node   *Node
	id     model.InstanceID
	cancel context.CancelFunc

	// epoch is the neighbour's incarnation, and cursor the value of its change
	// counter up to which its records have been received.
	epoch  model.Incarnation
	cursor uint64
	// synced means that the tables have been compared since the neighbour
	// started and need no new comparison. pushedSeq is the value of this
	// instance's change counter up to which the neighbour has its records.
	synced     bool
	pushedSeq  uint64
	mismatches int
	// sentDigests has the digests of this instance's topics that the neighbour
	// has received, and peerDigests those of the neighbour's topics.
	sentDigests, peerDigests digestSet
	wantDigests              bool
	sent                     sentNews
}

func newLink(n *Node, id model.InstanceID, cancel context.CancelFunc) *link {
	return &link{node: n, id: id, cancel: cancel, peerDigests: digestSet{}, wantDigests: true, sent: sentNews{}}
}

func (l *link) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.poll(ctx); err != nil {
			sleep(ctx, pollRetryDelay)
		}
	}
}

func (l *link) pushLoop(ctx context.Context) {
	n := l.node
	for ctx.Err() == nil {
		n.mu.Lock()
		changed := n.changed
		n.mu.Unlock()
		heldBack, err := l.push(ctx)
		if err != nil {
			sleep(ctx, pushRetryDelay)
			continue
		}
		if waitForChange(ctx, changed, heldBack) {
			sleep(ctx, coalesceDelay)
		}
	}
}

// poll requests the records and news that this instance lacks from the neighbour.
func (l *link) poll(ctx context.Context) error {
	args := l.pollArgs()
	wait := time.Duration(args.WaitMS) * time.Millisecond
	if args.Buckets != nil {
		wait = transferTimeout
	}
	var reply ExchangeReply
	if err := l.node.exchange(ctx, l.id, wait, args, &reply); err != nil {
		l.resetSentDigests()
		return err
	}
	l.node.mergeMembers(reply.Members, l.id)
	l.node.mergeNews(reply.News, l.id)
	l.recordDigests(&reply)
	if reply.Buckets != nil {
		return l.finishSync(ctx, &reply)
	}
	l.advanceCursor(args, &reply)
	return nil
}

func (l *link) pollArgs() *ExchangeArgs {
	own := l.node.ownDigests()
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	args := l.args(own)
	args.WantDigests = l.wantDigests
	if l.synced {
		args.WaitMS = uint16(pollWait.Milliseconds())
	} else {
		args.Buckets = l.node.table.Digest()
	}
	return args
}

// args returns the arguments that polls and pushes have in common.
func (l *link) args(own digestSet) *ExchangeArgs {
	args := &ExchangeArgs{
		From:    l.node.table.Self().ID,
		Epoch:   l.epoch,
		Cursor:  l.cursor,
		Topics:  own.hash(),
		Digests: own.changedFrom(l.sentDigests),
	}
	l.sentDigests = own
	return args
}

func (l *link) resetSentDigests() {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	l.sentDigests = nil
}

func (l *link) recordDigests(reply *ExchangeReply) {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	if reply.NeedDigests {
		l.sentDigests = nil
	}
	for _, d := range reply.Digests {
		l.peerDigests.add(d.Name, d.Digest)
	}
	for _, item := range reply.News {
		l.peerDigests.add(item.Name, item.Digest)
	}
	l.wantDigests = l.peerDigests.hash() != reply.Topics
}

// finishSync completes a comparison of the tables: after the neighbour's records
// have been merged, it sends the records that the neighbour lacks.
func (l *link) finishSync(ctx context.Context, reply *ExchangeReply) error {
	n := l.node
	n.mu.Lock()
	records, more := n.table.Differing(reply.Buckets)
	upTo := n.table.Seq()
	n.mu.Unlock()
	if err := n.pushRecords(ctx, l.id, records); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l.epoch = reply.Epoch
	l.cursor = reply.Cursor
	l.pushedSeq = upTo
	l.mismatches = 0
	l.synced = !more && !reply.More
	n.broadcastLocked()
	return nil
}

// advanceCursor records up to which change the neighbour's records have been
// received. It requires a new comparison of the tables if the neighbour was
// restarted or the sums keep differing.
func (l *link) advanceCursor(args *ExchangeArgs, reply *ExchangeReply) {
	n := l.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if reply.Epoch != 0 {
		l.synced = false
		return
	}
	if reply.NeedDigests {
		return
	}
	l.cursor = reply.Cursor
	idle := len(reply.Members) == 0 && len(reply.News) == 0
	if !idle || reply.Sum == n.table.Sum() {
		l.mismatches = 0
		return
	}
	l.mismatches++
	if l.mismatches >= maxMismatches {
		l.synced = false
	}
}

// push sends the records and news that the neighbour lacks. It reports whether
// some news was held back.
func (l *link) push(ctx context.Context) (heldBack bool, err error) {
	n := l.node
	n.mu.Lock()
	if !l.synced {
		n.mu.Unlock()
		return false, nil
	}
	members, upTo := n.table.Since(l.pushedSeq, l.id)
	known, sent := maps.Clone(l.peerDigests), maps.Clone(l.sent)
	n.mu.Unlock()

	news, heldBack := n.newsFor(known, sent, members)
	if len(members) > 0 || len(news) > 0 {
		if err := l.send(ctx, members, news); err != nil {
			return false, err
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l.pushedSeq = max(l.pushedSeq, upTo)
	l.sent = sent
	return heldBack, nil
}

func (l *link) send(ctx context.Context, members []Member, news []TopicNews) error {
	n := l.node
	own := n.ownDigests()
	n.mu.Lock()
	args := l.args(own)
	n.mu.Unlock()
	args.Push = true
	args.Members = members
	args.News = news
	n.stats.pushes.Add(1)
	var reply ExchangeReply
	if err := n.exchange(ctx, l.id, extraTimeout(args), args, &reply); err != nil {
		l.resetSentDigests()
		return err
	}
	n.mergeMembers(reply.Members, l.id)
	l.recordDigests(&reply)
	return nil
}

// extraTimeout returns the time that is added to callTimeout for a push.
func extraTimeout(args *ExchangeArgs) time.Duration {
	size := totalSize(args.Members)
	for _, item := range args.News {
		size += len(item.News)
	}
	if size < largeMessage {
		return 0
	}
	return transferTimeout
}

// exchange calls Exchange at a member and records whether it responded. The
// timeout is wait in addition to callTimeout.
func (n *Node) exchange(ctx context.Context, to model.InstanceID, wait time.Duration, args *ExchangeArgs, reply *ExchangeReply) error {
	args.To = recipientHash(to)
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	err := n.opts.Caller.Call(callCtx, to, methodExchange, args, reply)
	if ctx.Err() == nil {
		n.observe(time.Now(), to, err)
	}
	return err
}

// observe records whether a member responded to a call. For a failed call, at is the
// time from which the member counts as failing.
func (n *Node) observe(at time.Time, id model.InstanceID, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case err == nil:
		n.table.RecordAnswer(id)
	case n.monitors(id):
		n.table.RecordFailure(at, id)
	}
}

// pushRecords pushes records to a member that need not be a neighbour.
func (n *Node) pushRecords(ctx context.Context, to model.InstanceID, records []Member) error {
	if len(records) == 0 {
		return nil
	}
	var reply ExchangeReply
	args := &ExchangeArgs{From: n.self().ID, Push: true, Members: records}
	args.Topics = n.ownDigests().hash()
	if err := n.exchange(ctx, to, extraTimeout(args), args, &reply); err != nil {
		return err
	}
	n.mergeMembers(reply.Members, to)
	return nil
}

// flush waits until all neighbours that respond have this instance's record or
// the context ends.
func (n *Node) flush(ctx context.Context) {
	for ctx.Err() == nil && !n.flushed() {
		sleep(ctx, coalesceDelay)
	}
}

func (n *Node) flushed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if l.synced && l.pushedSeq < n.table.self.changed && !n.table.Failing(l.id) {
			return false
		}
	}
	return true
}
