// Package fleetsim simulates deployments in virtual time: regions with entry
// instances, endpoints that cache objects, and callers that retry once after a
// failure. It runs the decisions of package steering, so that the effect of a
// policy change is known within seconds, and a naive variant for comparison.
// Admission queues, retries by instances, connections and the store are not
// modelled.
package fleetsim

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// Region describes a region.
type Region struct {
	Name      model.Region
	Instances int
	Endpoints int
	// Rate returns the requests per second of the region's callers at a time
	// after the start.
	Rate func(at time.Duration) float64
}

// Config describes a run.
type Config struct {
	Regions []Region
	// Slots and Queue limit the running and the queued requests of an endpoint.
	Slots, Queue int
	// HitServiceTime and MissServiceTime are the mean service times of requests
	// for cached and for other objects.
	HitServiceTime, MissServiceTime time.Duration
	// Objects is the number of objects that a region's callers request;
	// CacheSize is the number of objects that an endpoint caches.
	Objects, CacheSize           int
	TargetLatency, CallerTimeout time.Duration
	// RegionRTT is the round trip time between regions.
	RegionRTT time.Duration
	// MaxShift is passed to steering.Config.
	MaxShift float64
	// Duration is the time after which no new requests arrive.
	Duration time.Duration
	Seed     uint64
	// Naive sends each request to a random endpoint of the caller's region and
	// never refuses a request at the instance.
	Naive bool
	// SeparateLimits makes each instance keep the rate limits of endpoints by itself,
	// as far as its own responses name them.
	SeparateLimits bool
	// Machines are the machines of the endpoints.
	Machines SlowMachines
	// Pace enables the adaptive slow start of endpoints.
	Pace bool
	// Events change endpoints during the run.
	Events []Event
}

// Event is a change of some endpoints of a region.
type Event struct {
	// At is the time after the start of the run.
	At     time.Duration
	Region model.Region
	// Share is the fraction of the region's endpoints that change.
	Share float64
	// Fail makes the endpoints fail for good. SlowFactor multiplies their
	// service time if it is not 0.
	Fail       bool
	SlowFactor float64
	// RateLimit is the limit in requests per second that the endpoints name from now
	// on, if it is not 0. A negative one ends the limit.
	RateLimit float64
	// Restart makes the endpoints fail and return, if it is set.
	Restart *Restart
}

// Result counts the requests of a run by outcome. Requests that are answered
// within TargetLatency are on time, those answered after it are late, and those
// answered after CallerTimeout have timed out.
type Result struct {
	Requests, OnTime, Late, Refused, TimedOut int
	// WorstWindow is the lowest share of requests on time in any window of two
	// seconds after the first six seconds.
	WorstWindow float64
	// MaxShift is the largest change, from one window of two seconds to the
	// next, of the share of a region's requests that is sent to other regions.
	MaxShift float64
	// MaxLimited is the largest number of requests that reached an endpoint within
	// limitWindow while it named a rate limit, from limitSettleTime after it first
	// named the limit.
	MaxLimited int
	// SpeedsTold is the number of speeds in messages of instances, each counted once
	// for all receivers.
	SpeedsTold int
	// arrivals are the requests that reached endpoints.
	arrivals []arrival
	// returned is when an endpoint last returned.
	returned time.Duration
	// windows counts requests by when they arrived, shifts the requests sent to
	// an endpoint by the region of the caller and when they were sent. The
	// windows of two seconds are numbered from 0.
	windows map[int]*window
	shifts  map[model.Region]map[int]*window
}

// window counts the requests of two seconds. In Result.windows, count is the
// number of requests on time; in Result.shifts, of those sent to other regions.
type window struct{ total, count int }

// OnTimeShare returns the share of requests that were answered on time.
func (r Result) OnTimeShare() float64 { return float64(r.OnTime) / float64(max(r.Requests, 1)) }

// AnsweredShare returns the share of requests that were answered on time or late.
func (r Result) AnsweredShare() float64 {
	return float64(r.OnTime+r.Late) / float64(max(r.Requests, 1))
}

const service = model.Service("s")

