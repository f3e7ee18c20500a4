// Package quarantine stops requests that crash the endpoints which run them.
//
// Each connection that breaks without a response is a report of the request's
// fingerprint and the endpoint. Reports of one endpoint within crashWindow are
// one crash. Reports spread by gossip, so that all instances count together.
//
// A crash is attributed to those of its requests that were at the most crashes
// before: a request that crashed two endpoints explains the third, and the
// others that were there are not blamed. A request is refused only after a
// crash that it alone explains. A request that completes is cleared. So a
// request that crashes every endpoint is always among the blamed, and no other
// one is ever refused, once the reports have arrived.
package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
)

// Verdict says how a request may run.
type Verdict = forward.Verdict

// The verdicts.
const (
	Allow   = forward.VerdictAllow
	Isolate = forward.VerdictIsolate
	Refuse  = forward.VerdictRefuse
)

const (
	// isolateCrashes is after how many crashes a request is isolated.
	isolateCrashes = 2
	// refuseCrashes is after how many crashes, of at least refuseEndpoints
	// endpoints, a request is refused.
	refuseCrashes   = 3
	refuseEndpoints = 2
	// refuseRepeats is the same for crashes of a single endpoint, which may
	// also crash repeatedly by its own fault.
	refuseRepeats = 5
	// settleTime is how long a request is held after the crash that leads to
	// its refusal. Reports of other instances that arrive meanwhile may show
	// that another request explains the crash.
	settleTime = 500 * time.Millisecond
	// crashWindow joins the reports of one crash: the instances notice it
	// within milliseconds and hear of each other's reports within a second.
	crashWindow = 2 * time.Second
	// Retention is how long a verdict lasts after the last crash.
	Retention = 10 * time.Minute
	// reportRetention is how long reports count. It is longer than a verdict,
	// so that the last crash's verdict does not lose its earlier reports, and
	// one more crash after a verdict has lapsed renews it.
	reportRetention = 2 * Retention
	// maxReports bounds the memory and the news. A crash has at most as many
	// reports as the endpoint has slots; 400 cover 80 crashes in 20 minutes.
	maxReports       = 400
	maxEndpointBytes = 128
	// expiryInterval spaces the searches for old reports.
	expiryInterval = time.Second
)

// report is one broken connection, or the proof that a request completes.
type report struct {
	id       uint64
	at       time.Time
	fp       uint64
	endpoint model.EndpointID
	cleared  bool
}

// Quarantine holds reports and verdicts. Its methods are safe for concurrent
// use.
type Quarantine struct {
	now func() time.Time

	mu      sync.RWMutex
	rng     *rand.Rand
	reports map[uint64]report
	// sum is the exclusive or of the reports' names.
	sum uint64
	// nextExpiry is when old reports are looked for again.
	nextExpiry time.Time
	// suspects is computed from the reports.
	suspects map[uint64]suspect
	inFlight map[model.EndpointID]*load
}

// suspect is what the crashes show of a fingerprint.
type suspect struct {
	endpoints map[model.EndpointID]bool
	crashes   int
	last      time.Time
	// refused means that it alone explained a crash after enough others.
	refused bool
}

// load is the requests of this instance in flight at an endpoint.
type load struct {
	count int
	// alone lists the fingerprints that must not share the endpoint.
	alone map[uint64]int
}

// New returns a Quarantine. The random source names its reports.
func New(rng *rand.Rand) *Quarantine {
	return &Quarantine{
		now: time.Now, rng: rng, reports: map[uint64]report{}, suspects: map[uint64]suspect{},
		inFlight: map[model.EndpointID]*load{},
	}
}

// Check returns the verdict on a request.
func (q *Quarantine) Check(fingerprint uint64) Verdict {
	q.mu.RLock()
	defer q.mu.RUnlock()
	return q.verdict(fingerprint, q.now())
}

// Decide returns the verdict on a request that is to run now. One that is about
// to be refused is held back until the other instances' reports of the last
// crash have arrived; its caller may send it again.
func (q *Quarantine) Decide(fingerprint uint64) Verdict {
	v := q.Check(fingerprint)
	if v == Isolate && !q.MayStart(fingerprint, "") {
		return Refuse
	}
	return v
}

func (q *Quarantine) verdict(fp uint64, now time.Time) Verdict {
	s, ok := q.suspects[fp]
	if !ok || now.Sub(s.last) > Retention {
		return Allow
	}
	if s.refused && now.Sub(s.last) >= settleTime {
		return Refuse
	}
	if s.crashes >= isolateCrashes {
		return Isolate
	}
	return Allow
}

// MayStart reports whether a request may start at an endpoint now, next to
// this instance's other requests there.
func (q *Quarantine) MayStart(fingerprint uint64, e model.EndpointID) bool {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.suspects[fingerprint].refused && q.verdict(fingerprint, q.now()) != Allow {
		return false
	}
	l := q.inFlight[e]
	if l == nil || l.count == 0 {
		return true
	}
	return len(l.alone) == 0 && q.verdict(fingerprint, q.now()) == Allow
}

