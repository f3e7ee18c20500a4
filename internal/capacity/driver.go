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
	// tickEvery is how often the accounts are brought up to date. It is far
	// below PauseLimit.
	tickEvery = 100 * time.Millisecond
	// planEvery is the shortest time between two rounds of asking peers. It
	// is a few round trips within a region.
	planEvery = 5 * time.Millisecond
	// readEvery is how often the root record is read. A large record is read
	// less often, at bytesPerSecond, while the platform's list confirms the
	// instance: 500 owners of 4 services are 30 KB. Changes of the owners are
	// then seen later, at the latest after maxReadEvery.
	readEvery    = 10 * time.Second
	maxReadEvery = 10 * time.Minute
	// proposeEvery is how often the accounts are asked whether the record
	// needs a change, which costs no call of the store. With readEvery here, an
	// instance claimed its first slots up to 10 s after it had its rules.
	proposeEvery   = 250 * time.Millisecond
	bytesPerSecond = 1000
	// hurryEvery is how often the record is read instead while requests lack
	// slots and the owners are about to change: for hurryTime after the start
	// and after an instance of the region has come or gone. The slots of a
	// neighbour that stops are in the record up to some seconds before the next
	// usual reading.
	hurryEvery = 500 * time.Millisecond
	hurryTime  = 15 * time.Second
	// unmetTime is how long a request without a slot counts as a lack.
	unmetTime = time.Second
	// storeTimeout bounds one call of the store.
	storeTimeout = 2 * time.Second
	// callTimeout bounds one call of a peer.
	callTimeout = time.Second
	// leaveEvery is how often a leaving instance gives up idle slots.
	leaveEvery = 250 * time.Millisecond
	// maxSwaps bounds the writes between two readings of the record.
	maxSwaps = 8
	// swapBackoff is the longest wait after a write that lost against another.
	// It doubles up to maxSwapBackoff: at a start of the whole fleet, all
	// instances of a region write the same record.
	swapBackoff    = 200 * time.Millisecond
	maxSwapBackoff = 5 * time.Second
)

// Members is what the driver needs to know of other instances.
type Members interface {
	// Peers returns the live instances of all regions that are not leaving.
	Peers() []Peer
	// Listing returns the entry instances in the latest reading of the
	// platform's list and when that reading began. It reports false before
	// the first reading. The list has to be read every 10 s: an instance
	// counts as missing only while readings are at most 15 s apart.
	Listing() (ids []model.InstanceID, began time.Time, ok bool)
}

// Driver connects a State to the store, the peers and the membership.
type Driver struct {
	state   *State
	store   store.Store
	caller  peer.Caller
	members Members
	log     events.Logger
	// randMu guards rand: Leave runs beside the loop of the store.
	randMu sync.Mutex
	rand   *rand.Rand

	wake  chan struct{}
	calls sync.WaitGroup
	// storeMu keeps one exchange with the store in progress at a time, so that
	// an older reading is not taken after a newer one.
	storeMu  sync.Mutex
	done     chan struct{}
	lastList time.Time
	// storeDown is whether the last call of the store failed.
	storeDown atomic.Bool
	// recordSize is the size in bytes of the root record last read.
	recordSize atomic.Int64
	// unmet is when a request last found no slot, in nanoseconds since began.
	unmet atomic.Int64
	began time.Time
	// region holds the region's other instances when they were last looked at,
	// changed when they last changed. Only runStore uses them.
	region  []model.InstanceID
	changed time.Time
	// last is what was last logged.
	last Status
}

// DriverConfig holds what a Driver connects.
type DriverConfig struct {
	Store   store.Store
	Caller  peer.Caller
	Members Members
	Log     events.Logger
	Rand    *rand.Rand
}

// NewDriver returns the accounts of an instance and their driver. It sets
// cfg.Unmet.
func NewDriver(cfg Config, dc DriverConfig) (*State, *Driver) {
	d := &Driver{store: dc.Store, caller: dc.Caller, members: dc.Members, log: dc.Log, rand: dc.Rand}
	d.wake = make(chan struct{}, 1)
	d.done = make(chan struct{})
	d.began = time.Now()
	cfg.PlanDue = d.lack
	d.state = New(time.Now(), cfg)
	return d.state, d
}

func (d *Driver) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// lack notes that a request found no slot.
func (d *Driver) lack() {
	d.unmet.Store(int64(time.Since(d.began)))
	d.signal()
}

// hurries reports whether the record is to be read sooner than usual.
func (d *Driver) hurries(now, read time.Time) bool {
	lacking := now.Sub(d.began)-time.Duration(d.unmet.Load()) < unmetTime
	return lacking && now.Sub(d.changed) < hurryTime && now.Sub(read) >= hurryEvery
}

// Start runs the driver until ctx ends. Done is closed after that.
func (d *Driver) Start(ctx context.Context) {
	d.calls.Go(func() { d.runStore(ctx) })
	go d.runPeers(ctx)
}

// Done is closed when the driver has stopped.
func (d *Driver) Done() <-chan struct{} {
	return d.done
}

