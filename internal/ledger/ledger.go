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
	// callTimeout bounds one call to another instance.
	callTimeout = time.Second
	// witnessAvoidance is how long no keys are handed out with a witness that
	// did not answer.
	witnessAvoidance = 5 * time.Second
	// askInterval spaces the questions to a holder whose claim is running.
	askInterval = 25 * time.Millisecond
	// maxHops bounds the holders that are asked for one key.
	maxHops = 4
	// transferAttempts is how often a holder is asked whose reply is lost.
	transferAttempts = 2
	// transferTimeout bounds each of these. Two of them and the question to
	// the witness have to fit what a caller has left of its deadline when its
	// first instance was silent; with 1 s each they did not, and requests that
	// a paused owner had not begun were reported as unknown.
	transferTimeout = 300 * time.Millisecond
)

// Members tells the ledger about the other instances.
type Members interface {
	// Witness returns a live instance in another failure domain, other than
	// those excluded.
	Witness(exclude []model.InstanceID) (model.InstanceID, model.Incarnation, bool)
	// Successor returns the instance that inherited the records of a stopped
	// incarnation.
	Successor(id model.InstanceID, inc model.Incarnation) (model.InstanceID, bool)
	// KnownEpoch reports whether the incarnation is known to have handed out keys of
	// the epoch. It may answer false for an epoch that has just begun, and true
	// for one before.
	KnownEpoch(id model.InstanceID, inc model.Incarnation, epoch uint64) bool
}

// Config describes a Ledger. Store may be nil; keys of the caller's own form
// are then refused.
type Config struct {
	Self    model.InstanceID
	Inc     model.Incarnation
	Peers   peer.Caller
	Members Members
	Store   store.Store
}

// Ledger decides which requests may run under their keys.
type Ledger struct {
	cfg    Config
	tokens atomic.Uint64
	outbox *outbox
	binder *binder

	mu sync.Mutex
	// book and register are guarded by mu.
	book     *book
	register *register
	// successor holds the right to this instance's keys after Inherit began
	// to hand it over.
	successor source
	frozen    bool
	// inherited lists all sets that this incarnation ever inherited. A late
	// duplicate of a handover must not bring back a discarded set.
	inherited map[source]bool
	staged    map[source]*staging
	avoided   map[model.InstanceID]time.Time
}

// New returns a Ledger whose first epoch begins now.
func New(cfg Config) *Ledger {
	self := source{cfg.Self, cfg.Inc}
	l := &Ledger{
		cfg:       cfg,
		outbox:    newOutbox(cfg.Peers),
		book:      newBook(time.Now(), self, maxOwnerRecords),
		register:  newRegister(cfg.Self, cfg.Inc, maxWitnessRecords),
		inherited: map[source]bool{},
		staged:    map[source]*staging{},
		avoided:   map[model.InstanceID]time.Time{},
	}
	l.binder = newBinder(l)
	return l
}

// Prefix returns what callers put before their random part to make a key for
// this instance.
func (l *Ledger) Prefix() string {
	epoch, exclude := l.epoch()
	k := Key{Owner: l.cfg.Self, OwnerInc: l.cfg.Inc, Epoch: epoch}
	if w, inc, ok := l.cfg.Members.Witness(exclude); ok {
		k.Witness, k.WitnessInc = w, inc
	}
	return k.Prefix()
}

// epoch returns the current epoch, and the instances that cannot be witnesses.
func (l *Ledger) epoch() (uint64, []model.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.book.advance(now)
	return l.book.own().epoch, l.avoidedWitnesses(now)
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

// Begin asks to run a request under its key. It returns a claim, or the
// recorded result of the key, or a *Refusal. The fingerprint identifies the
// request without its key. While another request runs under the key Begin
// waits for its outcome until the context ends.
func (l *Ledger) Begin(ctx context.Context, key string, fingerprint uint64) (*Claim, *Result, error) {
	return l.resolve(ctx, key, fingerprint, false)
}

// answerQuery answers as the witness of a key.
func (l *Ledger) answerQuery(k Key, id ID, fp uint64, anyBody bool) (Verdict, *Result) {
	known := l.cfg.Members.KnownEpoch(k.Owner, k.OwnerInc, k.Epoch)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.register.query(time.Now(), k, id, fp, anyBody, known)
}

// Lookup tells what became of a key. A key that has not run is closed, so that
// the result "not run" is final: for a key of the caller's own form until its
// binding ends, 21 to 26 minutes after it was first seen.
func (l *Ledger) Lookup(ctx context.Context, key string) (*Result, error) {
	_, res, err := l.resolve(ctx, key, 0, true)
	return res, err
}

// question is one request's way through resolve.
type question struct {
	key    Key
	id     ID
	fp     uint64
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
	q := question{key: k, id: IDOf(k.String()), fp: fp, lookup: lookup}
	for {
		a := l.local(q)
		switch {
		case a.wait != nil:
			if !waitFor(ctx, a.wait) {
				return nil, nil, refuse(ReasonRunning)
			}
		case a.ask != nil:
			return l.remote(ctx, q, a)
		default:
			return a.claim, a.result, a.err
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

// answer is what this instance's own records say: one of claim, result and
// err, or a record to wait for, or the holder to ask.
type answer struct {
	claim  *Claim
	result *Result
	err    error
	wait   <-chan struct{}
	// ask is the record that stands for the question while the holder is
	// asked.
	ask    *record
	holder model.InstanceID
}

func (l *Ledger) local(q question) answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.book.advance(now)
	r, s := l.book.find(now, q.key, q.id)
	switch {
	case r != nil:
		return l.fromRecord(q, r)
	case s == nil:
		return l.startAsking(q, q.key.Owner)
	case !s.accepts(q.key.Epoch):
		return answer{err: refuse(ReasonExpired)}
	case s.frozen:
		return l.startAsking(q, l.successor.Instance)
	case q.lookup:
		return answer{result: l.book.close(s, q.key.Epoch, q.id).result}
	}
	r = newRecord(stateRunning, q.fp, l.token())
	s.put(q.key.Epoch, q.id, r)
	return answer{claim: l.newClaim(q, r)}
}

func (l *Ledger) token() Token {
	return Token{Instance: l.cfg.Self, Inc: l.cfg.Inc, N: l.tokens.Add(1)}
}

func (l *Ledger) fromRecord(q question, r *record) answer {
	if r.mismatch(q.fp, q.lookup) {
		return answer{err: refuse(ReasonReused)}
	}
	switch r.state {
	case stateAsking, stateRunning:
		return answer{wait: r.changed}
	case stateDone:
		return answer{result: r.result}
	}
	if asking := l.book.grantedRecord(q.id); asking != nil && asking.state == stateAsking {
		return answer{wait: asking.changed}
	}
	return l.startAsking(q, r.token.Instance)
}

func (l *Ledger) startAsking(q question, holder model.InstanceID) answer {
	r := newRecord(stateAsking, q.fp, l.token())
	// A lookup does not know the body. Others must not be refused for it.
	r.anyFP = true
	g := l.book.granted
	g.makeRoom(time.Now(), l.book.max)
	g.put(g.epoch, q.id, r)
	return answer{ask: r, holder: holder}
}