var endpointAddr = netip.AddrPortFrom(netip.IPv4Unspecified(), 80)

// localRTT is the round trip time within a region.
const localRTT = 3 * time.Millisecond

// Intervals at which instances share their loads: with peers in the same region,
// and as totals of a region with other regions.
const (
	peerLoadInterval   = 50 * time.Millisecond
	regionLoadInterval = 400 * time.Millisecond
)

// sim is the state of a run.
type sim struct {
	cfg       Config
	rnd       *rand.Rand
	now       time.Duration
	queue     eventQueue
	seq       int
	regions   map[model.Region]*regionState
	endpoints map[model.EndpointID]*endpoint
	result    Result
}

type regionState struct {
	Region
	instances []*instance
	endpoints []*endpoint
}

type instance struct {
	id     model.InstanceID
	region model.Region
	table  *steering.Table
	// speeds selects the speeds for the other instances.
	speeds steering.SpeedFeed
}

// Run runs a simulation.
func Run(cfg Config) Result {
	s := &sim{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 11)), regions: map[model.Region]*regionState{},
		endpoints: map[model.EndpointID]*endpoint{},
		result:    Result{windows: map[int]*window{}, shifts: map[model.Region]map[int]*window{}}}
	s.buildRegions()
	for _, r := range cfg.Regions {
		s.scheduleArrival(s.regions[r.Name])
	}
	for _, e := range cfg.Events {
		s.schedule(e.At, func() { s.applyEvent(e) })
	}
	s.schedule(peerLoadInterval, s.sharePeerLoads)
	s.schedule(regionLoadInterval, s.shareRegionLoads)
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at > cfg.Duration+cfg.CallerTimeout {
			break
		}
		s.now = e.at
		e.do()
	}
	s.summarize()
	return s.result
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (s *sim) simulatedTime() time.Time { return epoch.Add(s.now) }

func (s *sim) buildRegions() {
	domains := map[model.Domain]model.Region{}
	for _, r := range s.cfg.Regions {
		domains[model.Domain(r.Name)] = r.Name
		s.result.shifts[r.Name] = map[int]*window{}
	}
	var all []steering.Endpoint
	for _, r := range s.cfg.Regions {
		state := &regionState{Region: r}
		s.regions[r.Name] = state
		for i := range r.Endpoints {
			e := &endpoint{sim: s, id: model.EndpointID(string(r.Name) + "-e" + string(rune('a'+i))), region: r.Name, index: i, slowTimes: s.slowTimes(i), serviceTimeFactor: 1}
			state.endpoints = append(state.endpoints, e)
			s.endpoints[e.id] = e
			e.entry = s.newEntry(e)
			all = append(all, e.entry)
		}
	}
	for _, r := range s.cfg.Regions {
		state := s.regions[r.Name]
		for i := range r.Instances {
			in := &instance{id: model.InstanceID(string(r.Name) + "-i" + string(rune('a'+i))), region: r.Name}
			in.table = steering.New(steering.Config{Self: in.id, Domain: model.Domain(r.Name), Region: r.Name, Regions: domains,
				MaxShift: s.cfg.MaxShift, Pace: s.cfg.Pace, Rand: rand.New(rand.NewPCG(s.cfg.Seed, uint64(i)))})
			in.table.SetServices(map[model.Service]desired.Service{service: {Name: service, ColdRate: 5}})
			for _, other := range s.cfg.Regions {
				in.table.RecordRTT(other.Name, s.cfg.RegionRTT)
			}
			for _, e := range all {
				in.table.Put(e, epoch)
			}
			state.instances = append(state.instances, in)
		}
	}
	s.setOwners()
}

// setOwners tells the instances which of them may own endpoints: all, or each only
// itself.
func (s *sim) setOwners() {
	var all []steering.Instance
	for _, r := range s.cfg.Regions {
		for _, in := range s.regions[r.Name].instances {
			all = append(all, steering.Instance{ID: in.id, Region: in.region})
		}
	}
	for _, r := range s.regions {
		for _, in := range r.instances {
			if s.cfg.SeparateLimits {
				in.table.SetInstances([]steering.Instance{{ID: in.id, Region: in.region}})
			} else {
				in.table.SetInstances(all)
			}
		}
	}
}

