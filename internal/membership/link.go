package membership

import (
	"context"
	"maps"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// pollWait is how long a neighbour holds a poll without news. It must be
	// below the idle timeout of connections.
	pollWait = 5 * time.Second
	// callTimeout bounds a call that is answered at once. transferTimeout is
	// added if a message may be large: 1 MB takes up to ten round trips of
	// 70 ms on a new connection between regions. It is not added to polls that
	// wait, because they also detect silent neighbours; one that fails while
	// large news is on its way is followed by one with all of pollWait for it.
	callTimeout     = time.Second
	transferTimeout = 3 * time.Second
	// largeMessage is the size from which transferTimeout is added.
	largeMessage = 64 << 10
	// pollRetry is the pause after a failed poll, and pushRetry that after a
	// failed push.
	pollRetry = 200 * time.Millisecond
	pushRetry = 200 * time.Millisecond
	// maxMismatches is how many idle polls in a row may show another sum than
	// the own one before the tables are compared. One alone may come from a
	// change that is still on its way.
	maxMismatches = 2
)

// link is this instance's side of the exchange with one neighbour that it has
// chosen. A poll waits at the neighbour for its news; own news is pushed.
// Fields are guarded by Node.mu.
type link struct {
	node   *Node
	id     model.InstanceID
	cancel context.CancelFunc

	// epoch and cursor say what was received from the neighbour.
	epoch  model.Incarnation
	cursor uint64
	// synced means that the tables have been compared since the neighbour
	// started; pushed is the value of the own change counter up to which the
	// neighbour has the own records.
	synced     bool
	pushed     uint64
	mismatches int
	// told are the own digests that the neighbour has, known the neighbour's.
	told, known digestSet
	wantDigests bool
	sent        sentNews
}

func newLink(n *Node, id model.InstanceID, cancel context.CancelFunc) *link {
	return &link{node: n, id: id, cancel: cancel, known: digestSet{}, wantDigests: true, sent: sentNews{}}
}

func (l *link) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.poll(ctx); err != nil {
			sleep(ctx, pollRetry)
		}
	}
}

func (l *link) pushLoop(ctx context.Context) {
	n := l.node
	for ctx.Err() == nil {
		n.mu.Lock()
		changed := n.changed
		n.mu.Unlock()
		later, err := l.push(ctx)
		if err != nil {
			sleep(ctx, pushRetry)
			continue
		}
		if waitFor(ctx, changed, later) {
			sleep(ctx, coalesce)
		}
	}
}

// poll asks the neighbour for what this instance lacks.
func (l *link) poll(ctx context.Context) error {
	args := l.pollArgs()
	wait := time.Duration(args.WaitMS) * time.Millisecond
	if args.Buckets != nil {
		wait = transferTimeout
	}
	var reply ExchangeReply
	if err := l.node.exchange(ctx, l.id, wait, args, &reply); err != nil {
		l.forgetTold()
		return err
	}
	l.node.mergeMembers(reply.Members, l.id)
	l.node.mergeNews(reply.News, l.id)
	l.learnDigests(&reply)
	if reply.Buckets != nil {
		return l.finishSync(ctx, &reply)
	}
	l.advance(args, &reply)
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

// args returns the fields that polls and pushes share.
func (l *link) args(own digestSet) *ExchangeArgs {
	args := &ExchangeArgs{
		From:    l.node.table.Self().ID,
		Epoch:   l.epoch,
		Cursor:  l.cursor,
		Topics:  own.hash(),
		Digests: own.changedFrom(l.told),
	}
	l.told = own
	return args
}

func (l *link) forgetTold() {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	l.told = nil
}

func (l *link) learnDigests(reply *ExchangeReply) {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	if reply.NeedDigests {
		l.told = nil
	}
	for _, d := range reply.Digests {
		l.known.set(d.Name, d.Digest)
	}
	for _, item := range reply.News {
		l.known.set(item.Name, item.Digest)
	}
	l.wantDigests = l.known.hash() != reply.Topics
}

// finishSync sends the neighbour the records that it lacks, after the records
// that it sent have been merged.
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
	l.pushed = upTo
	l.mismatches = 0
	l.synced = !more && !reply.More
	n.broadcastLocked()
	return nil
}

// advance notes how far the neighbour's records have been received, and
// detects that the neighbour was restarted or that the tables differ.
func (l *link) advance(args *ExchangeArgs, reply *ExchangeReply) {
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

// push sends the neighbour what it lacks. It reports whether some news was
// held back.
func (l *link) push(ctx context.Context) (later bool, err error) {
	n := l.node
	n.mu.Lock()
	if !l.synced {
		n.mu.Unlock()
		return false, nil
	}
	members, upTo := n.table.Since(l.pushed, l.id)
	known, sent := maps.Clone(l.known), maps.Clone(l.sent)
	n.mu.Unlock()

	news, later := n.newsFor(known, sent, members)
	if len(members) > 0 || len(news) > 0 {
		if err := l.send(ctx, members, news); err != nil {
			return false, err
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l.pushed = max(l.pushed, upTo)
	l.sent = sent
	return later, nil
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
	if err := n.exchange(ctx, l.id, transferTime(args), args, &reply); err != nil {
		l.forgetTold()
		return err
	}
	n.mergeMembers(reply.Members, l.id)
	l.learnDigests(&reply)
	return nil
}

// transferTime returns how much longer than callTimeout a push may take.
func transferTime(args *ExchangeArgs) time.Duration {
	size := totalSize(args.Members)
	for _, item := range args.News {
		size += len(item.News)
	}
	if size < largeMessage {
		return 0
	}
	return transferTimeout
}

// exchange calls a member and records whether it answered.
func (n *Node) exchange(ctx context.Context, to model.InstanceID, wait time.Duration, args *ExchangeArgs, reply *ExchangeReply) error {
	args.To = toHash(to)
	bounded, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	err := n.opts.Caller.Call(bounded, to, methodExchange, args, reply)
	if ctx.Err() == nil {
		n.observe(time.Now(), to, err)
	}
	return err
}

// observe records whether a member answered a call that started, or failed, at
// the given time.
func (n *Node) observe(at time.Time, id model.InstanceID, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case err == nil:
		n.table.RecordAnswer(id)
	case n.watches(id):
		n.table.RecordFailure(at, id)
	}
}

// pushRecords sends records outside of a link.
func (n *Node) pushRecords(ctx context.Context, to model.InstanceID, records []Member) error {
	if len(records) == 0 {
		return nil
	}
	var reply ExchangeReply
	args := &ExchangeArgs{From: n.self().ID, Push: true, Members: records}
	args.Topics = n.ownDigests().hash()
	if err := n.exchange(ctx, to, transferTime(args), args, &reply); err != nil {
		return err
	}
	n.mergeMembers(reply.Members, to)
	return nil
}

// flush waits until all neighbours have the own records or the context ends.
func (n *Node) flush(ctx context.Context) {
	for ctx.Err() == nil && !n.flushed() {
		sleep(ctx, coalesce)
	}
}

func (n *Node) flushed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if l.synced && l.pushed < n.table.self.changed && !n.table.Failing(l.id) {
			return false
		}
	}
	return true
}
