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
	// expireInterval is the time between two calls of Expirer.
	expireInterval = time.Minute
	// defaultListInterval is the time between readings of the platform's list.
	defaultListInterval = time.Second
	// listReaders is how many instances read the list at that interval. In a
	// larger fleet all but the relays read it less often, so that the readings
	// a second do not grow with the fleet; changes of endpoints reach the
	// others as notices.
	listReaders = 50
	listTimeout = 4 * time.Second
	// viewAge is how old a view may be that lacks changes of records only.
	viewAge = 100 * time.Millisecond
)

// Expirer is implemented by topics that drop old news. A Node calls it once a
// minute.
type Expirer interface {
	Expire(now time.Time)
}

// Options are what a Node needs.
type Options struct {
	// Self is the own record. Its Incarnation is the start time.
	Self Member
	// Caller calls other instances. It finds their addresses by Node.Resolve.
	Caller peer.Caller
	// Source is the platform's list.
	Source instancelist.Source
	// ListInterval is the time between two readings of the list. Default 1 s:
	// leaving endpoints are to get no work after 3 s.
	ListInterval time.Duration
	// Topics is the news that gossip carries for other packages.
	Topics []Topic
	// Rand spreads retries.
	Rand *rand.Rand
	// OnListing is called with each reading of the platform's list, or with
	// its error.
	OnListing func(instancelist.Listing, error)
	// OnEvent is called with what an operator may want to know. It must not
	// block.
	OnEvent func(Event)
}

// Event is something that happened to the membership.
type Event struct {
	// Kind is one of the Event constants.
	Kind   EventKind
	Member model.InstanceID
	Detail string
}

// EventKind names a kind of event.
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

// Node is the membership of one instance: its table and the gossip that keeps
// it up to date. It is also the receiver of the calls of other instances, to
// be registered as ServiceName.
type Node struct {
	opts   Options
	topics map[string]Topic
	names  []string
	stats  nodeCounters

	mu    sync.Mutex
	table *Table
	soft  softUpdates
	links map[model.InstanceID]*link
	// linked is the table's shape for which links were chosen.
	linked uint64
	// callers are the instances that have chosen this one as a neighbour.
	callers map[model.InstanceID]*caller
	// changed is closed and replaced when there may be news.
	changed chan struct{}
	retries map[model.InstanceID]*retry
	// probing and confirming are the members with a call in progress.
	probing map[model.InstanceID]bool
	// heard is when each watched member last sent or answered a ping.
	heard map[model.InstanceID]time.Time
	// sampled is a random member that is watched for a while.
	sampled    model.InstanceID
	confirming map[model.InstanceID]bool
	reported   reported
	view       *View

	running sync.WaitGroup
}

type nodeCounters struct {
	exchanges, pushes, pings, suspicions, refutations, syncs, malformed atomic.Int64
}

// NewNode returns a Node that does nothing until Run.
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
		callers: map[model.InstanceID]*caller{},
		changed: make(chan struct{}),
		retries: map[model.InstanceID]*retry{},

		heard:      map[model.InstanceID]time.Time{},
		probing:    map[model.InstanceID]bool{},
		confirming: map[model.InstanceID]bool{},
	}
	for _, t := range opts.Topics {
		n.topics[t.Name()] = t
		n.names = append(n.names, t.Name())
	}
	slices.Sort(n.names)
	return n
}

// Run gossips until the context ends.
func (n *Node) Run(ctx context.Context) {
	n.running.Go(func() { n.listLoop(ctx) })
	n.running.Go(func() { n.pingLoop(ctx) })
	n.running.Go(func() { n.reachLoop(ctx) })
	n.tickLoop(ctx)
	n.running.Wait()
}

// Resolve returns where an instance accepts calls, for a peer.Pool. The table
// comes before the platform's list, which lags, unless the instance is dead:
// its successor may have another address.
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

// View returns the present view. It is shared and must not be changed.
func (n *Node) View() *View {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	v := n.view
	switch {
	case v == nil, v.TopologySeq != n.table.shape, v.Distrusted != n.table.Distrusted():
	case v.Seq == n.table.seq, now.Sub(v.CreatedAt) < viewAge:
		return v
	}
	v = n.table.View(now)
	n.view = v
	return v
}

// IsRelay reports whether this instance watches the store for its region.
func (n *Node) IsRelay() bool { return n.View().IsRelay() }

// Notify tells all neighbours at once what they lack of a topic.
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

// update changes the own record and tells all neighbours at once.
func (n *Node) update(edit func(*Member)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.UpdateSelf(time.Now(), func(m *Member) {
		n.soft.apply(m)
		edit(m)
	})
	n.broadcastLocked()
}

// Drain announces that this instance takes no new callers.
func (n *Node) Drain() { n.update(func(m *Member) { m.Leaving = true }) }

// Undrain withdraws Drain.
func (n *Node) Undrain() { n.update(func(m *Member) { m.Leaving = false }) }

// SetSuccessor announces which instance has taken over the ledger records.
func (n *Node) SetSuccessor(id model.InstanceID) {
	n.update(func(m *Member) { m.Successor = id })
}

// Leave announces that the process ends, so that nobody has to suspect it. It
// waits until the neighbours know or the context ends.
func (n *Node) Leave(ctx context.Context) {
	n.update(func(m *Member) {
		m.Leaving = true
		m.Health = HealthDead
	})
	n.flush(ctx)
}

// SetKeyPrefix announces the prefix of keys that this instance accepts. An
// urgent one is sent at once, for example if the witness was lost. The others
// wait for SoftInterval.
func (n *Node) SetKeyPrefix(prefix string, urgent bool) {
	if urgent {
		n.update(func(m *Member) { m.KeyPrefix = prefix })
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.soft.keyPrefix = &prefix
}

// SetRulesRevision announces the rules revision in force, within SoftInterval.
func (n *Node) SetRulesRevision(revision uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.soft.rulesRevision = &revision
}

// SetLoadClass announces the load class, within SoftInterval.
func (n *Node) SetLoadClass(class uint8) {
	class = min(class, MaxLoadClass)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.soft.loadClass = &class
}

// Superseded reports whether a later incarnation of this instance runs.
func (n *Node) Superseded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Superseded()
}

// Stats returns the counters in a form for expvar.Func.
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
