package quota

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// waitLimit is how long a request may wait for a token. An owner in another region
	// answers after 40 ms; the rest is for one repeated message.
	waitLimit = 100 * time.Millisecond
	// maxWaiters bounds the waiting requests of a tenant, maxAllWaiters those of all.
	maxWaiters, maxAllWaiters = 32, 512
	// rateTime is the time constant of the moving average of requests per second.
	rateTime = 3 * time.Second
	// minAheadRate is the rate of requests per second from which a holder keeps tokens
	// in advance. Below it most of them would expire.
	minAheadRate = 2
	// aheadTime is the time for which a holder asks for tokens in advance, and askEarly
	// how long before their end it asks again.
	aheadTime, askEarly = 600 * time.Millisecond, 300 * time.Millisecond
	// aheadInterval is the shortest time between two messages only for tokens in
	// advance, and aheadPause the time after one that was granted less.
	aheadInterval, aheadPause = 150 * time.Millisecond, 500 * time.Millisecond
	// minRetryAfter bounds the time for which a caller is told to wait.
	minRetryAfter = 50 * time.Millisecond
	// refundLifetime and maxRefunds bound the tokens of requests that were not sent.
	refundLifetime, maxRefunds = 250 * time.Millisecond, 8
)

// Holder holds the tokens of an instance and asks owners for more. It is not safe
// for concurrent use.
type Holder struct {
	self     uint32
	rand     *rand.Rand
	limits   map[TenantID]Limit
	accounts map[TenantID]*account
	// order has the accounts in the order in which they were made.
	order []*account
	// unlimited counts the requests of tenants without a quota.
	unlimited map[TenantID]int64
	links     [SliceCount]link
	seq       uint32
	// sent has the messages without an answer, and asked their numbers in order, with
	// those of some that have been answered.
	sent  map[uint32]*sentAsk
	asked []uint32
	// listed is the number of instances that share what no owner grants.
	listed  int
	waiting int
}

// account is what a holder has of one tenant.
type account struct {
	id    TenantID
	limit Limit
	// limitSince is when the limit was last lowered. Grants asked for before are void.
	limitSince time.Duration
	tokens     []batch
	rate       movingRate
	waiters    []*Waiter
	slices     [slicesPerTenant]sliceState
	askedAhead time.Duration
	// extra is the number of attempts without a token that no owner knows of, and
	// extraSince when the first of them was sent.
	extra      uint32
	extraSince time.Duration
	local      localShare
	counts     Counts
}

// batch holds tokens of one grant.
type batch struct {
	slice   Slice
	n       uint32
	expires time.Duration
}

// sliceState is what an account knows of one slice.
type sliceState struct {
	// pending is the message that the owner has not answered yet, or 0.
	pending uint32
	// scarceUntil is when it is worth asking the owner again.
	scarceUntil time.Duration
	// skipUntil is when the owner is asked again after a message without an answer.
	skipUntil time.Duration
}

// Counts are counters of one tenant at one holder.
type Counts struct {
	Received, Taken, OverQuota, NoOwner, TooManyWaiting int64
	// Local counts the requests that used the local share, Extra those attempts that
	// were sent without a token; both are also counted in Taken.
	Local, Extra int64
	// Held is the number of unused tokens.
	Held int
}

// Waiter is a request that waits for a token.
type Waiter struct {
	deadline time.Duration
	// Wake is called once, when the request may be sent or is refused.
	Wake func(ok bool, retryAfter time.Duration)
}

// NewHolder returns a holder without limits. seq has to be above the message numbers
// of an earlier process of the instance.
func NewHolder(self, seq uint32, r *rand.Rand) *Holder {
	return &Holder{self: self, rand: r, seq: seq, listed: 1, accounts: map[TenantID]*account{}, unlimited: map[TenantID]int64{}, sent: map[uint32]*sentAsk{}}
}

