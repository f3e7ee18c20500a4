package capacity

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/peer"
	"jujubestile.example/jujubestile/internal/store"
)

const (
	// tickInterval is how often State.Tick is called. It is far below PauseLimit.
	tickInterval = 100 * time.Millisecond
	// planInterval is the shortest time between two calls of State.Plan. It is
	// a few round trips within a region.
	planInterval = 5 * time.Millisecond
	// minReadInterval is how often the capacity record is read. While listings
	// of the platform confirm the instance, a large record is read less often,
	// so that reads stay below recordBytesPerSecond: a record of 500 owners of
	// 4 services has 30 KB. Changes of the owners are then seen later, at the
	// latest after maxReadInterval.
	minReadInterval = 10 * time.Second
	maxReadInterval = 10 * time.Minute
	// proposeInterval is how often State.Propose is called. That alone makes no
	// call of the store. When it was called every minReadInterval, an instance
	// claimed its first slots up to 10 s after it had its rules.
	proposeInterval = 250 * time.Millisecond
	// recordBytesPerSecond limits the average rate at which one instance reads
	// a large capacity record (see minReadInterval).
	recordBytesPerSecond = 1000
	// fastReadInterval is how often the record is read instead while requests
	// find no slot and a change of the owners is likely: for fastReadPeriod
	// after the start and after an instance of the region has joined or left.
	// Without it, the slots that a stopping instance relinquished would be seen
	// only at the next regular read, some seconds later.
	fastReadInterval = 500 * time.Millisecond
	fastReadPeriod   = 15 * time.Second
	// unmetPeriod is how long after a call of Config.PlanDue requests count as
	// finding no slot, so that the record may be read every fastReadInterval. A
	// loan that can be returned has the same effect, since PlanDue does not
	// tell the two apart.
	unmetPeriod = time.Second
	// storeTimeout is the timeout of one call of the store.
	storeTimeout = 2 * time.Second
	// callTimeout is the timeout of one call of a peer.
	callTimeout = time.Second
	// leaveInterval is how often a leaving instance relinquishes idle slots.
	leaveInterval = 250 * time.Millisecond
	// maxSwaps is the largest number of writes between two reads of the record.
	maxSwaps = 8
	// swapBackoff is the longest wait after a write that conflicted with
	// another. It doubles up to maxSwapBackoff with each conflict: when the
	// whole fleet starts, all instances of a region write the same record.
	swapBackoff    = 200 * time.Millisecond
	maxSwapBackoff = 5 * time.Second
)

// Members is what the driver needs to know about other instances.
type Members interface {
	// Peers returns the live instances of all regions that are not leaving,
	// including those that are starting.
	Peers() []Peer
	// Listing returns the entry instances in the latest listing of the platform
	// and when the read of that listing began. It reports false before the
	// first listing. The list has to be read every 10 s: an instance counts as
	// missing only while listings are at most 15 s apart.
	Listing() (ids []model.InstanceID, began time.Time, ok bool)
}

// Driver connects a State to the store, the peers and the membership.
type Driver struct {
	state   *State
	store   store.Store
	caller  peer.Caller
	members Members
	log     events.Logger
	// randMu guards rand: Leave runs concurrently with runStore.
	randMu sync.Mutex
	rand   *rand.Rand

	// wake makes runPeers call State.Plan without waiting for the next tick.
	wake  chan struct{}
	calls sync.WaitGroup
	// storeMu keeps one exchange with the store in progress at a time, so that
	// the result of an older read is not applied after that of a newer one.
	storeMu sync.Mutex
	done    chan struct{}
	// listingBegan is when the read of the last applied listing began.
	listingBegan time.Time
	// storeDown is whether the last exchange with the store failed.
	storeDown atomic.Bool
	// recordSize is the size in bytes of the capacity record last read.
	recordSize atomic.Int64
	// planDueAt is when the State last reported that a plan is due, in
	// nanoseconds since startedAt.
	planDueAt atomic.Int64
	startedAt time.Time
	// regionPeers holds the other instances of the region, regionChangedAt when
	// they last changed. Only runStore uses them.
	regionPeers     []model.InstanceID
	regionChangedAt time.Time
	// lastLogged is the status as of the last log events.
	lastLogged Status
}

// DriverConfig holds the dependencies of a Driver.
type DriverConfig struct {
	Store   store.Store
	Caller  peer.Caller
	Members Members
	Log     events.Logger
	Rand    *rand.Rand
}

