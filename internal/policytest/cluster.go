package policytest

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
)

const (
	service           = model.Service("lists")
	instanceCount     = 20
	meanServiceTime   = 50 * time.Millisecond
	serviceTimeSigma  = 0.4 // of the logarithm of the service time
	recordIntentTime  = time.Millisecond
	naiveSlots        = 3 // per instance of the baseline: 60 in total, for 48 slots of endpoints
	callerMaxAttempts = 3 // including the first one
	callerRetryRatio  = 0.1
	callerJitter      = 10 * time.Millisecond
)

// callerTimeout is how long a caller waits in total, over all its attempts.
var callerTimeout = map[model.Priority]time.Duration{
	model.PriorityCritical: 2 * time.Second,
	model.PriorityNormal:   2 * time.Second,
	model.PriorityBulk:     4 * time.Second,
}

// callerRequest is a request that a caller sends to an instance.
type callerRequest struct {
	priority    model.Priority
	repeatable  bool
	serviceTime time.Duration
	deadline    time.Time
	// retries is how often the caller has sent the request before.
	retries int
}

// result is the response of an instance to a caller.
type result struct {
	outcome    model.Outcome
	status     int
	retryAfter time.Duration
}

// doer handles requests as an instance of the product or of the baseline. The
// context ends at the deadline of the request.
type doer interface {
	do(ctx context.Context, req callerRequest) result
}

// offeredLoad is the load of one priority, as a fraction of capacity.
type offeredLoad struct {
	priority model.Priority
	fraction float64
	from, to time.Duration
	// timeout replaces callerTimeout if it is not 0.
	timeout time.Duration
}

// event changes the cluster at a time after the start.
type event struct {
	at time.Duration
	do func(w *cluster)
}

// scenario describes one run.
type scenario struct {
	name    string
	regions []model.Region
	loads   []offeredLoad
	events  []event
	// prepare changes the cluster before the start.
	prepare func(w *cluster)
	// seed selects the random numbers. Only runs with seed 0 are printed.
	seed uint64
	// from and to limit the interval that is measured.
	from, to time.Duration
	// minimum is the minimum share of slot time by priority, for
	// admission.Controller.SetMinimum.
	minimum map[model.Priority]float64
	// affected reports whether an endpoint is affected by the event at
	// avoidFrom. The run measures how soon such endpoints are avoided.
	affected  func(e *endpoint) bool
	avoidFrom time.Duration
}

// cluster is the state of one run.
type cluster struct {
	scenario scenario
	naive    bool
	start    time.Time
	// order holds the endpoints in the order of their numbers.
	order     []*endpoint
	endpoints map[model.EndpointID]*endpoint
	instances []*instance
	pool      *slotPool
	sends     atomic.Int64
	callers   sync.WaitGroup

	mu          sync.Mutex
	calls       []callRecord
	retryTokens float64 // the callers' retry budget
	retries     int
}

// instance is one entry instance. Either naive or product is set.
type instance struct {
	id      model.InstanceID
	doer    doer
	naive   *naive
	product *product
}

// callRecord is the result that one caller saw.
type callRecord struct {
	start       time.Duration
	priority    model.Priority
	serviceTime time.Duration
	latency     time.Duration
	ok          bool
}

func newCluster(s scenario, isNaive bool) *cluster {
	if len(s.regions) == 0 {
		s.regions = []model.Region{"lagos"}
	}
	w := &cluster{scenario: s, naive: isNaive, start: time.Now(), endpoints: map[model.EndpointID]*endpoint{}}
	w.addEndpoints()
	w.addInstances()
	w.setEndpoints(w.endpointList())
	return w
}

func (w *cluster) addEndpoints() {
	for i := range 12 {
		region := w.scenario.regions[i%len(w.scenario.regions)]
		domain := fmt.Sprintf("%s-%c", region, 'a'+rune(i/len(w.scenario.regions)%2))
		e := &endpoint{
			Endpoint: model.Endpoint{
				ID:      model.EndpointID(fmt.Sprintf("lists-%d", i)),
				Service: service, Region: region, Domain: model.Domain(domain), Slots: 3 + i/3%3,
			},
			from: w.start.Add(w.scenario.from), to: w.start.Add(w.scenario.to),
			silent: map[model.InstanceID]int{},
			busy:   map[model.Priority]time.Duration{},
		}
		w.order = append(w.order, e)
		w.endpoints[e.ID] = e
	}
}