// SetLimits sets the quotas. Tokens of a tenant whose quota was lowered are dropped.
func (h *Holder) SetLimits(limits map[TenantID]Limit, now time.Duration) {
	h.limits = limits
	for _, a := range h.order {
		l, ok := limits[a.id]
		if !ok {
			h.wakeAll(a, true, 0)
			delete(h.accounts, a.id)
			continue
		}
		if l.lowerThan(a.limit) {
			a.tokens, a.limitSince = nil, now
			a.local = localShare{}
		}
		a.limit = l
	}
	h.order = slices.DeleteFunc(h.order, func(a *account) bool { return h.accounts[a.id] == nil })
}

// KeepCounts drops the counters of the requests of tenants without a quota that are not
// known any more.
func (h *Holder) KeepCounts(known func(TenantID) bool) {
	maps.DeleteFunc(h.unlimited, func(id TenantID, _ int64) bool { return !known(id) })
}

// SetInstances sets the number of instances that share what no owner grants.
func (h *Holder) SetInstances(listed int) { h.listed = max(listed, 1) }

// Take takes a token for a request. If there is none, it returns a waiter, or the
// time after which the caller may try again.
func (h *Holder) Take(id TenantID, now time.Duration) (ok bool, w *Waiter, retryAfter time.Duration) {
	a := h.account(id)
	if a == nil {
		h.unlimited[id]++
		return true, nil, 0
	}
	a.counts.Received++
	a.rate.add(now)
	a.expire(now)
	switch {
	case len(a.waiters) == 0 && a.use():
		return true, nil, 0
	case len(a.waiters) >= maxWaiters || h.waiting >= maxAllWaiters:
		if h.useLocal(a, now) {
			return true, nil, 0
		}
		a.counts.TooManyWaiting++
		return false, nil, h.retryAfter(a, now)
	case !a.isPending() && h.slice(a, now) < 0:
		ok, retryAfter = h.refuse(a, now)
		return ok, nil, retryAfter
	}
	w = &Waiter{deadline: now + waitLimit}
	a.waiters = append(a.waiters, w)
	h.waiting++
	return false, w, 0
}

// Leave removes a waiter whose caller has disconnected. It reports false if the waiter
// is no longer there, because its Wake was called.
func (h *Holder) Leave(id TenantID, w *Waiter) bool {
	a := h.accounts[id]
	if a == nil {
		return false
	}
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return false
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	h.waiting--
	return true
}

// Refund gives back the token of a request that was sent to no endpoint.
func (h *Holder) Refund(id TenantID, now time.Duration) {
	a := h.account(id)
	if a == nil {
		return
	}
	a.expire(now)
	n := uint32(0)
	for _, b := range a.tokens {
		n += b.n
	}
	a.counts.Taken--
	if n < maxRefunds {
		a.tokens = append(a.tokens, batch{slice: sliceOf(id.group(), 0), n: 1, expires: now + refundLifetime})
		h.serve(a)
	}
}

// Charge counts an attempt that was sent without a token: a retry, or a second
// attempt beside the first. It is never refused; an owner takes its token later.
func (h *Holder) Charge(id TenantID, now time.Duration) {
	a := h.account(id)
	if a == nil {
		return
	}
	a.counts.Extra++
	a.counts.Taken++
	a.expire(now)
	if len(a.waiters) == 0 && a.spend() {
		return
	}
	if a.extra == 0 {
		a.extraSince = now
	}
	a.extra++
}

func (h *Holder) account(id TenantID) *account {
	a := h.accounts[id]
	if a != nil {
		return a
	}
	l, ok := h.limits[id]
	if !ok {
		return nil
	}
	a = &account{id: id, limit: l}
	h.accounts[id] = a
	h.order = append(h.order, a)
	return a
}

// use uses a token for a request.
func (a *account) use() bool {
	if !a.spend() {
		return false
	}
	a.counts.Taken++
	return true
}

// spend removes the token that expires first.
func (a *account) spend() bool {
	if len(a.tokens) == 0 {
		return false
	}
	first := 0
	for i, b := range a.tokens {
		if b.expires < a.tokens[first].expires {
			first = i
		}
	}
	if a.tokens[first].n--; a.tokens[first].n == 0 {
		a.tokens = slices.Delete(a.tokens, first, first+1)
	}
	return true
}

