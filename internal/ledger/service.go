package ledger

import (
	"time"
)

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Ledger"

// IntentArgs tells the witness that a claim is about to send its request.
type IntentArgs struct {
	Key         Key
	Fingerprint uint64
	Token       Token
}

// IntentReply is the witness's reply to IntentArgs.
type IntentReply struct{ Verdict Verdict }

// Completion is the outcome of a claim.
type Completion struct {
	Key    Key
	Token  Token
	Result *Result
}

// CompleteArgs reports outcomes to the witness.
type CompleteArgs struct{ Completions []Completion }

// CompleteReply is the empty reply to CompleteArgs.
type CompleteReply struct{}

// TransferArgs requests the right to run a key from its holder. With Close it
// requests only the outcome, and the holder closes a key that has not run.
type TransferArgs struct {
	Key         Key
	Fingerprint uint64
	Token       Token
	Close       bool
}

// TransferReply is the holder's reply. Result is set if an outcome is recorded,
// Holder if another instance holds the key.
type TransferReply struct {
	Verdict transferVerdict
	Result  *Result
	Holder  source
}

// QueryArgs requests a key's record from the witness, which seals the key if it
// has no intent.
type QueryArgs struct {
	Key         Key
	Fingerprint uint64
	// AnyBody means that the fingerprint is not compared.
	AnyBody bool
}

// QueryReply is the witness's reply to QueryArgs. Result is set only with
// VerdictDone.
type QueryReply struct {
	Verdict Verdict
	Result  *Result
}

// Service implements the RPC methods called by other instances.
type Service struct{ l *Ledger }

// Service returns the net/rpc service of the ledger.
func (l *Ledger) Service() *Service { return &Service{l} }

// Intent records an intent. It is called at the witness of a key by its holder.
func (s *Service) Intent(a *IntentArgs, reply *IntentReply) error {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	reply.Verdict = s.l.witnessed.intent(time.Now(), a.Key, IDOf(a.Key.String()), a.Token, a.Fingerprint)
	return nil
}

// Complete records outcomes. It is called at the witness of keys by their
// holder.
func (s *Service) Complete(a *CompleteArgs, _ *CompleteReply) error {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	for _, c := range a.Completions {
		if c.Result == nil {
			continue
		}
		s.l.witnessed.complete(time.Now(), c.Key, IDOf(c.Key.String()), c.Token, c.Result)
	}
	return nil
}

// Query returns the record of a key. It is called at the witness of a key by an
// instance that cannot reach the holder.
func (s *Service) Query(a *QueryArgs, reply *QueryReply) error {
	reply.Verdict, reply.Result = s.l.answerQuery(a.Key, IDOf(a.Key.String()), a.Fingerprint, a.AnyBody)
	return nil
}

// Transfer grants the right to a key or returns its state. It is called at the
// holder of a key by another instance that received a request with the key.
func (s *Service) Transfer(a *TransferArgs, reply *TransferReply) error {
	l := s.l
	l.mu.Lock()
	defer l.mu.Unlock()
	v, r := l.held.transfer(time.Now(), a.Key, IDOf(a.Key.String()), a.Fingerprint, a.Token, a.Close)
	reply.Verdict = v
	switch {
	case v == transferDone:
		reply.Result = r.result
	case v == transferMoved && r == nil:
		reply.Holder = l.successor
	case v == transferMoved:
		reply.Holder = source{r.token.Instance, r.token.Inc}
	}
	return nil
}
