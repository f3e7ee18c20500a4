package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/peer"
	"jujubestile.example/jujubestile/internal/store"
)

const (
	// callTimeout is the timeout of one call to another instance.
	callTimeout = time.Second
	// witnessAvoidance is how long no key is issued with a witness that has not
	// responded.
	witnessAvoidance = 5 * time.Second
	// runningPollInterval is the interval between transfer requests to a holder
	// that is running the key.
	runningPollInterval = 25 * time.Millisecond
	// maxHops limits how many times a transfer request is repeated at another
	// holder.
	maxHops = 4
	// transferAttempts is how many times a transfer request is sent to one
	// holder if no reply arrives.
	transferAttempts = 2
	// transferTimeout is the timeout of each of these attempts. Two attempts
	// and the query to the witness must fit into the time left before the
	// caller's deadline after its first instance did not respond. With 1 s per
	// attempt they did not fit, and requests that a paused owner had not started
	// were reported as unknown.
	transferTimeout = 300 * time.Millisecond
)

// Members provides information about the other instances.
type Members interface {
	// Witness returns a live instance to act as witness, preferably in another
	// failure domain. It returns none of the excluded instances, and false if
	// there is no other live one.
	Witness(exclude []model.InstanceID) (model.InstanceID, model.Incarnation, bool)
	// Successor returns the instance that took over the records of a stopped
	// incarnation, or false if none is known.
	Successor(id model.InstanceID, inc model.Incarnation) (model.InstanceID, bool)
	// KnownEpoch reports whether the incarnation is known to have issued keys
	// of the epoch. It may return false for an epoch that has just begun, and
	// true for any earlier epoch.
	KnownEpoch(id model.InstanceID, inc model.Incarnation, epoch uint64) bool
}

// Config configures a Ledger. Store may be nil; opaque keys are then refused.
type Config struct {
	Self    model.InstanceID
	Inc     model.Incarnation
	Peers   peer.Caller
	Members Members
	Store   store.Store
}

// Ledger decides which requests with an idempotency key may run.
type Ledger struct {
	cfg    Config
	tokens atomic.Uint64
	outbox *outbox
	binder *binder

	mu sync.Mutex
	// The fields below are guarded by mu. held contains the records of keys whose
	// holder is or was this instance, witnessed those of keys whose witness it
	// is.
	held      *holderTable
	witnessed *witnessTable
	// successor is the incarnation that receives the right to this instance's
	// keys. It is set when the handover begins.
	successor source
	frozen    bool
	// inherited contains the source of every key set that this incarnation has
	// inherited, so that a late duplicate of a handover message does not
	// restore a discarded set.
	inherited map[source]bool
	staged    map[source]*stagedSet
	// avoided maps each witness that did not respond to the time until which no
	// key is issued with it.
	avoided map[model.InstanceID]time.Time
}

// New returns a Ledger. Its first epoch begins now.
func New(cfg Config) *Ledger {
	self := source{cfg.Self, cfg.Inc}
	l := &Ledger{
		cfg:       cfg,
		outbox:    newOutbox(cfg.Peers),
		held:      newHolderTable(time.Now(), self, maxOwnerRecords),
		witnessed: newWitnessTable(cfg.Self, cfg.Inc, maxWitnessRecords),
		inherited: map[source]bool{},
		staged:    map[source]*stagedSet{},
		avoided:   map[model.InstanceID]time.Time{},
	}
	l.binder = newBinder(l)
	return l
}

// Prefix returns the prefix that callers combine with a random part to form a
// structured key owned by this instance.
func (l *Ledger) Prefix() string {
	epoch, exclude := l.epoch()
	k := Key{Owner: l.cfg.Self, OwnerInc: l.cfg.Inc, Epoch: epoch}
	if w, inc, ok := l.cfg.Members.Witness(exclude); ok {
		k.Witness, k.WitnessInc = w, inc
	}
	return k.Prefix()
}

// epoch returns the current epoch and the instances to exclude as witnesses.
func (l *Ledger) epoch() (uint64, []model.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.held.advance(now)
	return l.held.ownSet().epoch, l.avoidedWitnesses(now)
}

