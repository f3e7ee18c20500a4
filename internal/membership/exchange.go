package membership

import (
	"context"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// coalesceDelay is how long a push waits for more changes to send with it.
	coalesceDelay = 5 * time.Millisecond
	// replyDelay is how long the reply to a poll waits for more changes. It is
	// longer than coalesceDelay, so that a peer that pushes the same change
	// first is not sent it as well.
	replyDelay = 20 * time.Millisecond
	// resendAfter is the time after which the same news is sent again to an
	// instance whose digest still lacks it, for example because it rejected it.
	resendAfter = time.Second
	// inboundTTL is how long an inboundPeer is kept after its last call. It
	// covers several long polls.
	inboundTTL = 15 * time.Second
	// maxInbound is the maximum number of inbound peers that are kept.
	maxInbound = 1024
)

// inboundPeer is the state kept for an instance that calls Exchange here.
type inboundPeer struct {
	lastSeen time.Time
	digests  digestSet
	sent     sentNews
}

// sentNews has the last news of each topic that was sent to an instance, by
// topic name.
type sentNews map[string]sentItem

type sentItem struct {
	at   time.Time
	hash uint64
}

// Exchange serves a poll or push of another instance.
func (n *Node) Exchange(args *ExchangeArgs, reply *ExchangeReply) error {
	n.stats.exchanges.Add(1)
	if args.To != recipientHash(n.opts.Self.ID) {
		return errOtherInstance
	}
	n.mergeMembers(args.Members, args.From)
	mergedTopics := n.mergeNews(args.News, args.From)
	digestsKnown := n.recordInbound(args)
	self := n.self()
	reply.Cursor = args.Cursor
	if args.Epoch != self.Incarnation {
		reply.Epoch = self.Incarnation
	}
	switch {
	case args.Push:
		n.answerPush(args, self, reply)
	case !digestsKnown:
		reply.NeedDigests = true
	case args.Buckets != nil:
		n.answerSync(args, reply)
	case reply.Epoch == 0:
		n.answerPoll(args, reply)
	}
	n.addDigests(args, mergedTopics, reply)
	return nil
}

func (n *Node) self() Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Self()
}

// answerPush replies to a push. A sender with an older record of this instance,
// for example one that says that it is dead, receives the current one.
func (n *Node) answerPush(args *ExchangeArgs, self Member, reply *ExchangeReply) {
	for _, m := range args.Members {
		if m.ID == self.ID && compare(self, m) > 0 {
			reply.Members = []Member{self}
		}
	}
}

// addDigests adds to a reply the table's sum and the topic digests that the
// sender needs.
func (n *Node) addDigests(args *ExchangeArgs, mergedTopics []string, reply *ExchangeReply) {
	own := n.ownDigests()
	reply.Topics = own.hash()
	if args.WantDigests {
		reply.Digests = own.changedFrom(nil)
	} else {
		for _, name := range mergedTopics {
			reply.Digests = append(reply.Digests, TopicDigest{name, []byte(own[name])})
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	reply.Sum = n.table.Sum()
}

// recordInbound updates the state kept for the sender of a call. It reports
// whether the current digests of all its topics are known.
func (n *Node) recordInbound(args *ExchangeArgs) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.RecordAnswer(args.From)
	p := n.inbound[args.From]
	if p == nil {
		p = &inboundPeer{digests: digestSet{}, sent: sentNews{}}
		if len(n.inbound) < maxInbound {
			n.inbound[args.From] = p
		}
	}
	p.lastSeen = time.Now()
	for _, d := range args.Digests {
		p.digests.add(d.Name, d.Digest)
	}
	return p.digests.hash() == args.Topics
}

func (n *Node) answerSync(args *ExchangeArgs, reply *ExchangeReply) {
	n.stats.syncs.Add(1)
	n.mu.Lock()
	reply.Epoch = n.table.Self().Incarnation
	reply.Members, reply.More = n.table.Differing(args.Buckets)
	reply.Buckets = n.table.Digest()
	reply.Cursor = n.table.Seq()
	n.mu.Unlock()
	reply.News, _ = n.newsForInbound(args.From, reply.Members)
}

// answerPoll replies to a poll when there is something that the sender lacks, or
// when WaitMS has passed.
func (n *Node) answerPoll(args *ExchangeArgs, reply *ExchangeReply) {
	ctx, cancel := context.WithTimeout(callContext(args.ctx), time.Duration(args.WaitMS)*time.Millisecond)
	defer cancel()
	for {
		n.mu.Lock()
		changed := n.changed
		reply.Members, reply.Cursor = n.table.Since(reply.Cursor, args.From)
		n.mu.Unlock()
		news, heldBack := n.newsForInbound(args.From, reply.Members)
		reply.News = news
		if len(reply.Members) > 0 || len(news) > 0 || ctx.Err() != nil {
			return
		}
		if waitForChange(ctx, changed, heldBack) {
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

// waitForChange waits until changed is closed, the context ends or, if some news
// was held back, resendAfter has passed. It reports whether there was a change.
func waitForChange(ctx context.Context, changed <-chan struct{}, heldBack bool) bool {
	var resend <-chan time.Time
	if heldBack {
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

// mergeMembers merges records from another instance and passes changes on.
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

// mergeNews merges news into its topics, passes changes on and returns the names
// of the topics.
func (n *Node) mergeNews(list []TopicNews, from model.InstanceID) []string {
	var names []string
	anyChanged := false
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
		anyChanged = anyChanged || changed
	}
	if anyChanged {
		n.broadcast()
	}
	return names
}

func (n *Node) ownDigests() digestSet {
	set := make(digestSet, len(n.topicNames))
	for _, name := range n.topicNames {
		set.add(name, n.topics[name].Digest())
	}
	return set
}

// newsFor returns the news that an instance with the given digests lacks. It
// reports whether some was held back because it was sent less than resendAfter
// ago or does not fit into one message with the given records. Topics that the
// instance does not have are left out.
func (n *Node) newsFor(known digestSet, sent sentNews, records []Member) (list []TopicNews, heldBack bool) {
	now := time.Now()
	remaining := MaxNewsBytes - totalSize(records)
	for _, name := range n.topicNames {
		knownDigest, ok := known[name]
		digest := n.topics[name].Digest()
		if !ok || string(digest) == knownDigest {
			continue
		}
		news := n.topics[name].News([]byte(knownDigest))
		if news == nil {
			continue
		}
		if len(news) > remaining {
			heldBack = true
			continue
		}
		item := sentItem{now, xxhash.Sum64(news) ^ xxhash.Sum64String(knownDigest)}
		if last := sent[name]; last.hash == item.hash && now.Sub(last.at) < resendAfter {
			heldBack = true
			continue
		}
		sent[name] = item
		remaining -= len(news)
		list = append(list, TopicNews{name, digest, news})
	}
	return list, heldBack
}

func (n *Node) newsForInbound(id model.InstanceID, records []Member) ([]TopicNews, bool) {
	n.mu.Lock()
	p := n.inbound[id]
	if p == nil {
		n.mu.Unlock()
		return nil, false
	}
	known, sent := maps.Clone(p.digests), maps.Clone(p.sent)
	n.mu.Unlock()
	list, heldBack := n.newsFor(known, sent, records)
	n.mu.Lock()
	p.sent = sent
	n.mu.Unlock()
	return list, heldBack
}