// scheduleArrival schedules the next request of a region's callers, which
// schedules the one after it.
func (s *sim) scheduleArrival(r *regionState) {
	rate := r.Rate(s.now)
	interval := time.Duration(s.rnd.ExpFloat64() / max(rate, 0.01) * float64(time.Second))
	s.schedule(s.now+interval, func() {
		if s.now > s.cfg.Duration {
			return
		}
		s.result.Requests++
		s.windowAt(s.now).total++
		q := &request{sim: s, region: r, object: uint32(s.rnd.IntN(s.cfg.Objects)) + 1 + 10000*uint32(len(r.Name)+int(r.Name[0])), start: s.now}
		q.send()
		s.scheduleArrival(r)
	})
}

func (s *sim) windowAt(at time.Duration) *window {
	i := int(at / (2 * time.Second))
	if s.result.windows[i] == nil {
		s.result.windows[i] = &window{}
	}
	return s.result.windows[i]
}

// applyEvent applies an event to the endpoints of a region.
func (s *sim) applyEvent(e Event) {
	r := s.regions[e.Region]
	n := int(math.Ceil(e.Share * float64(len(r.endpoints))))
	for _, ep := range r.endpoints[:n] {
		if e.SlowFactor > 0 {
			ep.serviceTimeFactor = e.SlowFactor
		}
		if e.RateLimit != 0 {
			ep.rateLimit, ep.limitedSince, ep.limitedArrivals = e.RateLimit, s.now, nil
		}
		if e.Restart != nil {
			ep.restart(*e.Restart)
		}
		if e.Fail {
			ep.fail()
			for _, other := range s.regions {
				for _, in := range other.instances {
					in.table.Remove(ep.id, s.simulatedTime())
				}
			}
		}
	}
}

func (s *sim) sharePeerLoads() {
	for _, r := range s.regions {
		for _, from := range r.instances {
			loads, placements := from.table.OwnLoads(), from.table.TakePlacements()
			for _, to := range r.instances {
				if to != from {
					to.table.SetPeerLoads(from.id, loads)
					to.table.RecordPlacements(placements)
				}
			}
			s.shareRateLimits(from)
			s.shareSpeeds(from, r.instances)
		}
	}
	s.schedule(s.now+peerLoadInterval, s.sharePeerLoads)
}

// shareRateLimits tells all other instances what one knows of rate limits.
func (s *sim) shareRateLimits(from *instance) {
	if s.cfg.SeparateLimits {
		return
	}
	now := s.simulatedTime()
	limits := from.table.RateLimits(now)
	for _, r := range s.regions {
		for _, to := range r.instances {
			if to != from {
				to.table.MergeRateLimits(limits, now)
			}
		}
	}
}

func (s *sim) shareRegionLoads() {
	for name, r := range s.regions {
		sum := steering.Loads{}
		for _, in := range r.instances {
			for w, n := range in.table.OwnLoads() {
				sum[w] += n
			}
		}
		for other, o := range s.regions {
			if other == name {
				continue
			}
			for _, in := range o.instances {
				in.table.SetPeerLoads(model.InstanceID("region/"+name), sum)
			}
		}
	}
	s.schedule(s.now+regionLoadInterval, s.shareRegionLoads)
}

func (s *sim) summarize() {
	s.result.WorstWindow = 1
	for i, w := range s.result.windows {
		if i >= 3 && w.total >= 20 {
			s.result.WorstWindow = min(s.result.WorstWindow, float64(w.count)/float64(w.total))
		}
	}
	whole := int(s.cfg.Duration / (2 * time.Second))
	for _, byWindow := range s.result.shifts {
		for i, w := range byWindow {
			next := byWindow[i+1]
			if next == nil || i+1 >= whole || w.total < 20 || next.total < 20 {
				continue
			}
			change := math.Abs(float64(next.count)/float64(next.total) - float64(w.count)/float64(w.total))
			s.result.MaxShift = max(s.result.MaxShift, change)
		}
	}
}
