package forward

import (
	"time"

	"jujubestile.example/jujubestile/internal/exchange"
)

// budgetRetryAfter is the Retry-After of a caller's retry that exceeds the
// budget.
const budgetRetryAfter = time.Second

// chargeBudget counts the request in the retry budget and refuses a caller's
// retry that exceeds it.
func (ex *execution) chargeBudget() *Answer {
	now := time.Now()
	if ex.req.CallerRetries == 0 {
		ex.cfg.Budget.Deposit(ex.service, now)
		return nil
	}
	if !ex.cfg.Budget.AllowCallerRetry(ex.service, now) {
		return refused("retry-budget", budgetRetryAfter)
	}
	return nil
}

// noRetryReason returns the reason why the attempt is not retried, or "" if it
// is to be retried and the retry budget has supplied the token for that. A
// request that no endpoint has seen yet needs no token.
func (ex *execution) noRetryReason(a attempt) string {
	switch {
	case ex.mayHaveRun && !ex.req.Route.Repeatable:
		return "may-have-run"
	case ex.sent >= ex.req.Route.MaxAttempts:
		return "attempts-used"
	case ex.unsent >= maxUnsent:
		return "endpoints-unreachable"
	case time.Until(ex.req.Deadline) <= 0:
		return "deadline"
	}
	if a.result.Outcome == exchange.NotSent && ex.sent == 0 {
		return "" // No endpoint has seen the request yet.
	}
	if !ex.tokenTaken && !ex.withdrawRetry(a) {
		return "retry-budget"
	}
	ex.tokenTaken = false
	return ""
}

// withdrawRetry takes a token of the retry budget for a retry after the attempt.
// Only critical requests use the reserve, and not after an attempt that this
// instance cancelled.
func (ex *execution) withdrawRetry(a attempt) bool {
	if ex.req.Rank() > 0 || a.result.Outcome == exchange.Abandoned {
		return ex.cfg.Budget.WithdrawSpare(ex.service, time.Now())
	}
	return ex.cfg.Budget.Withdraw(ex.service, time.Now())
}
