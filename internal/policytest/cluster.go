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
	service      = model.Service("lists")
	instances    = 20
	meanWork     = 50 * time.Millisecond
	workSigma    = 0.4 // of the logarithm of the service time
	intentTime   = time.Millisecond
	naiveLimit   = 3 // slots an instance of the baseline: 60 on 48
	callerRetry  = 3 // most attempts of a caller
	callerBudget = 0.1
	callerJitter = 10 * time.Millisecond
)

// patience is how long a caller waits in all.
var patience = map[model.Priority]time.Duration{
	model.PriorityCritical: 2 * time.Second,
	model.PriorityNormal:   2 * time.Second,
	model.PriorityBulk:     4 * time.Second,
}

// work is one request of a caller.
type work struct {
	priority   model.Priority
	repeatable bool
	// time is the service time.
	time     time.Duration
	deadline time.Time
	// repeats is how often the caller has sent it before.
	repeats int
}

// result is what a caller is told.
type result struct {
	outcome    model.Outcome
	status     int
	retryAfter time.Duration
}

// doer is an instance of the product or of the baseline. The context ends at the
// deadline.
type doer interface {
	do(ctx context.Context, w work) result
}

// load is an offered load of one priority, as a fraction of capacity.
type load struct {
	priority model.Priority
	fraction float64
	from, to time.Duration
	// patience replaces the usual one if it is not 0.
	patience time.Duration
}

// event changes the world at a time after the start.
type event struct {
	at time.Duration
	do func(w *world)
}

// scenario is one run.
type scenario struct {
	name    string
	regions []model.Region
	loads   []load
	events  []event
	// prepare runs before the start.
	prepare func(w *world)
	// seed tells repetitions with other random numbers apart.
	seed uint64
	// from and to enclose the measured time.
	from, to time.Duration
	minimum  map[model.Priority]float64
	// affected are the endpoints whose avoidance is measured from avoidFrom.
	affected  func(e *endpoint) bool
	avoidFrom time.Duration
}

// world is one run's state.
type world struct {
	s         scenario
	naive     bool
	start     time.Time
	order     []*endpoint
	endpoints map[model.EndpointID]*endpoint
	nodes     []*node
	slots     *slots
	sends     atomic.Int64
	callers   sync.WaitGroup

	mu      sync.Mutex
	calls   []call
	tokens  float64 // the callers' retry budget
	repeats int
}

// node is one entry instance.
type node struct {
	id      model.InstanceID
	doer    doer
	naive   *naive
	product *product
}

// call is what one caller experienced.
type call struct {
	at       time.Duration
	priority model.Priority
	work     time.Duration
	latency  time.Duration
	ok       bool
}

func newWorld(s scenario, isNaive bool) *world {
	if len(s.regions) == 0 {
		s.regions = []model.Region{"lagos"}
	}
	w := &world{s: s, naive: isNaive, start: time.Now(), endpoints: map[model.EndpointID]*endpoint{}}
	w.addEndpoints()
	w.addNodes()
	w.setEndpoints(w.list())
	return w
}

func (w *world) addEndpoints() {
	for i := range 12 {
		region := w.s.regions[i%len(w.s.regions)]
		domain := fmt.Sprintf("%s-%c", region, 'a'+rune(i/len(w.s.regions)%2))
		e := &endpoint{
			Endpoint: model.Endpoint{
				ID:      model.EndpointID(fmt.Sprintf("lists-%d", i)),
				Service: service, Region: region, Domain: model.Domain(domain), Slots: 3 + i/3%3,
			},
			from: w.start.Add(w.s.from), to: w.start.Add(w.s.to),
			silent: map[model.InstanceID]int{},
			busy:   map[model.Priority]time.Duration{},
		}
		w.order = append(w.order, e)
		w.endpoints[e.ID] = e
	}
}

