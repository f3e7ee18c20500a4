package capacity

import (
	"time"

	"github.com/juju/errors"
)

const (
	// waitForSlot is how long a message of a peer without slots waits for one
	// in use. It is several times the usual duration of a request and well
	// below callTimeout.
	waitForSlot = 200 * time.Millisecond
	// waitPoll is how often a waiting message looks for a free slot. The slot
	// is idle for half of it on average.
	waitPoll = 5 * time.Millisecond
)

// RPC serves the messages of peers. It is registered with net/rpc under the
// name "Capacity".
type RPC struct {
	state *State
	now   func() time.Time
}

// NewRPC returns the receiver of the messages for s.
func NewRPC(s *State) *RPC {
	return &RPC{state: s, now: time.Now}
}

// Borrow answers a peer that wants slots.
func (r *RPC) Borrow(args BorrowArgs, reply *BorrowReply) error {
	if args.From == "" {
		return errors.NotValidf("borrow without a borrower")
	}
	*reply = r.state.Lend(r.now(), &args)
	for end := r.now().Add(waitForSlot); len(reply.waiting) > 0 && r.now().Before(end); {
		time.Sleep(waitPoll)
		more := r.state.Lend(r.now(), &BorrowArgs{From: args.From, Want: reply.waiting})
		reply.Loans = append(reply.Loans, more.Loans...)
		reply.waiting = more.waiting
	}
	return nil
}

// Return takes slots back from a borrower.
func (r *RPC) Return(args ReturnArgs, _ *ReturnReply) error {
	if len(args.Loans) > maxItems {
		return errors.NotValidf("return of %d loans", len(args.Loans))
	}
	r.state.HandleReturn(r.now(), &args)
	return nil
}
