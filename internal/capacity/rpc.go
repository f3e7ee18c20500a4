package capacity

import (
	"time"

	"github.com/juju/errors"
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
	return nil
}

// Return takes slots back from a borrower.
func (r *RPC) Return(args ReturnArgs, _ *ReturnReply) error {
	if len(args.Loans) > maxItems {
		return errors.NotValidf("return of %d loans", len(args.Loans))
	}
	r.state.TakeBack(r.now(), &args)
	return nil
}
