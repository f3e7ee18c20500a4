package capacity

import (
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Names of the net/rpc methods.
const (
	MethodBorrow = "Capacity.Borrow"
	MethodReturn = "Capacity.Return"
)

// maxItems is the largest number of entries in a list of one message.
const maxItems = 256

// LoanID identifies a loan at its lender. Incarnation is that of the lender,
// so that a message about a loan of an earlier process has no effect.
type LoanID struct {
	Incarnation model.Incarnation
	Seq         uint64
}

// BorrowArgs asks a peer to lend slots that it owns and to renew loans.
type BorrowArgs struct {
	From  model.InstanceID
	Want  []Want
	Renew []LoanID
}

// Want asks for slots of one (region, service).
type Want struct {
	Key Key
	// Count is how many slots the borrower can use at most.
	Count int
	// Have is how many slots the borrower may use already.
	Have int
	// Priority is the most urgent priority of the requests that wait for them.
	Priority model.Priority
}

// BorrowReply lists the new and the renewed loans. Each of them lasts for
// LoanTerm, which the borrower counts from when it sent the call.
type BorrowReply struct {
	Loans   []Loan
	Renewed []LoanID
	// Idle says how many more idle slots of the wanted services the lender and
	// other instances that it knows of have.
	Idle []Idle
	// waiting holds the wants for which the lender keeps the next free slot.
	waiting []Want
}

// Loan is a number of slots lent together.
type Loan struct {
	ID    LoanID
	Key   Key
	Count int
	// Use is how long the borrower may start requests on the loan before it
	// returns the loan, or 0 for the whole term.
	Use time.Duration
}

// Idle is how many slots an instance could lend. For an instance that the
// lender only knows to own slots, Count is 1.
type Idle struct {
	Instance model.InstanceID
	Key      Key
	Count    int
}

// ReturnArgs returns some or all slots of loans before their end.
type ReturnArgs struct {
	From  model.InstanceID
	Loans []Keep
}

// Keep says how many slots of a loan the borrower keeps. A duplicate or late
// message has no further effect, because a loan never grows.
type Keep struct {
	ID    LoanID
	Count int
}

// ReturnReply is the empty reply of a Return call.
type ReturnReply struct{}