func (w *cluster) addInstances() {
	pool := &slotPool{
		regions: w.scenario.regions, free: map[model.Region]int{},
		held: map[model.Priority]time.Duration{}, from: w.start.Add(w.scenario.from), to: w.start.Add(w.scenario.to),
	}
	w.pool = pool
	for _, e := range w.order {
		pool.free[e.Region] += e.Slots
	}
	for i := range instanceCount {
		region := w.scenario.regions[i%len(w.scenario.regions)]
		id := model.InstanceID(fmt.Sprintf("%s-%d", region, i))
		domain := model.Domain(fmt.Sprintf("%s-%c", region, 'a'+rune(i/len(w.scenario.regions)%2)))
		t := &transport{cluster: w, id: id, region: region, domain: domain, staggerer: &staggerer{index: int64(i)}}
		w.instances = append(w.instances, w.newInstance(i, id, t, pool.addRouter(region)))
	}
}

func (w *cluster) newInstance(i int, id model.InstanceID, t *transport, r *router) *instance {
	rnd := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(i)+1000*w.scenario.seed, n)) }
	if w.naive {
		n := &naive{transport: t, rnd: rnd(1), freeSlots: naiveSlots}
		return &instance{id: id, doer: n, naive: n}
	}
	p := newProduct(id, t, r, rnd)
	p.admission.SetMinimum(w.scenario.minimum)
	return &instance{id: id, doer: p, product: p}
}

// staggerer returns a different delay for each event of an instance. Without it
// events would fall on the same instant, whose timers synctest fires in random
// order, and the figures would not be reproducible. Delays of different
// instances differ modulo staggerStep, since an event of one instance often
// causes events of others.
type staggerer struct {
	index int64
	n     atomic.Int64
}

// staggerStep is larger than the number of instances.
const staggerStep = 32

func (s *staggerer) next() time.Duration {
	return time.Duration(s.n.Add(1)%1000*staggerStep + s.index)
}

// staggeredAdmission delays each admitted request by a different time, so that
// requests that get slots at the same instant do not continue in random order.
type staggeredAdmission struct {
	forward.AdmissionController
	staggerer *staggerer
}

func (a *staggeredAdmission) Admit(ctx context.Context, n forward.AdmissionRequest) (forward.Permit, error) {
	p, err := a.AdmissionController.Admit(ctx, n)
	if err == nil {
		time.Sleep(a.staggerer.next())
	}
	return p, err
}

func (w *cluster) endpointList() []model.Endpoint {
	var l []model.Endpoint
	for _, e := range w.order {
		l = append(l, e.Endpoint)
	}
	return l
}

func (n *instance) setEndpoints(l []model.Endpoint) {
	if n.naive != nil {
		n.naive.setEndpoints(l)
		return
	}
	n.product.roster.SetEndpoints(time.Now(), l)
}

func (w *cluster) setEndpoints(l []model.Endpoint) {
	for _, n := range w.instances {
		n.setEndpoints(l)
	}
}

// updateEndpoints applies f to all endpoints.
func (w *cluster) updateEndpoints(f func(*endpoint)) {
	for _, e := range w.order {
		e.mu.Lock()
		f(e)
		e.mu.Unlock()
	}
}

// capacity returns the number of requests per second that all endpoints can
// serve at the mean service time.
func (w *cluster) capacity() float64 {
	n := 0
	for _, e := range w.order {
		n += e.Slots
	}
	return float64(n) / meanServiceTime.Seconds()
}

// run runs the scenario and returns when all callers have finished.
func (w *cluster) run() {
	ctx, stop := context.WithCancel(context.Background())
	if w.scenario.prepare != nil {
		w.scenario.prepare(w)
	}
	for _, e := range w.scenario.events {
		time.AfterFunc(e.at, func() { e.do(w) })
	}
	go w.sampleLoads(ctx)
	for _, n := range w.instances {
		if n.product != nil {
			go n.product.prober.Run(ctx)
		}
	}
	for i, l := range w.scenario.loads {
		w.callers.Add(1)
		go w.generateLoad(l, rand.New(rand.NewPCG(uint64(i), 7+w.scenario.seed)))
	}
	w.callers.Wait()
	stop()
	for _, n := range w.instances {
		if n.product != nil {
			n.product.engine.Wait(context.Background())
		}
	}
	time.Sleep(tcpUserTimeout + 5*time.Second) // for slots with a deferred release
}

func (w *cluster) sampleLoads(ctx context.Context) {
	for sleep(ctx, reportLag) {
		for _, e := range w.order {
			e.sampleLoad()
		}
	}
}

