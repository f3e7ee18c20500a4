// Package quarantine isolates and then refuses requests that crash the endpoints
// which run them.
//
// A connection that breaks without a response results in a report with the
// request's fingerprint and the endpoint. Reports about one endpoint within
// crashWindow belong to one crash. Reports are exchanged between the instances,
// so that all count the same crashes.
//
// A crash is attributed to one of the requests that were in flight at the
// endpoint: to the one that has the most crashes attributed to it so far, or to
// several if they have equally many. A request that has crashed two endpoints
// thus explains the crash of a third, which is not attributed to the others in
// flight there. A request is refused only after a crash that is attributed to it
// alone. A request that completes is cleared. As a result, each crash by a
// request that crashes every endpoint is attributed to it, possibly among others,
// and once all reports have arrived no other request is ever refused.
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

// Verdict is whether and how a request may run.
type Verdict = forward.Verdict

// The verdicts. An isolated request may run only at an endpoint that has no other
// requests of this instance in flight.
const (
	Allow   = forward.VerdictAllow
	Isolate = forward.VerdictIsolate
	Refuse  = forward.VerdictRefuse
)

const (
	// isolateCrashes is the number of crashes after which a request is isolated.
	isolateCrashes = 2
	// refuseCrashes is the number of crashes, of at least refuseEndpoints
	// endpoints, after which a request is refused.
	refuseCrashes   = 3
	refuseEndpoints = 2
	// refuseCrashesOneEndpoint is the number of crashes of a single endpoint after
	// which a request is refused. It is larger because the cause may be a fault of
	// that endpoint.
	refuseCrashesOneEndpoint = 5
	// refusalDelay is the time between the crash that leads to a refusal and the
	// refusal. The request is held back in between, because reports of other
	// instances that arrive then may attribute the crash to another request.
	refusalDelay = 500 * time.Millisecond
	// crashWindow is the time within which reports about an endpoint belong to
	// one crash. Instances detect a crash within milliseconds and receive each
	// other's reports within a second.
	crashWindow = 2 * time.Second
	// Retention is how long a verdict lasts after the last crash that is
	// attributed to the request.
	Retention = 10 * time.Minute
	// reportRetention is how long reports are kept. It is longer than Retention,
	// so that the reports on which a verdict is based outlast it, and a single
	// crash after a verdict has expired renews it.
	reportRetention = 2 * Retention
	// maxReports bounds the number of reports, and so the memory and the size of
	// messages. A crash has at most as many reports as the endpoint has slots; 400
	// reports cover 80 crashes in 20 minutes.
	maxReports = 400
	// maxEndpointBytes bounds the length of an endpoint ID in a report.
	maxEndpointBytes = 128
	// expiryInterval is the shortest time between two searches for old reports.
	expiryInterval = time.Second
)

// report is a broken connection or, if cleared is set, the proof that a request
// completes.
type report struct {
	id       uint64
	at       time.Time
	fp       uint64
	endpoint model.EndpointID
	cleared  bool
}

// Quarantine holds the reports and the verdicts that follow from them. It is
// safe for concurrent use.
type Quarantine struct {
	now func() time.Time

	mu      sync.RWMutex
	rng     *rand.Rand
	reports map[uint64]report
	// sum is the exclusive or of the reports' IDs, which are random.
	sum uint64
	// nextExpiry is when old reports are searched for again.
	nextExpiry time.Time
	// suspects holds, by fingerprint, what the reports show. It is recomputed
	// when a report is added.
	suspects map[uint64]suspect
	inFlight map[model.EndpointID]*load
}

// suspect describes the crashes that are attributed to a fingerprint.
type suspect struct {
	endpoints map[model.EndpointID]bool
	crashes   int
	last      time.Time
	// refused means that enough crashes are attributed to the fingerprint, and
	// the last of them to it alone.
	refused bool
}

// load describes this instance's requests in flight at an endpoint.
type load struct {
	count int
	// exclusive counts the isolated requests by fingerprint. They must not share
	// the endpoint with others.
	exclusive map[uint64]int
}

// New returns a Quarantine. rng generates the IDs of its reports.
func New(rng *rand.Rand) *Quarantine {
	return &Quarantine{
		now: time.Now, rng: rng, reports: map[uint64]report{}, suspects: map[uint64]suspect{},
		inFlight: map[model.EndpointID]*load{},
	}
}

// Check returns the current verdict on a request.
func (q *Quarantine) Check(fingerprint uint64) Verdict {
	q.mu.RLock()
	defer q.mu.RUnlock()
	return q.verdict(fingerprint, q.now())
}

