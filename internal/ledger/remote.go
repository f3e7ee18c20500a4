package ledger

import (
	"context"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// resolveRemotely requests a key from its holder, or queries its witness if no
// holder answers.
func (l *Ledger) resolveRemotely(ctx context.Context, req keyRequest, d decision) (*Claim, *Result, error) {
	claim, res, err := l.followHolders(ctx, req, d)
	if claim == nil {
		l.endTransfer(req, d.pending, res)
	}
	return claim, res, err
}

// endTransfer wakes the requests that wait for the transfer after it ended
// without a grant. It keeps a result of Begin, so that these requests need no
// transfer of their own.
func (l *Ledger) endTransfer(req keyRequest, r *record, res *Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if res != nil && !req.lookup && !r.discarded {
		r.anyFP = false
		l.held.cache.put(&r.result, res)
		r.settle(stateDone)
		return
	}
	if l.held.grantedRecord(req.id) == r {
		l.held.removeGranted(req.id)
	}
	r.settle(stateMoved)
}

// followHolders sends the transfer request to the holder in d. If the key has
// moved, it repeats the request at the holder named in the reply. If an instance
// does not respond or does not hold the key, it repeats the request at that
// instance's successor. Without a successor, or after maxHops, it queries the
// witness.
func (l *Ledger) followHolders(ctx context.Context, req keyRequest, d decision) (*Claim, *Result, error) {
	holder := source{Instance: d.holder}
	if d.holder == req.key.Owner {
		holder.Inc = req.key.OwnerInc
	}
	for hops := 0; hops < maxHops; {
		reply, ok := l.requestTransfer(ctx, req, d.pending.token, holder.Instance)
		if !ok || reply.Verdict == transferNotHeld {
			next, found := l.cfg.Members.Successor(holder.Instance, holder.Inc)
			if !found || next == l.cfg.Self {
				return l.resolveAtWitness(ctx, req)
			}
			holder = source{Instance: next}
			hops++
			continue
		}
		switch reply.Verdict {
		case transferGranted:
			return l.acceptGrant(req, d.pending)
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
			if !sleep(ctx, runningPollInterval) {
				return nil, nil, refuse(ReasonRunning)
			}
		}
		if holder.Instance == l.cfg.Self {
			break
		}
	}
	return l.resolveAtWitness(ctx, req)
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

// requestTransfer sends a transfer request to one holder. It retries if no reply
// arrives, which is safe because the holder repeats a grant for the same token.
func (l *Ledger) requestTransfer(ctx context.Context, req keyRequest, t Token, holder model.InstanceID) (*TransferReply, bool) {
	if holder == l.cfg.Self || holder == "" {
		return nil, false
	}
	args := &TransferArgs{Key: req.key, Fingerprint: req.fp, Token: t, Close: req.lookup}
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

// acceptGrant changes the pending record to stateRunning and returns a claim.
func (l *Ledger) acceptGrant(req keyRequest, r *record) (*Claim, *Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.discarded {
		return nil, nil, refuse(ReasonExpired)
	}
	r.state = stateRunning
	r.fp = req.fp
	r.anyFP = false
	return l.newClaim(req, r), nil, nil
}

// resolveAtWitness queries the witness, which seals the key if it has no intent.
// The holder of a sealed key can no longer send the request.
func (l *Ledger) resolveAtWitness(ctx context.Context, req keyRequest) (*Claim, *Result, error) {
	v, res := l.queryWitness(ctx, req)
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

func (l *Ledger) queryWitness(ctx context.Context, req keyRequest) (Verdict, *Result) {
	if req.key.Witness == "" {
		return VerdictWrongWitness, nil
	}
	if req.key.Witness == l.cfg.Self {
		return l.answerQuery(req.key, req.id, req.fp, req.lookup)
	}
	args := &QueryArgs{Key: req.key, Fingerprint: req.fp, AnyBody: req.lookup}
	reply := &QueryReply{}
	if err := l.call(ctx, req.key.Witness, "Ledger.Query", args, reply); err != nil {
		return VerdictNone, nil
	}
	return reply.Verdict, reply.Result
}
