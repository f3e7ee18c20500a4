// Package fleetsim is a model of the users' deployments in virtual time:
// regions of entry instances, endpoints that keep some objects, callers that
// return once after a refusal. It runs the real decisions of package steering,
// so that a change of policy is tried in seconds, and a naive variant beside
// them. Lines, retries, connections and the store are left out.
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
	// Rate is the requests a second of the region's callers at a time.
	Rate func(at time.Duration) float64
}

// Config describes a run.
type Config struct {
	Regions []Region
	// Slots and Queue are how many requests an endpoint runs and holds.
	Slots, Queue int
	// HitServiceTime and MissServiceTime are the work for a known and for an unknown object.
	HitServiceTime, MissServiceTime time.Duration
	// Objects is how many objects a region's callers ask for; CacheSize is how
	// many an endpoint knows.
	Objects, CacheSize           int
	TargetLatency, CallerTimeout time.Duration
	// RegionRTT is the round trip between regions.
	RegionRTT time.Duration
	MaxShift  float64
	Duration  time.Duration
	Seed      uint64
	// Naive sends each request to a random endpoint of the region and refuses
	// nothing.
	Naive bool
	// Events change the endpoints at their times.
	Events []Event
}

// Event happens to the endpoints of a region.
type Event struct {
	At     time.Duration
	Region model.Region
	// Share is the part of the region's endpoints that it happens to.
	Share float64
	// Fail endpoints are gone; Slow multiplies their work, if it is not 0.
	Fail       bool
	SlowFactor float64
}

// Result counts requests by their ends.
type Result struct {
	Requests, OnTime, Late, Refused, TimedOut int
	// WorstWindow is the share that was on time in the worst two seconds after
	// the first six.
	WorstWindow float64
	// MaxShift is the largest change of a region's share that ran elsewhere,
	// between two windows of two seconds.
	MaxShift float64
	windows  map[int]*window
	shifts   map[model.Region]map[int]*window
}

type window struct{ asked, hit int }

// OnTimeShare is the share of requests that were answered on time.
func (r Result) OnTimeShare() float64 { return float64(r.OnTime) / float64(max(r.Requests, 1)) }

// AnsweredShare is the share of requests that were answered at all.
func (r Result) AnsweredShare() float64 {
	return float64(r.OnTime+r.Late) / float64(max(r.Requests, 1))
}

const service = model.Service("s")

// nearTrip is the round trip inside a region.
const nearTrip = 3 * time.Millisecond

// Times between reports of loads, as instances send them.
const (
	nearReports = 50 * time.Millisecond
	farReports  = 400 * time.Millisecond
)

// sim is a run.
type sim struct {
	cfg       Config
	rnd       *rand.Rand
	now       time.Duration
	queue     events
	order     int
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
}

// Run plays a run.
func Run(cfg Config) Result {
	s := &sim{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 11)), regions: map[model.Region]*regionState{},
		endpoints: map[model.EndpointID]*endpoint{},
		result:    Result{windows: map[int]*window{}, shifts: map[model.Region]map[int]*window{}}}
	s.build()
	for _, r := range cfg.Regions {
		s.arrivals(s.regions[r.Name])
	}
	for _, e := range cfg.Events {
		s.at(e.At, func() { s.strike(e) })
	}
	s.at(nearReports, s.reportNear)
	s.at(farReports, s.reportFar)
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

func (s *sim) time() time.Time { return epoch.Add(s.now) }

func (s *sim) build() {
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
			e := &endpoint{sim: s, id: model.EndpointID(string(r.Name) + "-e" + string(rune('a'+i))), region: r.Name, speed: 1}
			state.endpoints = append(state.endpoints, e)
			s.endpoints[e.id] = e
			all = append(all, steering.Endpoint{ID: e.id, Service: service, Domain: model.Domain(r.Name), Slots: s.cfg.Slots,
				Addr: netip.AddrPortFrom(netip.IPv4Unspecified(), 80)})
		}
	}
	for _, r := range s.cfg.Regions {
		state := s.regions[r.Name]
		for i := range r.Instances {
			in := &instance{id: model.InstanceID(string(r.Name) + "-i" + string(rune('a'+i))), region: r.Name}
			in.table = steering.New(steering.Config{Self: in.id, Domain: model.Domain(r.Name), Region: r.Name, Regions: domains,
				MaxShift: s.cfg.MaxShift, Rand: rand.New(rand.NewPCG(s.cfg.Seed, uint64(i)))})
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
}

// arrivals draws the requests of a region's callers.
func (s *sim) arrivals(r *regionState) {
	rate := r.Rate(s.now)
	pause := time.Duration(s.rnd.ExpFloat64() / max(rate, 0.01) * float64(time.Second))
	s.at(s.now+pause, func() {
		if s.now > s.cfg.Duration {
			return
		}
		s.result.Requests++
		s.window(s.now).asked++
		q := &request{sim: s, region: r, object: uint32(s.rnd.IntN(s.cfg.Objects)) + 1 + 10000*uint32(len(r.Name)+int(r.Name[0])), asked: s.now}
		q.send()
		s.arrivals(r)
	})
}

func (s *sim) window(at time.Duration) *window {
	i := int(at / (2 * time.Second))
	if s.result.windows[i] == nil {
		s.result.windows[i] = &window{}
	}
	return s.result.windows[i]
}

// strike applies an event to the endpoints of a region.
func (s *sim) strike(e Event) {
	r := s.regions[e.Region]
	n := int(math.Ceil(e.Share * float64(len(r.endpoints))))
	for _, ep := range r.endpoints[:n] {
		if e.SlowFactor > 0 {
			ep.speed = e.SlowFactor
		}
		if e.Fail {
			ep.lose()
			for _, other := range s.regions {
				for _, in := range other.instances {
					in.table.Remove(ep.id, s.time())
				}
			}
		}
	}
}

func (s *sim) reportNear() {
	for _, r := range s.regions {
		for _, from := range r.instances {
			loads, seen := from.table.OwnLoads(), from.table.TakePlacements()
			for _, to := range r.instances {
				if to != from {
					to.table.SetPeerLoads(from.id, loads)
					to.table.RecordPlacements(seen)
				}
			}
		}
	}
	s.at(s.now+nearReports, s.reportNear)
}

func (s *sim) reportFar() {
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
	s.at(s.now+farReports, s.reportFar)
}

func (s *sim) summarize() {
	s.result.WorstWindow = 1
	for i, w := range s.result.windows {
		if i >= 3 && w.asked >= 20 {
			s.result.WorstWindow = min(s.result.WorstWindow, float64(w.hit)/float64(w.asked))
		}
	}
	whole := int(s.cfg.Duration / (2 * time.Second))
	for _, byWindow := range s.result.shifts {
		for i, w := range byWindow {
			next := byWindow[i+1]
			if next == nil || i+1 >= whole || w.asked < 20 || next.asked < 20 {
				continue
			}
			change := math.Abs(float64(next.hit)/float64(next.asked) - float64(w.hit)/float64(w.asked))
			s.result.MaxShift = max(s.result.MaxShift, change)
		}
	}
}