// Decide returns the verdict on a request that is to run now. Unlike Check it
// already refuses a request during refusalDelay, in which the other instances'
// reports of the last crash arrive. The caller may send the request again.
func (q *Quarantine) Decide(fingerprint uint64) Verdict {
	v := q.Check(fingerprint)
	if v == Isolate && !q.MayStart(fingerprint, "") {
		return Refuse
	}
	return v
}

// verdict returns the verdict on a fingerprint. The lock is held.
func (q *Quarantine) verdict(fp uint64, now time.Time) Verdict {
	s, ok := q.suspects[fp]
	if !ok || now.Sub(s.last) > Retention {
		return Allow
	}
	if s.refused && now.Sub(s.last) >= refusalDelay {
		return Refuse
	}
	if s.crashes >= isolateCrashes {
		return Isolate
	}
	return Allow
}

// MayStart reports whether a request may start at an endpoint now, in view of its
// verdict and of this instance's other requests there. It is false for a request
// that is refused or held back during refusalDelay.
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
	return len(l.exclusive) == 0 && q.verdict(fingerprint, q.now()) == Allow
}

// Started records that a request is about to be sent to an endpoint. Each call
// must be followed by one of Finished or Cancelled.
func (q *Quarantine) Started(fingerprint uint64, e model.EndpointID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.inFlight[e]
	if l == nil {
		l = &load{exclusive: map[uint64]int{}}
		q.inFlight[e] = l
	}
	l.count++
	if q.verdict(fingerprint, q.now()) == Isolate {
		l.exclusive[fingerprint]++
	}
}

// Finished records the end of a request. crashed means that the connection broke
// without a response; an idle connection that the endpoint closed is not a crash.
func (q *Quarantine) Finished(fingerprint uint64, e model.EndpointID, crashed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeInFlight(fingerprint, e)
	_, known := q.suspects[fingerprint]
	if !crashed && !known {
		return
	}
	r := report{id: q.rng.Uint64(), at: q.now(), fp: fingerprint, endpoint: e, cleared: !crashed}
	q.add(r)
	q.evaluate()
}

// Cancelled records the end of a request without a report: the request did not
// reach the endpoint, was refused or was cancelled. It does not clear the
// request.
func (q *Quarantine) Cancelled(fingerprint uint64, e model.EndpointID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeInFlight(fingerprint, e)
}

// removeInFlight removes a request from those in flight at an endpoint. The
// lock is held.
func (q *Quarantine) removeInFlight(fp uint64, e model.EndpointID) {
	l := q.inFlight[e]
	if l == nil {
		return
	}
	l.count--
	if l.exclusive[fp] > 1 {
		l.exclusive[fp]--
	} else {
		delete(l.exclusive, fp)
	}
	if l.count <= 0 {
		delete(q.inFlight, e)
	}
}

// add adds a report unless it is known or too old, and drops the oldest one if
// there are too many. It reports whether the report was added. The lock is
// held.
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

// expire drops old reports. The lock is held.
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

// evaluate recomputes the suspects from all reports in the order of their
// times. The lock is held.
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

// crash holds the reports of one crash, or the one report that clears a request.
type crash struct {
	endpoint model.EndpointID
	at       time.Time
	fps      map[uint64]bool
	cleared  bool
}

// appendReport adds a report to the crash to which it belongs, or appends a new
// one. open holds the last crash of each endpoint.
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

// attribute attributes a crash to the request in it that has the most crashes
// attributed to it so far, or to several if they have equally many. A report that
// clears a request removes it from the suspects. The lock is held.
func (q *Quarantine) attribute(c *crash) {
	most, ties := -1, 0
	for fp := range c.fps {
		n := q.suspects[fp].crashes
		if n > most {
			most, ties = n, 0
		}
		if n == most {
			ties++
		}
	}
	for fp := range c.fps {
		switch {
		case c.cleared:
			delete(q.suspects, fp)
		case q.suspects[fp].crashes == most:
			q.addCrash(fp, c, ties == 1)
		}
	}
}

// addCrash attributes a crash to a fingerprint. sole means that the crash is
// attributed to this fingerprint alone. The lock is held.
func (q *Quarantine) addCrash(fp uint64, c *crash, sole bool) {
	s := q.suspects[fp]
	if s.endpoints == nil {
		s.endpoints = map[model.EndpointID]bool{}
	}
	s.endpoints[c.endpoint] = true
	s.crashes++
	s.last = c.at
	enough := s.crashes >= refuseCrashes && len(s.endpoints) >= refuseEndpoints || s.crashes >= refuseCrashesOneEndpoint
	s.refused = s.refused || sole && enough
	q.suspects[fp] = s
}
