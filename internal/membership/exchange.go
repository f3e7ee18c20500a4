package membership

import (
	"context"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// coalesce is how long news waits for more news.
	coalesce = 5 * time.Millisecond
	// replyDelay is how long the answer to a poll waits for more news. It is
	// longer than coalesce, so that a caller that pushes the same news first is
	// not sent it as well.
	replyDelay = 20 * time.Millisecond
	// resendAfter is the time after which the same news is sent again to an
	// instance that did not take it, for example because it refused it.
	resendAfter = time.Second
	// callerTTL is how long the state of a caller is kept. It covers several
	// long polls.
	callerTTL  = 15 * time.Second
	maxCallers = 1024
)

// caller is what an instance knows about one that polls it.
type caller struct {
	seen    time.Time
	digests digestSet
	sent    sentNews
}

// sentNews remembers the last news of each topic that was sent to an instance.
type sentNews map[string]sentItem

type sentItem struct {
	at   time.Time
	hash uint64
}

// Exchange answers a neighbour.
func (n *Node) Exchange(args *ExchangeArgs, reply *ExchangeReply) error {
	n.stats.exchanges.Add(1)
	if args.To != toHash(n.opts.Self.ID) {
		return errOtherInstance
	}
	n.mergeMembers(args.Members, args.From)
	merged := n.mergeNews(args.News, args.From)
	current := n.noteCaller(args)
	self := n.self()
	reply.Cursor = args.Cursor
	if args.Epoch != self.Incarnation {
		reply.Epoch = self.Incarnation
	}
	switch {
	case args.Push:
		n.acknowledge(args, self, reply)
	case !current:
		reply.NeedDigests = true
	case args.Buckets != nil:
		n.answerSync(args, reply)
	case reply.Epoch == 0:
		n.answerPoll(args, reply)
	}
	n.describe(args, merged, reply)
	return nil
}

func (n *Node) self() Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Self()
}

// acknowledge answers a push. If the sender has an older record of this
// instance, for example one that calls it dead, it gets the present one.
func (n *Node) acknowledge(args *ExchangeArgs, self Member, reply *ExchangeReply) {
	for _, m := range args.Members {
		if m.ID == self.ID && compare(self, m) > 0 {
			reply.Members = []Member{self}
		}
	}
}

