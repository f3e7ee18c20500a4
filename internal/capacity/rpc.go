package capacity

import (
	"time"

	"github.com/juju/errors"
)

const (
	// maxSlotWait is how long a Borrow call of a peer without slots waits for a
	// slot in use to become free. It is several times the usual duration of a
	// request and well below callTimeout.
	maxSlotWait = 200 * time.Millisecond
	// slotPollInterval is how often a waiting call checks for a free slot. The
	// slot is idle for half of that time on average.
	slotPollInterval = 5 * time.Millisecond
)

// RPC serves the calls of peers. It is registered with net/rpc under the name
// "Capacity".
type RPC struct {
	state *State
	now   func() time.Time
}

// NewRPC returns the net/rpc receiver for s.
func NewRPC(s *State) *RPC {
	return &RPC{state: s, now: time.Now}
}

// Borrow lends slots to a peer and renews its loans. It waits up to
// maxSlotWait for slots that are kept for the peer.
func (r *RPC) Borrow(args BorrowArgs, reply *BorrowReply) error {
	if args.From == "" {
		return errors.NotValidf("borrow without a borrower")
	}
	*reply = r.state.Lend(r.now(), &args)
	for end := r.now().Add(maxSlotWait); len(reply.waiting) > 0 && r.now().Before(end); {
		time.Sleep(slotPollInterval)
		more := r.state.Lend(r.now(), &BorrowArgs{From: args.From, Want: reply.waiting})
		reply.Loans = append(reply.Loans, more.Loans...)
		reply.waiting = more.waiting
	}
	return nil
}

// Return takes back slots that a borrower returns early.
func (r *RPC) Return(args ReturnArgs, _ *ReturnReply) error {
	if len(args.Loans) > maxItems {
		return errors.NotValidf("return of %d loans", len(args.Loans))
	}
	r.state.HandleReturn(r.now(), &args)
	return nil
}