// NewDriver returns the State of an instance and its driver. It sets
// cfg.PlanDue.
func NewDriver(cfg Config, dc DriverConfig) (*State, *Driver) {
	d := &Driver{store: dc.Store, caller: dc.Caller, members: dc.Members, log: dc.Log, rand: dc.Rand}
	d.wake = make(chan struct{}, 1)
	d.done = make(chan struct{})
	d.startedAt = time.Now()
	cfg.PlanDue = d.planDue
	d.state = New(time.Now(), cfg)
	return d.state, d
}

func (d *Driver) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// planDue is the PlanDue callback of the State.
func (d *Driver) planDue() {
	d.planDueAt.Store(int64(time.Since(d.startedAt)))
	d.signal()
}

// fastReadDue reports whether a read of the record is due before readInterval
// has passed since lastRead.
func (d *Driver) fastReadDue(now, lastRead time.Time) bool {
	unmet := now.Sub(d.startedAt)-time.Duration(d.planDueAt.Load()) < unmetPeriod
	return unmet && now.Sub(d.regionChangedAt) < fastReadPeriod && now.Sub(lastRead) >= fastReadInterval
}

// Start starts the driver, which runs until ctx ends. Done is closed after
// that.
func (d *Driver) Start(ctx context.Context) {
	d.calls.Go(func() { d.runStore(ctx) })
	go d.runPeers(ctx)
}

// Done returns a channel that is closed when the driver has stopped.
func (d *Driver) Done() <-chan struct{} {
	return d.done
}

// runPeers calls State.Tick every tickInterval, and makes the calls of
// State.Plan after each tick and when the State reports that a plan is due.
func (d *Driver) runPeers(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		d.plan(ctx)
		if !sleep(ctx, planInterval) {
			break
		}
		select {
		case <-ctx.Done():
		case <-d.wake:
		case <-tick.C:
			d.tick()
		}
	}
	d.calls.Wait()
	close(d.done)
}

func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// jitter returns a random duration below limit.
func (d *Driver) jitter(limit time.Duration) time.Duration {
	d.randMu.Lock()
	defer d.randMu.Unlock()
	return time.Duration(d.rand.Int64N(int64(limit)))
}

func (d *Driver) tick() {
	d.state.Tick(time.Now())
	d.state.SetPeers(d.members.Peers())
	d.applyListing()
	d.logChanges()
}

func (d *Driver) logChanges() {
	st := d.state.summary(time.Now())
	if st.Admitting != d.lastLogged.Admitting {
		d.log.Log(events.AdmissionChanged).Bool("admitting", st.Admitting).Send()
	}
	if st.Pauses != d.lastLogged.Pauses {
		d.log.Log(events.SlotsAfterPause).Int("pauses", st.Pauses).Send()
	}
	if st.Fenced != d.lastLogged.Fenced {
		d.log.Log(events.SlotsFenced).Send()
	}
	d.lastLogged = st
}

func (d *Driver) applyListing() {
	ids, began, ok := d.members.Listing()
	if !ok || !began.After(d.listingBegan) {
		return
	}
	d.listingBegan = began
	set := make(map[model.InstanceID]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	now := time.Now()
	d.state.ApplyListing(now, d.state.ReadClock(now).Add(-now.Sub(began)), set)
}

func (d *Driver) plan(ctx context.Context) {
	borrows, returns := d.state.Plan(time.Now())
	for _, b := range borrows {
		d.calls.Go(func() { d.sendBorrow(ctx, b) })
	}
	for _, r := range returns {
		d.calls.Go(func() { d.sendReturn(ctx, r) })
	}
}

func (d *Driver) sendBorrow(ctx context.Context, b BorrowCall) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply BorrowReply
	if err := d.caller.Call(ctx, b.To, MethodBorrow, b.Args, &reply); err != nil {
		d.state.HandleBorrowReply(time.Now(), b, nil)
		return
	}
	d.state.HandleBorrowReply(time.Now(), b, &reply)
	d.signal()
}

// sendReturn returns slots. If the call fails, the loan ends when its term is
// over.
func (d *Driver) sendReturn(ctx context.Context, r ReturnCall) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := d.caller.Call(ctx, r.To, MethodReturn, r.Args, &ReturnReply{})
	if err != nil {
		d.log.Log(events.LoanReturnFailed).Str("peer", string(r.To)).Err(err).Send()
	}
}