// describe adds the sum and the digests that the caller needs.
func (n *Node) describe(args *ExchangeArgs, merged []string, reply *ExchangeReply) {
	own := n.ownDigests()
	reply.Topics = own.hash()
	if args.WantDigests {
		reply.Digests = own.changedFrom(nil)
	} else {
		for _, name := range merged {
			reply.Digests = append(reply.Digests, TopicDigest{name, []byte(own[name])})
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	reply.Sum = n.table.Sum()
}

// noteCaller updates what is known about a caller. It reports whether the
// digests of the caller's topics are known.
func (n *Node) noteCaller(args *ExchangeArgs) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.RecordAnswer(args.From)
	c := n.callers[args.From]
	if c == nil {
		c = &caller{digests: digestSet{}, sent: sentNews{}}
		if len(n.callers) < maxCallers {
			n.callers[args.From] = c
		}
	}
	c.seen = time.Now()
	for _, d := range args.Digests {
		c.digests.set(d.Name, d.Digest)
	}
	return c.digests.hash() == args.Topics
}

func (n *Node) answerSync(args *ExchangeArgs, reply *ExchangeReply) {
	n.stats.syncs.Add(1)
	n.mu.Lock()
	reply.Epoch = n.table.Self().Incarnation
	reply.Members, reply.More = n.table.Differing(args.Buckets)
	reply.Buckets = n.table.Digest()
	reply.Cursor = n.table.Seq()
	n.mu.Unlock()
	reply.News, _ = n.newsForCaller(args.From, reply.Members)
}

// answerPoll waits until there is something that the caller lacks.
func (n *Node) answerPoll(args *ExchangeArgs, reply *ExchangeReply) {
	ctx, cancel := context.WithTimeout(callContext(args.ctx), time.Duration(args.WaitMS)*time.Millisecond)
	defer cancel()
	for {
		n.mu.Lock()
		changed := n.changed
		reply.Members, reply.Cursor = n.table.Since(reply.Cursor, args.From)
		n.mu.Unlock()
		news, later := n.newsForCaller(args.From, reply.Members)
		reply.News = news
		if len(reply.Members) > 0 || len(news) > 0 || ctx.Err() != nil {
			return
		}
		if waitFor(ctx, changed, later) {
			sleep(ctx, replyDelay)
		}
	}
}

func callContext(ctx context.Context) context.Context {
	if ctx == nil {
		return context.Background()
	}
	return ctx
}

// waitFor waits for a change, or for resendAfter if some news was held back.
// It reports whether there was a change.
func waitFor(ctx context.Context, changed <-chan struct{}, later bool) bool {
	var resend <-chan time.Time
	if later {
		timer := time.NewTimer(resendAfter)
		defer timer.Stop()
		resend = timer.C
	}
	select {
	case <-changed:
		return true
	case <-resend:
	case <-ctx.Done():
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// mergeMembers takes records from a neighbour and passes on what is new.
func (n *Node) mergeMembers(members []Member, from model.InstanceID) {
	if len(members) == 0 {
		return
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	version := n.table.Self().Version
	changed := false
	for _, m := range members {
		changed = n.table.Merge(now, m, from) || changed
	}
	if n.table.Self().Version != version {
		n.stats.refutations.Add(1)
		n.opts.OnEvent(Event{Kind: EventRefuted, Member: from})
	}
	if changed {
		n.broadcastLocked()
	}
}

// mergeNews passes news to its topics and returns the names of these.
func (n *Node) mergeNews(list []TopicNews, from model.InstanceID) []string {
	var names []string
	passOn := false
	for _, item := range list {
		topic := n.topics[item.Name]
		if topic == nil {
			continue
		}
		names = append(names, item.Name)
		changed, err := topic.Merge(item.News)
		if err != nil {
			n.stats.malformed.Add(1)
			n.opts.OnEvent(Event{Kind: EventMalformed, Member: from, Detail: item.Name + ": " + err.Error()})
		}
		passOn = passOn || changed
	}
	if passOn {
		n.broadcast()
	}
	return names
}

func (n *Node) ownDigests() digestSet {
	set := make(digestSet, len(n.names))
	for _, name := range n.names {
		set.set(name, n.topics[name].Digest())
	}
	return set
}

// newsFor returns what an instance with the given digests lacks, and whether
// some of it was held back because it was sent a moment ago or does not fit
// into a message with the given records. Topics that the instance does not
// have are left out.
func (n *Node) newsFor(known digestSet, sent sentNews, records []Member) (list []TopicNews, later bool) {
	now := time.Now()
	room := MaxNewsBytes - totalSize(records)
	for _, name := range n.names {
		theirs, ok := known[name]
		digest := n.topics[name].Digest()
		if !ok || string(digest) == theirs {
			continue
		}
		news := n.topics[name].News([]byte(theirs))
		if news == nil {
			continue
		}
		if len(news) > room {
			later = true
			continue
		}
		item := sentItem{now, xxhash.Sum64(news) ^ xxhash.Sum64String(theirs)}
		if last := sent[name]; last.hash == item.hash && now.Sub(last.at) < resendAfter {
			later = true
			continue
		}
		sent[name] = item
		room -= len(news)
		list = append(list, TopicNews{name, digest, news})
	}
	return list, later
}

func (n *Node) newsForCaller(id model.InstanceID, records []Member) ([]TopicNews, bool) {
	n.mu.Lock()
	c := n.callers[id]
	if c == nil {
		n.mu.Unlock()
		return nil, false
	}
	known, sent := maps.Clone(c.digests), maps.Clone(c.sent)
	n.mu.Unlock()
	list, later := n.newsFor(known, sent, records)
	n.mu.Lock()
	c.sent = sent
	n.mu.Unlock()
	return list, later
}
