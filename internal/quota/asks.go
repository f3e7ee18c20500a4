package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// firstRTT is the assumed round trip to an owner that has not answered yet, and
	// firstNearRTT that to one in the own region.
	firstRTT, firstNearRTT = 40 * time.Millisecond, 4 * time.Millisecond
	// An owner counts as not answering after answerFactor round trips and answerSlack.
	answerFactor, answerSlack = 1.3, 8 * time.Millisecond
	// minAvoid and maxAvoid bound the time for which an owner is not asked that has not
	// answered avoidFailures messages in a row. It doubles with each further failure. A
	// single message may have been lost.
	minAvoid, maxAvoid = 100 * time.Millisecond, 800 * time.Millisecond
	avoidFailures      = 4
	// skipTime is the time for which a tenant's requests are not sent to an owner that
	// has not answered them, nor skipFailures messages in a row.
	skipTime     = 30 * time.Millisecond
	skipFailures = 2
	// lastFailures is the number of failures up to which such an owner is asked if no
	// other is left.
	lastFailures = 8
	// extraDelay is how long attempts without a token wait for a message that is sent
	// anyway.
	extraDelay = 250 * time.Millisecond
	// forgetAsk is the time after which a message without an answer is forgotten. The
	// tokens of a later answer have expired.
	forgetAsk = tokenLifetime
)

// Owned names the owner of a slice for a holder.
type Owned struct {
	// Owner identifies the instance. Known is false if there is none.
	Owner uint32
	Known bool
	// Near means that the owner is in the region of the holder.
	Near bool
}

// link is what a holder knows of the owner of a slice.
type link struct {
	Owned
	rtt        time.Duration
	failures   int
	avoidUntil time.Duration
}

// sentAsk is a message to an owner.
type sentAsk struct {
	slice   Slice
	owner   uint32
	at      time.Duration
	late    bool
	records []AskRecord
}

// Outgoing is a message to send to an owner.
type Outgoing struct {
	To  uint32
	Ask Ask
}

// SetOwners sets the owners of all slices.
func (h *Holder) SetOwners(owners [SliceCount]Owned) {
	for s, o := range owners {
		if l := &h.links[s]; l.Owned != o {
			*l = link{Owned: o}
		}
	}
}

// slice returns which slice of a tenant's quota to ask next, or -1 if there is none:
// one with a near owner first, and one whose owner has failed to answer last.
func (h *Holder) slice(a *account, now time.Duration) int {
	best, last := -1, -1
	for i := range slicesPerTenant {
		k := (i + int(h.self)) % slicesPerTenant
		l := &h.links[sliceOf(a.id.group(), k)]
		s := &a.slices[k]
		switch {
		case !l.Known || s.scarceUntil > now || s.pending != 0:
		case l.avoidUntil > now, s.skipUntil > now:
			if l.failures <= lastFailures && last < 0 {
				last = k
			}
		case l.Near:
			return k
		case best < 0:
			best = k
		}
	}
	if best < 0 && !a.isPending() {
		return last
	}
	return best
}

// Asks returns the messages that are due.
func (h *Holder) Asks(now time.Duration) []Outgoing {
	var bySlice [SliceCount][]AskRecord
	for _, a := range h.order {
		urgent, ahead := h.wanted(a, now)
		if urgent+ahead == 0 && (a.extra == 0 || now-a.extraSince < extraDelay) {
			continue
		}
		k := h.slice(a, now)
		if k < 0 {
			continue
		}
		if ahead > 0 {
			a.askedAhead = now
		}
		s := sliceOf(a.id.group(), k)
		a.slices[k].pending = h.seqFor(s, bySlice[s])
		bySlice[s] = append(bySlice[s], AskRecord{Tenant: a.id, Urgent: urgent, Ahead: ahead, Held: a.held(s), Extra: a.extra})
		// The answer brings it back if the message is lost.
		a.extra = 0
	}
	var out []Outgoing
	for s, records := range bySlice {
		if len(records) == 0 {
			continue
		}
		l := &h.links[s]
		seq := h.accounts[records[0].Tenant].slices[s%slicesPerTenant].pending
		h.asked = append(h.asked, seq)
		h.sent[seq] = &sentAsk{slice: Slice(s), owner: l.Owner, at: now, records: records}
		out = append(out, Outgoing{To: l.Owner, Ask: Ask{From: h.self, Seq: seq, Slice: Slice(s), Records: records}})
	}
	return out
}

// seqFor returns the number of the message for a slice, which is a new one if it has
// no records yet.
func (h *Holder) seqFor(s Slice, records []AskRecord) uint32 {
	if len(records) > 0 {
		return h.accounts[records[0].Tenant].slices[int(s)%slicesPerTenant].pending
	}
	if h.seq++; h.seq == 0 {
		h.seq = 1
	}
	return h.seq
}

// wanted returns how many tokens a tenant needs for waiting and for expected
// requests.
func (h *Holder) wanted(a *account, now time.Duration) (urgent, ahead uint32) {
	a.expire(now)
	urgent = uint32(len(a.waiters))
	for k := range a.slices {
		if m := h.sent[a.slices[k].pending]; m != nil && !m.late {
			urgent -= min(urgent, m.urgent(a.id))
		}
	}
	rate := a.rate.get(now)
	if rate < minAheadRate || now-a.askedAhead < aheadInterval {
		return urgent, 0
	}
	lasting := uint32(0)
	for _, b := range a.tokens {
		if b.expires > now+askEarly {
			lasting += b.n
		}
	}
	if target := uint32(math.Ceil(rate * aheadTime.Seconds())); lasting <= target/2 {
		ahead = target - lasting
	}
	return urgent, ahead
}