// generateLoad starts callers at exponentially distributed intervals.
func (w *cluster) generateLoad(l offeredLoad, rnd *rand.Rand) {
	defer w.callers.Done()
	time.Sleep(l.from)
	rate := l.fraction * w.capacity()
	for {
		time.Sleep(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
		if time.Since(w.start) >= l.to {
			return
		}
		w.callers.Add(1)
		go w.runCaller(l, drawServiceTime(rnd), rnd.IntN(instanceCount), rnd.Float64())
	}
}

// drawServiceTime draws a lognormal service time with mean meanServiceTime.
func drawServiceTime(rnd *rand.Rand) time.Duration {
	f := math.Exp(serviceTimeSigma*rnd.NormFloat64() - serviceTimeSigma*serviceTimeSigma/2)
	return time.Duration(f * float64(meanServiceTime))
}

// runCaller sends the request of one caller, with retries, and records the
// result. The first attempt goes to the instance with index first, each retry to
// the next one. u is a random number from 0 to 1; it makes half of the critical
// requests non-repeatable and sets the jitter of the retries.
func (w *cluster) runCaller(l offeredLoad, serviceTime time.Duration, first int, u float64) {
	defer w.callers.Done()
	p := l.priority
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(l.timeout, callerTimeout[p]))
	defer cancel()
	w.deposit()
	deadline, _ := ctx.Deadline()
	req := callerRequest{priority: p, repeatable: p != model.PriorityCritical || u < 0.5, serviceTime: serviceTime, deadline: deadline}
	var res result
	for n := range callerMaxAttempts {
		req.retries = n
		res = w.instances[(first+n)%instanceCount].doer.do(ctx, req)
		if !w.awaitRetry(ctx, req, res, u) {
			break
		}
	}
	w.record(callRecord{
		start: begin.Sub(w.start), priority: p, serviceTime: serviceTime, latency: time.Since(begin),
		ok: res.outcome == model.OutcomeAnswered && res.status < 500,
	})
}

// awaitRetry waits for the caller's retry delay and reports whether the caller
// retries the request. Callers of the product obey Retry-After and a retry
// budget; those of the baseline retry after 10 ms whenever it is safe.
func (w *cluster) awaitRetry(ctx context.Context, req callerRequest, res result, u float64) bool {
	if ctx.Err() != nil || res.outcome == model.OutcomeAnswered {
		return false
	}
	if res.outcome == model.OutcomeUnknown && !req.repeatable {
		return false
	}
	// Jitter separates callers that got their results at the same instant.
	// Without it the scheduler would decide which of them gets the last retry
	// token.
	jitter := time.Duration(u * float64(callerJitter))
	if w.naive {
		return sleep(ctx, 10*time.Millisecond+jitter)
	}
	if !sleep(ctx, jitter) {
		return false
	}
	if time.Until(req.deadline) <= res.retryAfter || !w.withdraw() {
		return false
	}
	return sleep(ctx, max(res.retryAfter, 10*time.Millisecond))
}

func (w *cluster) deposit() {
	w.mu.Lock()
	w.retryTokens = min(w.retryTokens+callerRetryRatio, 50)
	w.mu.Unlock()
}

func (w *cluster) withdraw() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.retryTokens < 1 {
		return false
	}
	w.retryTokens--
	w.retries++
	return true
}

func (w *cluster) record(c callRecord) {
	w.mu.Lock()
	w.calls = append(w.calls, c)
	w.mu.Unlock()
}

// priorityStats are the results of the callers of one priority.
type priorityStats struct {
	offered, answered int
	p50, p99          time.Duration
	servedTime        time.Duration // service time of requests answered in the measured interval
}

func (w *cluster) stats(p model.Priority) priorityStats {
	var r priorityStats
	var latencies []time.Duration
	for _, c := range w.calls {
		end := c.start + c.latency
		if c.priority == p && c.ok && end >= w.scenario.from && end < w.scenario.to {
			r.servedTime += c.serviceTime
		}
		if c.priority != p || c.start < w.scenario.from || c.start >= w.scenario.to {
			continue
		}
		r.offered++
		if c.ok {
			r.answered++
			latencies = append(latencies, c.latency)
		}
	}
	slices.Sort(latencies)
	if len(latencies) > 0 {
		r.p50 = latencies[len(latencies)/2]
		r.p99 = latencies[min(len(latencies)-1, len(latencies)*99/100)]
	}
	return r
}