// Started notes that a request is about to be sent to an endpoint.
func (q *Quarantine) Started(fingerprint uint64, e model.EndpointID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.inFlight[e]
	if l == nil {
		l = &load{alone: map[uint64]int{}}
		q.inFlight[e] = l
	}
	l.count++
	if q.verdict(fingerprint, q.now()) == Isolate {
		l.alone[fingerprint]++
	}
}

// Finished ends what Started began. Crashed means that the connection broke
// without a response; an idle connection that the endpoint closed is no crash.
func (q *Quarantine) Finished(fingerprint uint64, e model.EndpointID, crashed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leave(fingerprint, e)
	_, known := q.suspects[fingerprint]
	if !crashed && !known {
		return
	}
	r := report{id: q.rng.Uint64(), at: q.now(), fp: fingerprint, endpoint: e, cleared: !crashed}
	q.add(r)
	q.evaluate()
}

// Cancelled ends what Started began without a report: the request did not reach
// the endpoint, was refused or was cancelled. It clears no suspect.
func (q *Quarantine) Cancelled(fingerprint uint64, e model.EndpointID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leave(fingerprint, e)
}

func (q *Quarantine) leave(fp uint64, e model.EndpointID) {
	l := q.inFlight[e]
	if l == nil {
		return
	}
	l.count--
	if l.alone[fp] > 1 {
		l.alone[fp]--
	} else {
		delete(l.alone, fp)
	}
	if l.count <= 0 {
		delete(q.inFlight, e)
	}
}

// add keeps a report unless it is known, and discards the oldest ones.
func (q *Quarantine) add(r report) bool {
	if _, ok := q.reports[r.id]; ok || q.now().Sub(r.at) > reportRetention {
		return false
	}
	q.reports[r.id] = r
	q.sum ^= r.id
	if len(q.reports) > maxReports {
		oldest := r
		for _, other := range q.reports {
			if other.at.Before(oldest.at) {
				oldest = other
			}
		}
		q.remove(oldest.id)
		return oldest.id != r.id
	}
	return true
}

func (q *Quarantine) remove(id uint64) {
	delete(q.reports, id)
	q.sum ^= id
}

// expire discards old reports.
func (q *Quarantine) expire() {
	now := q.now()
	if now.Before(q.nextExpiry) {
		return
	}
	q.nextExpiry = now.Add(expiryInterval)
	for id, r := range q.reports {
		if now.Sub(r.at) > reportRetention {
			q.remove(id)
		}
	}
}

// evaluate computes the suspects from all reports in the order of time.
func (q *Quarantine) evaluate() {
	q.expire()
	ordered := make([]report, 0, len(q.reports))
	for _, r := range q.reports {
		ordered = append(ordered, r)
	}
	slices.SortFunc(ordered, func(a, b report) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id))
	})
	clear(q.suspects)
	open := map[model.EndpointID]*crash{}
	var crashes []*crash
	for _, r := range ordered {
		crashes = appendReport(crashes, open, r)
	}
	for _, c := range crashes {
		q.attribute(c)
	}
}

// crash is the reports of one crash, or of one cleared request.
type crash struct {
	endpoint model.EndpointID
	at       time.Time
	fps      map[uint64]bool
	cleared  bool
}

func appendReport(crashes []*crash, open map[model.EndpointID]*crash, r report) []*crash {
	if c := open[r.endpoint]; c != nil && !r.cleared && r.at.Sub(c.at) <= crashWindow {
		c.fps[r.fp] = true
		return crashes
	}
	c := &crash{endpoint: r.endpoint, at: r.at, fps: map[uint64]bool{r.fp: true}, cleared: r.cleared}
	if !r.cleared {
		open[r.endpoint] = c
	}
	return append(crashes, c)
}

// attribute blames those of a crash's requests that were at the most crashes.
func (q *Quarantine) attribute(c *crash) {
	most, equals := -1, 0
	for fp := range c.fps {
		n := q.suspects[fp].crashes
		if n > most {
			most, equals = n, 0
		}
		if n == most {
			equals++
		}
	}
	for fp := range c.fps {
		switch {
		case c.cleared:
			delete(q.suspects, fp)
		case q.suspects[fp].crashes == most:
			q.blame(fp, c, equals == 1)
		}
	}
}

func (q *Quarantine) blame(fp uint64, c *crash, alone bool) {
	s := q.suspects[fp]
	if s.endpoints == nil {
		s.endpoints = map[model.EndpointID]bool{}
	}
	s.endpoints[c.endpoint] = true
	s.crashes++
	s.last = c.at
	enough := s.crashes >= refuseCrashes && len(s.endpoints) >= refuseEndpoints || s.crashes >= refuseRepeats
	s.refused = s.refused || alone && enough
	q.suspects[fp] = s
}
