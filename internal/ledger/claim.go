package ledger

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// Errors returned by Claim.Intent. The request must not be sent.
const (
	// ErrWitnessUnreachable means that the witness has not confirmed the
	// intent.
	ErrWitnessUnreachable = errors.ConstError("witness unreachable")
	// ErrKeyClosed means that the request may no longer run under the key: the
	// witness sealed the key for an instance that could not reach this one, or
	// the key's epoch has been discarded.
	ErrKeyClosed = errors.ConstError("key closed")
)

const (
	// intentTimeout is the timeout of one message to the witness. It allows for
	// several round trips between the most distant regions (70 ms each). The
	// caller's request is delayed by this time.
	intentTimeout = 250 * time.Millisecond
	// intentAttempts is how many times the message is sent. The witness accepts
	// duplicates from the same claim.
	intentAttempts = 2
)

// Response is the complete response of an endpoint.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Claim is the right to run one request under its key. It implements
// entry.Claim. Finish must be called; only its first call records an outcome.
type Claim struct {
	l   *Ledger
	req keyRequest
	rec *record

	mu sync.Mutex
	// intentSent means that an intent was sent to the witness, intentRecorded
	// that the witness confirmed it.
	intentSent, intentRecorded bool
	// claimedByOther means that the witness has recorded the intent of another
	// claim. This cannot happen while incarnations are unique. The outcome is
	// then never reported as not run.
	claimedByOther bool
}

func (l *Ledger) newClaim(req keyRequest, r *record) *Claim {
	return &Claim{l: l, req: req, rec: r}
}

// Intent records at the witness that the request is about to be sent. Further
// calls, made for further attempts, send no message because the witness's
// register is write-once.
func (c *Claim) Intent(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkOpen(); err != nil {
		return err
	}
	if c.intentRecorded || c.req.key.Witness == "" {
		return nil
	}
	c.intentSent = true
	v := c.l.sendIntent(ctx, c.req, c.rec.token)
	switch v {
	case VerdictAccepted:
		c.intentRecorded = true
		return nil
	case VerdictClaimed:
		c.claimedByOther = true
		return errors.Trace(ErrKeyClosed)
	case VerdictSealed, VerdictExpired:
		return errors.Trace(ErrKeyClosed)
	}
	c.l.avoidWitness(c.req.key.Witness)
	return errors.Trace(ErrWitnessUnreachable)
}

// checkOpen returns ErrKeyClosed if the claim has ended or its epoch has been
// discarded.
func (c *Claim) checkOpen() error {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.l.held.advance(time.Now())
	if c.rec.discarded || c.rec.state != stateRunning {
		return errors.Trace(ErrKeyClosed)
	}
	return nil
}

func (l *Ledger) sendIntent(ctx context.Context, req keyRequest, t Token) Verdict {
	if req.key.Witness == l.cfg.Self {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.witnessed.intent(time.Now(), req.key, req.id, t, req.fp)
	}
	args := &IntentArgs{Key: req.key, Fingerprint: req.fp, Token: t}
	for range intentAttempts {
		ctx, cancel := context.WithTimeout(ctx, intentTimeout)
		reply := &IntentReply{}
		err := l.call(ctx, req.key.Witness, "Ledger.Intent", args, reply)
		cancel()
		if err == nil {
			return reply.Verdict
		}
	}
	return VerdictNone
}

// avoidWitness stops issuing keys with the witness for witnessAvoidance.
func (l *Ledger) avoidWitness(w model.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoided[w] = time.Now().Add(witnessAvoidance)
}

// Finish records the outcome and, if it is "answered", the response. It sends
// the outcome to the witness without waiting for it and returns the outcome to
// report. The outcome "not-run" is final for the key.
func (c *Claim) Finish(outcome model.Outcome, resp *Response) model.Outcome {
	c.mu.Lock()
	sent := c.intentSent
	if c.claimedByOther && outcome == model.OutcomeNotRun {
		outcome = model.OutcomeUnknown
	}
	c.mu.Unlock()
	res := &Result{Outcome: outcome}
	if outcome == model.OutcomeAnswered && resp != nil {
		res.Status, res.Header, res.Body = resp.Status, resp.Header, resp.Body
	}
	c.l.mu.Lock()
	recorded := c.l.held.finish(c.rec, res)
	c.l.mu.Unlock()
	if recorded && sent && outcome != model.OutcomeUnknown {
		c.l.complete(c.req, c.rec.token, res)
	}
	return outcome
}

func (l *Ledger) complete(req keyRequest, t Token, res *Result) {
	if res.size() > maxResponseBytes {
		res = res.withoutBody()
	}
	if req.key.Witness == l.cfg.Self {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.witnessed.complete(time.Now(), req.key, req.id, t, res)
		return
	}
	l.outbox.add(req.key.Witness, Completion{Key: req.key, Token: t, Result: res})
}

// Flush waits until the outcomes of all finished claims have been delivered to
// their witnesses or their delivery has failed for good.
func (l *Ledger) Flush(ctx context.Context) error {
	return l.outbox.flush(ctx)
}