// urgent returns how many tokens a message asks for on behalf of waiting requests.
func (m *sentAsk) urgent(id TenantID) uint32 {
	for _, r := range m.records {
		if r.Tenant == id {
			return r.Urgent
		}
	}
	return 0
}

// Receive takes the tokens of an answer. Their lifetime counts from when they were
// asked for, so a late answer brings fewer or none.
func (h *Holder) Receive(g Grant, now time.Duration) {
	m := h.sent[g.Seq]
	if m == nil || m.owner != g.From {
		return
	}
	delete(h.sent, g.Seq)
	h.links[m.slice].answered(m.owner, now-m.at)
	for _, r := range g.Records {
		if a := h.accounts[r.Tenant]; a != nil {
			h.receive(a, m, g.Seq, r, now)
		}
	}
	for _, r := range m.records {
		if a := h.accounts[r.Tenant]; a != nil {
			h.settle(a, now)
		}
	}
}

func (h *Holder) receive(a *account, m *sentAsk, seq uint32, r GrantRecord, now time.Duration) {
	s := &a.slices[int(m.slice)%slicesPerTenant]
	if s.pending == seq {
		s.pending = 0
	}
	if r.Wait > 0 {
		s.scarceUntil = now + r.Wait
	}
	asked := m.record(a.id)
	if r.Wait == 0 && r.Tokens < asked.Urgent+asked.Ahead {
		a.askedAhead = now + aheadPause - aheadInterval
	}
	expires := m.at + tokenLifetime
	if r.Tokens > 0 && expires > now && m.at >= a.limitSince {
		a.tokens = append(a.tokens, batch{m.slice, r.Tokens, expires})
	}
	h.serve(a)
}

func (m *sentAsk) record(id TenantID) AskRecord {
	for _, r := range m.records {
		if r.Tenant == id {
			return r
		}
	}
	return AskRecord{}
}

// answered records an answer of the owner.
func (l *link) answered(owner uint32, took time.Duration) {
	if l.Owner != owner {
		return
	}
	if l.rtt == 0 {
		l.rtt = took
	}
	l.rtt = (3*l.rtt + took) / 4
	l.failures, l.avoidUntil = 0, 0
}

// answerLimit returns how long to wait for an answer of the owner, at most until the
// message is forgotten.
func (l *link) answerLimit() time.Duration {
	rtt := l.rtt
	switch {
	case rtt == 0 && l.Near:
		rtt = firstNearRTT
	case rtt == 0:
		rtt = firstRTT
	}
	return min(time.Duration(answerFactor*float64(rtt))+answerSlack, forgetAsk)
}

// Tick has to be called regularly. It turns to other owners where one does not
// answer, and refuses requests that have waited for too long.
func (h *Holder) Tick(now time.Duration) {
	h.asked = slices.DeleteFunc(h.asked, func(seq uint32) bool {
		m := h.sent[seq]
		if m == nil {
			return true
		}
		l := &h.links[m.slice]
		if !m.late && now-m.at >= l.answerLimit() {
			h.unanswered(seq, m, l, now)
		}
		if now-m.at >= forgetAsk {
			delete(h.sent, seq)
			return true
		}
		return false
	})
	for _, a := range h.order {
		if len(a.waiters) > 0 {
			h.settle(a, now)
		}
	}
}

// unanswered records that an owner has not answered a message in time. What was sent
// without a token is reported again; if only the answer was lost, tokens are lost.
func (h *Holder) unanswered(seq uint32, m *sentAsk, l *link, now time.Duration) {
	m.late = true
	if l.Owner == m.owner {
		if l.failures++; l.failures >= avoidFailures {
			l.avoidUntil = now + min(minAvoid<<min(l.failures-avoidFailures, 8), maxAvoid)
		}
	}
	for _, r := range m.records {
		a := h.accounts[r.Tenant]
		if a == nil {
			continue
		}
		a.extra += r.Extra
		if s := &a.slices[int(m.slice)%slicesPerTenant]; s.pending == seq {
			s.pending = 0
			if l.failures >= skipFailures {
				s.skipUntil = now + skipTime
			}
		}
	}
}

// settle decides on waiting requests that no owner is left to ask for, or that have
// waited for too long.
func (h *Holder) settle(a *account, now time.Duration) {
	for len(a.waiters) > 0 {
		if now < a.waiters[0].deadline && (a.isPending() || h.slice(a, now) >= 0) {
			return
		}
		ok, retryAfter := h.refuse(a, now)
		h.wakeFirst(a, ok, retryAfter)
	}
}

// Counts returns the counters of all tenants that have sent requests.
func (h *Holder) Counts(now time.Duration) map[TenantID]Counts {
	out := make(map[TenantID]Counts, len(h.accounts))
	for id, n := range h.unlimited {
		out[id] = Counts{Received: n, Taken: n}
	}
	for id, a := range h.accounts {
		a.expire(now)
		c := a.counts
		for _, b := range a.tokens {
			c.Held += int(b.n)
		}
		out[id] = c
	}
	return out
}
