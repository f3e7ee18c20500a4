package capacity

import (
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// loanIn is a loan from another instance.
type loanIn struct {
	id     LoanID
	lender model.InstanceID
	count  int
	used   int
	// end is the latest deadline of a request on the loan.
	end time.Time
	// useUntil is when requests stop starting on the loan, or zero if they may
	// start until its end.
	useUntil time.Time
	// priority is that of the requests that a contended loan was asked for.
	// Less urgent ones may start on it until sharedUntil.
	priority    model.Priority
	sharedUntil time.Time
	// lastBusy is when all slots of the loan were last in use.
	lastBusy time.Time
	// renewalAsked is when a renewal was last asked for.
	renewalAsked time.Time
}

// idleReturnDelay returns how long idle slots of the loan are kept before they
// are returned.
func (l *loanIn) idleReturnDelay(t time.Time) time.Duration {
	switch {
	case l.closed(t):
		return 0
	case !l.useUntil.IsZero():
		return returnContendedAfter
	}
	return returnAfter
}

// closed reports whether no more requests may start on the loan.
func (l *loanIn) closed(t time.Time) bool {
	return !l.useUntil.IsZero() && !t.Before(l.useUntil)
}

// fits reports whether a request with the priority and the deadline end may use
// a slot of the loan.
func (l *loanIn) fits(t time.Time, pr model.Priority, end time.Time) bool {
	return l.used < l.count && !end.After(l.end) && l.open(t, pr)
}

// open reports whether requests of the priority may start on the loan.
func (l *loanIn) open(t time.Time, pr model.Priority) bool {
	return !l.closed(t) && (l.useUntil.IsZero() || pr <= l.priority || t.Before(l.sharedUntil))
}

// dropEnded deletes loans that have ended. No request uses them any longer.
func (p *pool) dropEnded(t time.Time) {
	p.loans = slices.DeleteFunc(p.loans, func(l *loanIn) bool { return !t.Before(l.end) })
}
