package ledger

import (
	"context"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// remote asks the holders of a key for it, and the witness if none answers.
func (l *Ledger) remote(ctx context.Context, q question, a answer) (*Claim, *Result, error) {
	claim, res, err := l.askHolders(ctx, q, a)
	if claim == nil {
		l.stopAsking(q, a.ask, res)
	}
	return claim, res, err
}

// stopAsking wakes the requests that wait for the answer. A final result is
// kept for them, so that they need not ask again.
func (l *Ledger) stopAsking(q question, r *record, res *Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if res != nil && !q.lookup && !r.dropped {
		r.anyFP = false
		l.book.cache.put(&r.result, res)
		r.leave(stateDone)
		return
	}
	if l.book.grantedRecord(q.id) == r {
		l.book.removeGranted(q.id)
	}
	r.leave(stateMoved)
}

func (l *Ledger) askHolders(ctx context.Context, q question, a answer) (*Claim, *Result, error) {
	holder := source{Instance: a.holder}
	if a.holder == q.key.Owner {
		holder.Inc = q.key.OwnerInc
	}
	for hops := 0; hops < maxHops; {
		reply, ok := l.askHolder(ctx, q, a.ask.token, holder.Instance)
		if !ok || reply.Verdict == transferGone {
			next, found := l.cfg.Members.Successor(holder.Instance, holder.Inc)
			if !found || next == l.cfg.Self {
				return l.askWitness(ctx, q)
			}
			holder = source{Instance: next}
			hops++
			continue
		}
		switch reply.Verdict {
		case transferGranted:
			return l.granted(q, a.ask)
		case transferDone:
			return nil, reply.Result, nil
		case transferMoved:
			holder = reply.Holder
			hops++
		case transferExpired:
			return nil, nil, refuse(ReasonExpired)
		case transferMismatch:
			return nil, nil, refuse(ReasonReused)
		case transferRunning:
			if !sleep(ctx, askInterval) {
				return nil, nil, refuse(ReasonRunning)
			}
		}
		if holder.Instance == l.cfg.Self {
			break
		}
	}
	return l.askWitness(ctx, q)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// askHolder asks one instance. It asks again when the reply is lost: the
// holder repeats a grant to the same token.
func (l *Ledger) askHolder(ctx context.Context, q question, t Token, holder model.InstanceID) (*TransferReply, bool) {
	if holder == l.cfg.Self || holder == "" {
		return nil, false
	}
	args := &TransferArgs{Key: q.key, Fingerprint: q.fp, Token: t, Close: q.lookup}
	for range transferAttempts {
		reply := &TransferReply{}
		bounded, cancel := context.WithTimeout(ctx, transferTimeout)
		err := l.call(bounded, holder, "Ledger.Transfer", args, reply)
		cancel()
		if err == nil {
			return reply, true
		}
	}
	return nil, false
}

func (l *Ledger) call(ctx context.Context, to model.InstanceID, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.cfg.Peers.Call(ctx, to, method, args, reply)
}

// granted turns the asking record into a running one.
func (l *Ledger) granted(q question, r *record) (*Claim, *Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.dropped {
		return nil, nil, refuse(ReasonExpired)
	}
	r.state = stateRunning
	r.fp = q.fp
	r.anyFP = false
	return l.newClaim(q, r), nil, nil
}

// askWitness asks the witness, which seals a key without an intent. The key is
// then closed: its holder cannot send it any more.
func (l *Ledger) askWitness(ctx context.Context, q question) (*Claim, *Result, error) {
	v, res := l.queryWitness(ctx, q)
	switch v {
	case VerdictSealed:
		return nil, &Result{Outcome: model.OutcomeNotRun}, nil
	case VerdictDone:
		return nil, res, nil
	case VerdictExpired:
		return nil, nil, refuse(ReasonExpired)
	case VerdictMismatch:
		return nil, nil, refuse(ReasonReused)
	}
	return nil, nil, refuse(ReasonHolderLost)
}

func (l *Ledger) queryWitness(ctx context.Context, q question) (Verdict, *Result) {
	if q.key.Witness == "" {
		return VerdictWrongWitness, nil
	}
	if q.key.Witness == l.cfg.Self {
		return l.answerQuery(q.key, q.id, q.fp, q.lookup)
	}
	args := &QueryArgs{Key: q.key, Fingerprint: q.fp, AnyBody: q.lookup}
	reply := &QueryReply{}
	if err := l.call(ctx, q.key.Witness, "Ledger.Query", args, reply); err != nil {
		return VerdictNone, nil
	}
	return reply.Verdict, reply.Result
}
