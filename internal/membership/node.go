package membership

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jujubestile.example/jujubestile/internal/instancelist"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/peer"
)

const (
	tickInterval = 100 * time.Millisecond
	// expireInterval is the interval between calls of Expirer.Expire.
	expireInterval = time.Minute
	// defaultListInterval is the default of Options.ListInterval.
	defaultListInterval = time.Second
	// listReaders is the largest number of members at which all instances read
	// the platform's list once per ListInterval. In a larger fleet all but the
	// relays read it less often, so that the total rate of reads does not grow
	// with the fleet; changes of endpoints then reach the others as notices.
	listReaders = 50
	listTimeout = 4 * time.Second
	// viewAge is the age up to which View returns a cached view although
	// records have changed, if TopologySeq and Distrusted have not.
	viewAge = 100 * time.Millisecond
)

// Expirer is implemented by topics that discard old state. A Node calls Expire
// once a minute.
type Expirer interface {
	Expire(now time.Time)
}

// Options configures a Node.
type Options struct {
	// Self is the record of this instance. Its Incarnation is the start time
	// of the process.
	Self Member
	// Caller calls other instances. It gets their addresses from Node.Resolve.
	Caller peer.Caller
	// Source provides the platform's list of instances and endpoints.
	Source instancelist.Source
	// ListInterval is the interval between reads of the platform's list. If it
	// is 0, the default of 1 s applies, which is chosen because a leaving endpoint
	// must not receive requests for more than 3 s.
	ListInterval time.Duration
	// Topics are the topics whose news is spread by gossip.
	Topics []Topic
	// Rand randomizes retries, pings and the times of deferred updates.
	Rand *rand.Rand
	// OnListing is called with the result of each read of the platform's list.
	// It may be nil.
	OnListing func(instancelist.Listing, error)
	// OnEvent is called with events for operators. It must not block: it
	// may be called with locks held. It may be nil.
	OnEvent func(Event)
}

// Event is an event of the membership that an operator may need to know.
type Event struct {
	Kind EventKind
	// Member is the suspected member, the sender of the refuted suspicion or of
	// the malformed news, or the superseded instance. Other events leave it empty.
	Member model.InstanceID
	// Detail describes the event in words. It may be empty.
	Detail string
}

// EventKind identifies a kind of event.
type EventKind string

// The kinds of events.
const (
	EventSuspected  EventKind = "member suspected"
	EventRefuted    EventKind = "own suspicion refuted"
	EventDistrust   EventKind = "own measurements distrusted"
	EventTrust      EventKind = "own measurements trusted again"
	EventPaused     EventKind = "process was paused"
	EventSuperseded EventKind = "later incarnation of this instance seen"
	EventMalformed  EventKind = "malformed news"
)

// Node is the membership of one instance: its member table and the gossip that
// keeps the table up to date. It also serves the gossip calls of other
// instances and must be registered with the RPC server as ServiceName.
type Node struct {
	opts       Options
	topics     map[string]Topic
	topicNames []string
	stats      nodeCounters

	mu       sync.Mutex
	table    *Table
	deferred deferredUpdates
	links    map[model.InstanceID]*link
	// linksTopologySeq is the table's topologySeq for which links was adjusted.
	linksTopologySeq uint64
	// inbound has the other instances that call Exchange here. Most have chosen
	// this one as a neighbour.
	inbound map[model.InstanceID]*inboundPeer
	// changed is closed and replaced when records or topics may have changed.
	changed chan struct{}
	retries map[model.InstanceID]*retry
	// probing has the members with a ping in progress, and confirming those
	// for which confirm runs.
	probing map[model.InstanceID]bool
	// lastPing is when each monitored member last sent or responded to a ping.
	lastPing map[model.InstanceID]time.Time
	// sampled is a random member that is monitored until the next one is chosen.
	sampled      model.InstanceID
	confirming   map[model.InstanceID]bool
	lastReported reportedState
	view         *View

	running sync.WaitGroup
}

type nodeCounters struct {
	exchanges, pushes, pings, suspicions, refutations, syncs, malformed atomic.Int64
}

// NewNode returns a Node that is inactive until Run is called.
func NewNode(opts Options) *Node {
	if opts.OnListing == nil {
		opts.OnListing = func(instancelist.Listing, error) {}
	}
	if opts.ListInterval == 0 {
		opts.ListInterval = defaultListInterval
	}
	if opts.OnEvent == nil {
		opts.OnEvent = func(Event) {}
	}
	n := &Node{
		opts:    opts,
		topics:  map[string]Topic{},
		table:   NewTable(time.Now(), opts.Self),
		links:   map[model.InstanceID]*link{},
		inbound: map[model.InstanceID]*inboundPeer{},
		changed: make(chan struct{}),
		retries: map[model.InstanceID]*retry{},

		lastPing:   map[model.InstanceID]time.Time{},
		probing:    map[model.InstanceID]bool{},
		confirming: map[model.InstanceID]bool{},
	}
	for _, t := range opts.Topics {
		n.topics[t.Name()] = t
		n.topicNames = append(n.topicNames, t.Name())
	}
	slices.Sort(n.topicNames)
	return n
}