// runPeers ticks, and asks peers when requests lack slots.
func (d *Driver) runPeers(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		d.plan(ctx)
		if !sleep(ctx, planEvery) {
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

// jitter returns a random time below most.
func (d *Driver) jitter(most time.Duration) time.Duration {
	d.randMu.Lock()
	defer d.randMu.Unlock()
	return time.Duration(d.rand.Int64N(int64(most)))
}

func (d *Driver) tick() {
	d.state.Tick(time.Now())
	d.state.SetPeers(d.members.Peers())
	d.takeListing()
	d.logChanges()
}

func (d *Driver) logChanges() {
	st := d.state.brief(time.Now())
	if st.Admitting != d.last.Admitting {
		d.log.Log(events.Admitting).Bool("admitting", st.Admitting).Send()
	}
	if st.Pauses != d.last.Pauses {
		d.log.Log(events.SlotsAfterPause).Int("pauses", st.Pauses).Send()
	}
	if st.Fenced != d.last.Fenced {
		d.log.Log(events.SlotsFenced).Send()
	}
	d.last = st
}

func (d *Driver) takeListing() {
	ids, began, ok := d.members.Listing()
	if !ok || !began.After(d.lastList) {
		return
	}
	d.lastList = began
	set := make(map[model.InstanceID]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	now := time.Now()
	d.state.ApplyListing(now, d.state.ReadClock(now).Add(-now.Sub(began)), set)
}

func (d *Driver) plan(ctx context.Context) {
	asks, returns := d.state.Plan(time.Now())
	for _, a := range asks {
		d.calls.Go(func() { d.ask(ctx, a) })
	}
	for _, r := range returns {
		d.calls.Go(func() { d.giveBack(ctx, r) })
	}
}

func (d *Driver) ask(ctx context.Context, a BorrowCall) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply BorrowReply
	if err := d.caller.Call(ctx, a.To, MethodBorrow, a.Args, &reply); err != nil {
		d.state.HandleBorrowReply(time.Now(), a, nil)
		return
	}
	d.state.HandleBorrowReply(time.Now(), a, &reply)
	d.signal()
}

// giveBack returns slots. If the message is lost the loan ends by itself.
func (d *Driver) giveBack(ctx context.Context, r ReturnCall) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := d.caller.Call(ctx, r.To, MethodReturn, r.Args, &ReturnReply{})
	if err != nil {
		d.log.Log(events.LoanReturnFailed).Str("peer", string(r.To)).Err(err).Send()
	}
}

// runStore reads the root record and writes the changes that it needs.
func (d *Driver) runStore(ctx context.Context) {
	var last time.Time
	for ctx.Err() == nil {
		d.setMembers()
		now := time.Now()
		read := now.Sub(last) >= d.readInterval() || d.hurries(now, last)
		if read {
			last = now
		}
		err := d.exchange(ctx, read)
		d.noteStore(err)
		pause := proposeEvery
		if err != nil {
			pause = readEvery
		}
		if !sleep(ctx, pause+d.jitter(pause/10)) {
			return
		}
	}
}

// readInterval returns how long the last reading of the record is enough.
func (d *Driver) readInterval() time.Duration {
	if !d.state.ConfirmedByListings(time.Now()) {
		return readEvery
	}
	bySize := time.Duration(d.recordSize.Load()) * time.Second / bytesPerSecond
	return min(max(readEvery, bySize), maxReadEvery)
}

// exchange reads the record, if it is due, and writes the changes that it
// needs. A write with an unknown result is read back once.
func (d *Driver) exchange(ctx context.Context, read bool) error {
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
	if d.changed.IsZero() || !slices.Equal(ids, d.region) {
		d.region, d.changed = ids, now
	}
	d.state.SetMembers(now, ids)
}

func (d *Driver) readRecord(ctx context.Context) error {
	began := d.state.ReadClock(time.Now())
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	kv, err := d.store.Get(ctx, RecordKey(d.state.cfg.Region))
	if errors.Is(err, store.ErrNotFound) {
		kv, err = store.KeyValue{Revision: store.Absent}, nil
	}
	if err != nil {
		return err
	}
	d.recordSize.Store(int64(len(kv.Value)))
	return d.state.ApplyRecord(time.Now(), began, kv)
}

// writeChanges writes until the record needs no change, a write fails or
// maxSwaps is reached.
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

func (d *Driver) noteStore(err error) {
	if down := err != nil; d.storeDown.Swap(down) != down {
		if down {
			d.log.Log(events.StoreUnavailable).Str("key", "capacity").Err(err).Send()
		} else {
			d.log.Log(events.StoreAvailable).Str("key", "capacity").Send()
		}
	}
}

// Leave gives up all slots as they become idle and returns when the record
// holds none, or with the context's error.
func (d *Driver) Leave(ctx context.Context) error {
	d.state.Leave(time.Now())
	for !d.state.HasLeft() {
		if err := d.leaveOnce(ctx); err != nil {
			d.noteStore(err)
		}
		if !sleep(ctx, leaveEvery) {
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