func (l *Ledger) avoidedWitnesses(now time.Time) []model.InstanceID {
	ids := []model.InstanceID{l.cfg.Self}
	for id, until := range l.avoided {
		if now.After(until) {
			delete(l.avoided, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// Begin requests the right to run a request under its key. It returns a claim,
// the recorded result of the key, or a *Refusal. The fingerprint identifies the
// content of the request apart from its key. If another request is running
// under the key, Begin waits for its outcome until the context is done.
func (l *Ledger) Begin(ctx context.Context, key string, fingerprint uint64) (*Claim, *Result, error) {
	return l.resolve(ctx, key, fingerprint, false)
}

// answerQuery handles a query to this instance as the witness of a key.
func (l *Ledger) answerQuery(k Key, id ID, fp uint64, anyFP bool) (Verdict, *Result) {
	known := l.cfg.Members.KnownEpoch(k.Owner, k.OwnerInc, k.Epoch)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.witnessed.query(time.Now(), k, id, fp, anyFP, known)
}

// Lookup returns the outcome of a key. It closes a key that has not run, so that
// the outcome "not-run" is final. For an opaque key this holds until its binding
// expires, 21 to 26 minutes after the key was first seen.
func (l *Ledger) Lookup(ctx context.Context, key string) (*Result, error) {
	_, res, err := l.resolve(ctx, key, 0, true)
	return res, err
}

// keyRequest is one call of Begin or Lookup.
type keyRequest struct {
	key    Key
	id     ID
	fp     uint64 // fingerprint, unused by Lookup
	lookup bool
}

func (l *Ledger) resolve(ctx context.Context, key string, fp uint64, lookup bool) (*Claim, *Result, error) {
	if err := CheckKey(key); err != nil {
		return nil, nil, &Refusal{Reason: ReasonInvalid, Outcome: model.OutcomeUnknown}
	}
	k, ok := ParseKey(key)
	if !ok {
		bound, err := l.binder.bind(ctx, key)
		if err != nil {
			return nil, nil, err
		}
		k = bound
	}
	req := keyRequest{key: k, id: IDOf(k.String()), fp: fp, lookup: lookup}
	for {
		d := l.decide(req)
		switch {
		case d.wait != nil:
			if !waitFor(ctx, d.wait) {
				return nil, nil, refuse(ReasonRunning)
			}
		case d.pending != nil:
			return l.resolveRemotely(ctx, req, d)
		default:
			return d.claim, d.result, d.err
		}
	}
}

func waitFor(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// decision is the result of looking up a key in this instance's own records:
// either a claim, a result or an error, or a channel to wait on before the next
// lookup, or a transfer to request from another holder.
type decision struct {
	claim  *Claim
	result *Result
	err    error
	wait   <-chan struct{}
	// pending is the record of the key while its transfer is requested from
	// holder.
	pending *record
	holder  model.InstanceID
}

func (l *Ledger) decide(req keyRequest) decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.held.advance(now)
	r, s := l.held.find(now, req.key, req.id)
	switch {
	case r != nil:
		return l.decideFromRecord(req, r)
	case s == nil:
		return l.startTransfer(req, req.key.Owner)
	case !s.accepts(req.key.Epoch):
		return decision{err: refuse(ReasonExpired)}
	case s.frozen:
		return l.startTransfer(req, l.successor.Instance)
	case req.lookup:
		return decision{result: l.held.close(s, req.key.Epoch, req.id).result}
	}
	r = newRecord(stateRunning, req.fp, l.token())
	s.put(req.key.Epoch, req.id, r)
	return decision{claim: l.newClaim(req, r)}
}

func (l *Ledger) token() Token {
	return Token{Instance: l.cfg.Self, Inc: l.cfg.Inc, N: l.tokens.Add(1)}
}

func (l *Ledger) decideFromRecord(req keyRequest, r *record) decision {
	if r.mismatch(req.fp, req.lookup) {
		return decision{err: refuse(ReasonReused)}
	}
	switch r.state {
	case stateTransferring, stateRunning:
		return decision{wait: r.changed}
	case stateDone:
		return decision{result: r.result}
	}
	if pending := l.held.grantedRecord(req.id); pending != nil && pending.state == stateTransferring {
		return decision{wait: pending.changed}
	}
	return l.startTransfer(req, r.token.Instance)
}

func (l *Ledger) startTransfer(req keyRequest, holder model.InstanceID) decision {
	r := newRecord(stateTransferring, req.fp, l.token())
	// A lookup has no fingerprint. Concurrent requests that have one must not be
	// refused because of that.
	r.anyFP = true
	g := l.held.granted
	g.makeRoom(time.Now(), l.held.max)
	g.put(g.epoch, req.id, r)
	return decision{pending: r, holder: holder}
}