// Run runs the gossip and the failure detection until the context ends.
func (n *Node) Run(ctx context.Context) {
	n.running.Go(func() { n.listLoop(ctx) })
	n.running.Go(func() { n.pingLoop(ctx) })
	n.running.Go(func() { n.reachLoop(ctx) })
	n.tickLoop(ctx)
	n.running.Wait()
}

// Resolve returns the address at which an instance accepts calls, for a
// peer.Pool. The table takes precedence over the platform's list, which lags
// behind it, unless the instance is dead: a new process with the same ID may
// have another address.
func (n *Node) Resolve(id model.InstanceID) (addr netip.AddrPort, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.table.rows[id]
	known := r != nil && r.member.PeerAddr.IsValid()
	if known && r.member.Health != HealthDead {
		return r.member.PeerAddr, true
	}
	if e, ok := n.table.listing[id]; ok {
		return e.PeerAddr, true
	}
	if known {
		return r.member.PeerAddr, true
	}
	return netip.AddrPort{}, false
}

// View returns the current view. It is shared and must not be modified.
func (n *Node) View() *View {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	v := n.view
	switch {
	case v == nil, v.TopologySeq != n.table.topologySeq, v.Distrusted != n.table.Distrusted():
	case v.Seq == n.table.seq, now.Sub(v.CreatedAt) < viewAge:
		return v
	}
	v = n.table.View(now)
	n.view = v
	return v
}

// IsRelay reports whether this instance watches the store for its region.
func (n *Node) IsRelay() bool { return n.View().IsRelay() }

// Notify sends the changes of a topic to the neighbours without delay. Changes of
// other topics and of records are sent with them.
func (n *Node) Notify(string) { n.broadcast() }

func (n *Node) broadcast() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.broadcastLocked()
}

func (n *Node) broadcastLocked() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// update changes this instance's record, including any deferred updates, and
// sends it to the neighbours without delay.
func (n *Node) update(edit func(*Member)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.UpdateSelf(time.Now(), func(m *Member) {
		n.deferred.apply(m)
		edit(m)
	})
	n.broadcastLocked()
}

// Drain announces that this instance accepts no new callers.
func (n *Node) Drain() { n.update(func(m *Member) { m.Leaving, m.Starting = true, false }) }

// Undrain reverts Drain, or announces that a starting instance is ready.
func (n *Node) Undrain() { n.update(func(m *Member) { m.Leaving, m.Starting = false, false }) }

// SetSuccessor announces which instance has taken over the ledger records.
func (n *Node) SetSuccessor(id model.InstanceID) {
	n.update(func(m *Member) { m.Successor = id })
}

// Leave announces that the process ends, so that it is declared dead without a
// preceding suspicion. It waits until the neighbours have the record or the
// context ends.
func (n *Node) Leave(ctx context.Context) {
	n.update(func(m *Member) {
		m.Leaving = true
		m.Health = HealthDead
	})
	n.flush(ctx)
}

// SetKeyPrefix announces the prefix of the idempotency keys that this instance
// accepts. An urgent change, for example after the loss of the witness, is sent
// without delay; other changes are deferred as DeferredUpdateInterval says.
func (n *Node) SetKeyPrefix(prefix string, urgent bool) {
	if urgent {
		n.update(func(m *Member) { m.KeyPrefix = prefix })
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deferred.keyPrefix = &prefix
}

// SetRulesRevision announces the rules revision in force, as a deferred update.
func (n *Node) SetRulesRevision(revision uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deferred.rulesRevision = &revision
}

// SetLoadClass announces the load class, as a deferred update.
func (n *Node) SetLoadClass(class uint8) {
	class = min(class, MaxLoadClass)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deferred.loadClass = &class
}

// Superseded reports whether a later incarnation of this instance has been
// seen.
func (n *Node) Superseded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Superseded()
}

// Stats returns the counters as a map for expvar.Func.
func (n *Node) Stats() map[string]int64 {
	n.mu.Lock()
	links, members, failing := len(n.links), len(n.table.rows), len(n.table.failing)
	paused := n.table.Paused()
	n.mu.Unlock()
	return map[string]int64{
		"members":     int64(members),
		"neighbours":  int64(links),
		"failing":     int64(failing),
		"paused_ms":   paused.Milliseconds(),
		"exchanges":   n.stats.exchanges.Load(),
		"pushes":      n.stats.pushes.Load(),
		"pings":       n.stats.pings.Load(),
		"suspicions":  n.stats.suspicions.Load(),
		"refutations": n.stats.refutations.Load(),
		"syncs":       n.stats.syncs.Load(),
		"malformed":   n.stats.malformed.Load(),
	}
}
