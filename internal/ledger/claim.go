package ledger

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// Errors of Claim.Intent. The request is not sent.
const (
	// ErrWitnessUnreachable means that the witness did not confirm the
	// intent.
	ErrWitnessUnreachable = errors.ConstError("witness unreachable")
	// ErrKeyClosed means that the key may not run any more: the witness sealed
	// it for an instance that could not reach this one, or its epoch is over.
	ErrKeyClosed = errors.ConstError("key closed")
)

const (
	// intentTimeout bounds one message to the witness: several round trips
	// between the farthest regions (70 ms each). The caller waits meanwhile.
	intentTimeout = 250 * time.Millisecond
	// intentAttempts is how often the message is sent. The witness accepts it
	// again from the same claim.
	intentAttempts = 2
)

// Response is an endpoint's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Claim is the right to run one request under its key. It implements
// entry.Claim. Finish must be called exactly once; later calls have no
// effect.
type Claim struct {
	l   *Ledger
	q   question
	rec *record

	mu sync.Mutex
	// asked means that an intent was sent to the witness, and recorded that
	// the witness confirmed it.
	asked, recorded bool
	// taken means that the witness knows the intent of another claim, which
	// the rules exclude while incarnations are unique. The outcome is then
	// never reported as not run.
	taken bool
}

func (l *Ledger) newClaim(q question, r *record) *Claim {
	return &Claim{l: l, q: q, rec: r}
}

// Intent records at the witness that the request is about to be sent. A
// second call for another attempt needs no message: the register is
// write-once.
func (c *Claim) Intent(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.check(); err != nil {
		return err
	}
	if c.recorded || c.q.key.Witness == "" {
		return nil
	}
	c.asked = true
	v := c.l.intend(ctx, c.q, c.rec.token)
	switch v {
	case VerdictAccepted:
		c.recorded = true
		return nil
	case VerdictClaimed:
		c.taken = true
		return errors.Trace(ErrKeyClosed)
	case VerdictSealed, VerdictExpired:
		return errors.Trace(ErrKeyClosed)
	}
	c.l.avoid(c.q.key.Witness)
	return errors.Trace(ErrWitnessUnreachable)
}

// check reports whether the claim is still open and its epoch accepted.
func (c *Claim) check() error {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.l.book.advance(time.Now())
	if c.rec.dropped || c.rec.state != stateRunning {
		return errors.Trace(ErrKeyClosed)
	}
	return nil
}

func (l *Ledger) intend(ctx context.Context, q question, t Token) Verdict {
	if q.key.Witness == l.cfg.Self {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.register.intent(time.Now(), q.key, q.id, t, q.fp)
	}
	args := &IntentArgs{Key: q.key, Fingerprint: q.fp, Token: t}
	for range intentAttempts {
		ctx, cancel := context.WithTimeout(ctx, intentTimeout)
		reply := &IntentReply{}
		err := l.call(ctx, q.key.Witness, "Ledger.Intent", args, reply)
		cancel()
		if err == nil {
			return reply.Verdict
		}
	}
	return VerdictNone
}

// avoid hands out no keys with the witness for a while.
func (l *Ledger) avoid(w model.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoided[w] = time.Now().Add(witnessAvoidance)
}

// Finish records the outcome and, if it is answered, the response. It does
// not wait for the witness. It returns the outcome to report. Not-run is final
// for the key.
func (c *Claim) Finish(outcome model.Outcome, resp *Response) model.Outcome {
	c.mu.Lock()
	asked := c.asked
	if c.taken && outcome == model.OutcomeNotRun {
		outcome = model.OutcomeUnknown
	}
	c.mu.Unlock()
	res := &Result{Outcome: outcome}
	if outcome == model.OutcomeAnswered && resp != nil {
		res.Status, res.Header, res.Body = resp.Status, resp.Header, resp.Body
	}
	c.l.mu.Lock()
	recorded := c.l.book.finish(c.rec, res)
	c.l.mu.Unlock()
	if recorded && asked && outcome != model.OutcomeUnknown {
		c.l.complete(c.q, c.rec.token, res)
	}
	return outcome
}

func (l *Ledger) complete(q question, t Token, res *Result) {
	if res.size() > maxResponseBytes {
		res = res.withoutBody()
	}
	if q.key.Witness == l.cfg.Self {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.register.complete(time.Now(), q.key, q.id, t, res)
		return
	}
	l.outbox.add(q.key.Witness, Completion{Key: q.key, Token: t, Result: res})
}

// Flush waits until the outcomes of finished claims are at their witnesses or
// given up.
func (l *Ledger) Flush(ctx context.Context) error {
	return l.outbox.flush(ctx)
}