// expire removes tokens that are no longer valid.
func (a *account) expire(now time.Duration) {
	a.tokens = slices.DeleteFunc(a.tokens, func(b batch) bool { return b.expires <= now })
}

// held returns the number of tokens of a slice.
func (a *account) held(s Slice) (n uint32) {
	for _, b := range a.tokens {
		if b.slice == s {
			n += b.n
		}
	}
	return n
}

func (a *account) isPending() bool {
	for _, s := range a.slices {
		if s.pending != 0 {
			return true
		}
	}
	return false
}

// serve gives tokens to the requests that wait.
func (h *Holder) serve(a *account) {
	for len(a.waiters) > 0 && a.use() {
		h.wakeFirst(a, true, 0)
	}
}

func (h *Holder) wakeFirst(a *account, ok bool, retryAfter time.Duration) {
	w := a.waiters[0]
	a.waiters = slices.Delete(a.waiters, 0, 1)
	h.waiting--
	w.Wake(ok, retryAfter)
}

func (h *Holder) wakeAll(a *account, ok bool, retryAfter time.Duration) {
	for len(a.waiters) > 0 {
		h.wakeFirst(a, ok, retryAfter)
	}
}

// refuse decides on a request that no owner can be asked for: it uses the local share
// if the owners do not answer, and is refused if the quota is used up.
func (h *Holder) refuse(a *account, now time.Duration) (ok bool, retryAfter time.Duration) {
	if h.scarce(a, now) {
		a.counts.OverQuota++
		return false, h.retryAfter(a, now)
	}
	if h.useLocal(a, now) {
		return true, 0
	}
	a.counts.NoOwner++
	return false, h.retryAfter(a, now)
}

// OverQuota reports whether the tenant has used up its quota, as far as is known.
func (h *Holder) OverQuota(id TenantID, now time.Duration) bool {
	a := h.accounts[id]
	return a != nil && h.scarce(a, now)
}

// scarce reports whether an owner has said lately that the quota is used up.
func (h *Holder) scarce(a *account, now time.Duration) bool {
	for _, s := range a.slices {
		if s.scarceUntil > now {
			return true
		}
	}
	return false
}

// retryAfter returns a random time at which the quota is likely to have room.
func (h *Holder) retryAfter(a *account, now time.Duration) time.Duration {
	wait := 2 * minRetryAfter
	for _, s := range a.slices {
		wait = max(wait, s.scarceUntil-now)
	}
	return max(minRetryAfter, time.Duration(float64(wait)*(1+2*h.rand.Float64())))
}

// movingRate is a moving average of events per second.
type movingRate struct {
	value float64
	at    time.Duration
}

func (r *movingRate) add(now time.Duration) {
	r.value = r.get(now) + 1/rateTime.Seconds()
	r.at = now
}

func (r *movingRate) get(now time.Duration) float64 {
	return r.value * math.Exp(-(now-r.at).Seconds()/rateTime.Seconds())
}

// localShare is the token bucket of an instance that no owner answers.
type localShare struct {
	level float64
	at    time.Duration
	// used is set once the bucket is in use.
	used bool
}

// useLocal uses a token of the local share. What all instances may use together is
// divided by their number; if that is below one token, some instances have one and
// the others none. It does not depend on messages, so it holds without them.
func (h *Holder) useLocal(a *account, now time.Duration) bool {
	mean := a.limit.local() / float64(h.listed)
	size := math.Floor(mean)
	if draw := float64(uint32(mixHashes(uint64(h.self), uint64(a.id)))) / (1 << 32); draw < mean-size {
		size++
	}
	if size == 0 {
		return false
	}
	l := &a.local
	if !l.used {
		*l = localShare{level: size, at: now, used: true}
	}
	l.level = min(size, l.level+localRefill*a.limit.Rate*size/a.limit.local()*(now-l.at).Seconds())
	l.at = now
	if l.level < 1 {
		return false
	}
	l.level--
	a.counts.Taken++
	a.counts.Local++
	return true
}