func (w *world) addNodes() {
	all := &slots{
		order: w.s.regions, free: map[model.Region]int{},
		held: map[model.Priority]time.Duration{}, from: w.start.Add(w.s.from), to: w.start.Add(w.s.to),
	}
	w.slots = all
	for _, e := range w.order {
		all.free[e.Region] += e.Slots
	}
	for i := range instances {
		region := w.s.regions[i%len(w.s.regions)]
		id := model.InstanceID(fmt.Sprintf("%s-%d", region, i))
		domain := model.Domain(fmt.Sprintf("%s-%c", region, 'a'+rune(i/len(w.s.regions)%2)))
		t := &transport{world: w, id: id, region: region, domain: domain, spacer: &spacer{index: int64(i)}}
		w.nodes = append(w.nodes, w.newNode(i, id, t, all.add(region)))
	}
}

func (w *world) newNode(i int, id model.InstanceID, t *transport, r *router) *node {
	rnd := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(uint64(i)+1000*w.s.seed, n)) }
	if w.naive {
		n := &naive{transport: t, rnd: rnd(1), free: naiveLimit}
		return &node{id: id, doer: n, naive: n}
	}
	p := newProduct(id, t, r, rnd)
	p.admission.SetMinimum(w.s.minimum)
	return &node{id: id, doer: p, product: p}
}

// spacer gives the events of an instance that would fall on the same instant
// different ones: synctest fires timers of one instant in random order, and the
// figures are to repeat. Instances get different remainders of spacing, as one
// instance's event often causes another's.
type spacer struct {
	index int64
	n     atomic.Int64
}

// spacing is larger than the number of instances.
const spacing = 32

func (s *spacer) next() time.Duration {
	return time.Duration(s.n.Add(1)%1000*spacing + s.index)
}

// spacedAdmission lets requests that got slots at the same instant go on at
// different ones.
type spacedAdmission struct {
	forward.AdmissionController
	spacer *spacer
}

func (a *spacedAdmission) Admit(ctx context.Context, n forward.AdmissionRequest) (forward.Permit, error) {
	p, err := a.AdmissionController.Admit(ctx, n)
	if err == nil {
		time.Sleep(a.spacer.next())
	}
	return p, err
}

func (w *world) list() []model.Endpoint {
	var l []model.Endpoint
	for _, e := range w.order {
		l = append(l, e.Endpoint)
	}
	return l
}

func (n *node) setEndpoints(l []model.Endpoint) {
	if n.naive != nil {
		n.naive.setEndpoints(l)
		return
	}
	n.product.roster.SetEndpoints(time.Now(), l)
}

func (w *world) setEndpoints(l []model.Endpoint) {
	for _, n := range w.nodes {
		n.setEndpoints(l)
	}
}

// change changes all endpoints.
func (w *world) change(f func(*endpoint)) {
	for _, e := range w.order {
		e.mu.Lock()
		f(e)
		e.mu.Unlock()
	}
}

// capacity is the requests a second of all endpoints at the mean service time.
func (w *world) capacity() float64 {
	n := 0
	for _, e := range w.order {
		n += e.Slots
	}
	return float64(n) / meanWork.Seconds()
}

// run plays the scenario and returns when all callers have ended.
func (w *world) run() {
	ctx, stop := context.WithCancel(context.Background())
	if w.s.prepare != nil {
		w.s.prepare(w)
	}
	for _, e := range w.s.events {
		time.AfterFunc(e.at, func() { e.do(w) })
	}
	go w.sampleLoads(ctx)
	for _, n := range w.nodes {
		if n.product != nil {
			go n.product.prober.Run(ctx)
		}
	}
	for i, l := range w.s.loads {
		w.callers.Add(1)
		go w.offer(l, rand.New(rand.NewPCG(uint64(i), 7+w.s.seed)))
	}
	w.callers.Wait()
	stop()
	for _, n := range w.nodes {
		if n.product != nil {
			n.product.engine.Wait(context.Background())
		}
	}
	time.Sleep(silenceTimeout + 5*time.Second) // slots that return later
}

