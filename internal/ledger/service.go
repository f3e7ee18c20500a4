package ledger

import (
	"time"
)

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Ledger"

// IntentArgs announces to the witness that a claim is about to send a key.
type IntentArgs struct {
	Key         Key
	Fingerprint uint64
	Token       Token
}

// IntentReply is the witness's answer.
type IntentReply struct{ Verdict Verdict }

// Completion is the outcome of a claim.
type Completion struct {
	Key    Key
	Token  Token
	Result *Result
}

// CompleteArgs carries outcomes to the witness.
type CompleteArgs struct{ Completions []Completion }

// CompleteReply is empty.
type CompleteReply struct{}

// TransferArgs asks the holder of a key for the right to run it. With Close
// the asking instance only wants to know what became of it.
type TransferArgs struct {
	Key         Key
	Fingerprint uint64
	Token       Token
	Close       bool
}

// TransferReply is the holder's answer. Holder is set if the key has moved.
type TransferReply struct {
	Verdict transferVerdict
	Result  *Result
	Holder  source
}

// QueryArgs asks the witness what it knows of a key, and seals it.
type QueryArgs struct {
	Key         Key
	Fingerprint uint64
	AnyBody     bool
}

// QueryReply is the witness's answer.
type QueryReply struct {
	Verdict Verdict
	Result  *Result
}

// Service serves the calls of other instances by net/rpc.
type Service struct{ l *Ledger }

// Service returns the net/rpc service of the ledger.
func (l *Ledger) Service() *Service { return &Service{l} }

// Intent serves an owner, as its witness.
func (s *Service) Intent(a *IntentArgs, reply *IntentReply) error {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	reply.Verdict = s.l.register.intent(time.Now(), a.Key, IDOf(a.Key.String()), a.Token, a.Fingerprint)
	return nil
}

// Complete serves an owner, as its witness.
func (s *Service) Complete(a *CompleteArgs, _ *CompleteReply) error {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	for _, c := range a.Completions {
		if c.Result == nil {
			continue
		}
		s.l.register.complete(time.Now(), c.Key, IDOf(c.Key.String()), c.Token, c.Result)
	}
	return nil
}

// Query serves an instance that cannot reach the holder of a key.
func (s *Service) Query(a *QueryArgs, reply *QueryReply) error {
	reply.Verdict, reply.Result = s.l.answerQuery(a.Key, IDOf(a.Key.String()), a.Fingerprint, a.AnyBody)
	return nil
}

// Transfer serves an instance that received one of this instance's keys.
func (s *Service) Transfer(a *TransferArgs, reply *TransferReply) error {
	l := s.l
	l.mu.Lock()
	defer l.mu.Unlock()
	v, r := l.book.transfer(time.Now(), a.Key, IDOf(a.Key.String()), a.Fingerprint, a.Token, a.Close)
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