// runStore reads the capacity record and writes the changes that it needs.
func (d *Driver) runStore(ctx context.Context) {
	var lastRead time.Time
	for ctx.Err() == nil {
		d.setMembers()
		now := time.Now()
		read := now.Sub(lastRead) >= d.readInterval() || d.fastReadDue(now, lastRead)
		if read {
			lastRead = now
		}
		err := d.syncRecord(ctx, read)
		d.reportStore(err)
		pause := proposeInterval
		if err != nil {
			pause = minReadInterval
		}
		if !sleep(ctx, pause+d.jitter(pause/10)) {
			return
		}
	}
}

// readInterval returns the time between two regular reads of the record.
func (d *Driver) readInterval() time.Duration {
	if !d.state.ConfirmedByListings(time.Now()) || d.state.recovering() {
		return minReadInterval
	}
	bySize := time.Duration(d.recordSize.Load()) * time.Second / recordBytesPerSecond
	return min(max(minReadInterval, bySize), maxReadInterval)
}

// syncRecord reads the record, if a read is due, and writes the changes that
// it needs. After a write with an unknown result it reads the record once.
func (d *Driver) syncRecord(ctx context.Context, read bool) error {
	d.storeMu.Lock()
	defer d.storeMu.Unlock()
	if read {
		if err := d.readRecord(ctx); err != nil {
			return err
		}
	}
	if d.writeChanges(ctx) == nil {
		return nil
	}
	return d.readRecord(ctx)
}

func (d *Driver) setMembers() {
	var ids []model.InstanceID
	for _, p := range d.members.Peers() {
		if p.Region == d.state.cfg.Region {
			ids = append(ids, p.ID)
		}
	}
	now := time.Now()
	slices.Sort(ids)
	if d.regionChangedAt.IsZero() || !slices.Equal(ids, d.regionPeers) {
		d.regionPeers, d.regionChangedAt = ids, now
	}
	d.state.SetMembers(now, ids)
}

func (d *Driver) readRecord(ctx context.Context) error {
	began := d.state.ReadClock(time.Now())
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	kv, err := d.store.Get(ctx, RecordKey(d.state.cfg.Region))
	if errors.Is(err, store.ErrNotFound) {
		kv, err = store.KeyValue{Era: kv.Era, Revision: store.Absent}, nil
	}
	if err != nil {
		return err
	}
	d.recordSize.Store(int64(len(kv.Value)))
	return d.state.ApplyRecord(time.Now(), began, kv)
}

// writeChanges writes until the record needs no change, a write returns an
// error or maxSwaps is reached.
func (d *Driver) writeChanges(ctx context.Context) error {
	wait := swapBackoff
	for range maxSwaps {
		c := d.state.Propose(time.Now())
		if c == nil {
			return nil
		}
		swapped, err := d.write(ctx, c)
		if err != nil {
			return err
		}
		if swapped {
			continue
		}
		if !sleep(ctx, d.jitter(wait)) {
			return ctx.Err()
		}
		wait = min(2*wait, maxSwapBackoff)
	}
	return nil
}

func (d *Driver) write(ctx context.Context, c *Change) (bool, error) {
	value, err := c.Record.Marshal()
	if err != nil {
		return false, err
	}
	began := d.state.ReadClock(time.Now())
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	res, err := d.store.CompareAndSwap(ctx, RecordKey(d.state.cfg.Region), c.Expected, value, 0)
	if err != nil {
		return false, err
	}
	d.log.Log(events.RecordWritten).Bool("swapped", res.Swapped).Uint64("version", c.Record.Version).Send()
	return res.Swapped, d.state.ApplyRecord(time.Now(), began, res.Current)
}

func (d *Driver) reportStore(err error) {
	if down := err != nil; d.storeDown.Swap(down) != down {
		if down {
			d.log.Log(events.StoreUnavailable).Str("key", "capacity").Err(err).Send()
		} else {
			d.log.Log(events.StoreAvailable).Str("key", "capacity").Send()
		}
	}
}

// Leave relinquishes all slots as they become idle. It returns when the record no
// longer has an entry of the instance, or with the context's error.
func (d *Driver) Leave(ctx context.Context) error {
	d.state.Leave(time.Now())
	for !d.state.HasLeft() {
		if err := d.leaveOnce(ctx); err != nil {
			d.reportStore(err)
		}
		if !sleep(ctx, leaveInterval) {
			return ctx.Err()
		}
	}
	return nil
}

func (d *Driver) leaveOnce(ctx context.Context) error {
	d.storeMu.Lock()
	defer d.storeMu.Unlock()
	if d.writeChanges(ctx) == nil {
		return nil
	}
	return d.readRecord(ctx)
}