func (w *world) sampleLoads(ctx context.Context) {
	for sleep(ctx, reportLag) {
		for _, e := range w.order {
			e.sample()
		}
	}
}

// offer starts callers with exponential pauses.
func (w *world) offer(l load, rnd *rand.Rand) {
	defer w.callers.Done()
	time.Sleep(l.from)
	rate := l.fraction * w.capacity()
	for {
		time.Sleep(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
		if time.Since(w.start) >= l.to {
			return
		}
		w.callers.Add(1)
		go w.call(l, drawWork(rnd), rnd.IntN(instances), rnd.Float64())
	}
}

// drawWork draws a lognormal service time with the mean meanWork.
func drawWork(rnd *rand.Rand) time.Duration {
	f := math.Exp(workSigma*rnd.NormFloat64() - workSigma*workSigma/2)
	return time.Duration(f * float64(meanWork))
}

// call is one caller. Half of the priority 1 work may not be repeated.
func (w *world) call(l load, needed time.Duration, at int, u float64) {
	defer w.callers.Done()
	p := l.priority
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(l.patience, patience[p]))
	defer cancel()
	w.deposit()
	deadline, _ := ctx.Deadline()
	asked := work{priority: p, repeatable: p != model.PriorityCritical || u < 0.5, time: needed, deadline: deadline}
	var res result
	for n := range callerRetry {
		asked.repeats = n
		res = w.nodes[(at+n)%instances].doer.do(ctx, asked)
		if !w.again(ctx, asked, res, u) {
			break
		}
	}
	w.record(call{
		at: begin.Sub(w.start), priority: p, work: needed, latency: time.Since(begin),
		ok: res.outcome == model.OutcomeAnswered && res.status < 500,
	})
}

// again reports whether a caller repeats a request that was not run. Callers
// of the product obey Retry-After and a budget; those of the baseline repeat
// whatever is safe after 10 ms.
func (w *world) again(ctx context.Context, asked work, res result, u float64) bool {
	if ctx.Err() != nil || res.outcome == model.OutcomeAnswered {
		return false
	}
	if res.outcome == model.OutcomeUnknown && !asked.repeatable {
		return false
	}
	// Callers that got their results at the same instant go on one after the
	// other; else the scheduler decides who gets the last token.
	jitter := time.Duration(u * float64(callerJitter))
	if w.naive {
		return sleep(ctx, 10*time.Millisecond+jitter)
	}
	if !sleep(ctx, jitter) {
		return false
	}
	if time.Until(asked.deadline) <= res.retryAfter || !w.withdraw() {
		return false
	}
	return sleep(ctx, max(res.retryAfter, 10*time.Millisecond))
}

func (w *world) deposit() {
	w.mu.Lock()
	w.tokens = min(w.tokens+callerBudget, 50)
	w.mu.Unlock()
}

func (w *world) withdraw() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	w.repeats++
	return true
}

func (w *world) record(c call) {
	w.mu.Lock()
	w.calls = append(w.calls, c)
	w.mu.Unlock()
}

// byPriority is what callers of one priority experienced.
type byPriority struct {
	offered, ok int
	p50, p99    time.Duration
	work        time.Duration // service time of requests answered in the measured time
}

func (w *world) results(p model.Priority) byPriority {
	var r byPriority
	var ls []time.Duration
	for _, c := range w.calls {
		end := c.at + c.latency
		if c.priority == p && c.ok && end >= w.s.from && end < w.s.to {
			r.work += c.work
		}
		if c.priority != p || c.at < w.s.from || c.at >= w.s.to {
			continue
		}
		r.offered++
		if c.ok {
			r.ok++
			ls = append(ls, c.latency)
		}
	}
	slices.Sort(ls)
	if len(ls) > 0 {
		r.p50 = ls[len(ls)/2]
		r.p99 = ls[min(len(ls)-1, len(ls)*99/100)]
	}
	return r
}
