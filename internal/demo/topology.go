// Package demo demonstrates the system in one process on loopback ports, with
// stand-ins for the platform, several instances, and callers of all priorities.
// It runs through a rule edit, an overload, a drain and the failure of an
// endpoint.
package demo

import (
	stderrors "errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/freeport"
	"jujubestile.example/jujubestile/internal/instancelist"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
	"jujubestile.example/jujubestile/internal/settings"
	"jujubestile.example/jujubestile/internal/standin"
	platformstandin "jujubestile.example/jujubestile/platform/standin"
)

const (
	endpointsPerService = 12
	instancesPerRegion  = 2
)

var regions = []model.Region{"lagos", "abuja", "port-harcourt"}

// service describes one of the demo's services and its callers.
type service struct {
	name     model.Service
	priority model.Priority
	// serviceTime is how long a request runs at an endpoint.
	serviceTime time.Duration
	// rate is the number of requests per second outside the overload phase.
	rate int
	// nonRepeatable means that callers send non-repeatable requests.
	nonRepeatable bool
}

var services = []service{
	{name: "entries", priority: model.PriorityCritical, serviceTime: 20 * time.Millisecond, rate: 60, nonRepeatable: true},
	{name: "heat-sheets", priority: model.PriorityNormal, serviceTime: 10 * time.Millisecond, rate: 60},
	{name: "start-lists", priority: model.PriorityNormal, serviceTime: 10 * time.Millisecond, rate: 40},
	{name: "results", priority: model.PriorityBulk, serviceTime: 40 * time.Millisecond, rate: 40},
}

// slotsOf returns the number of slots of the i-th endpoint of a region, 3 to 5.
func slotsOf(i int) int {
	return 3 + i%3
}

// platformStandIns holds the stand-ins for the platform.
type platformStandIns struct {
	kv        *standin.KV
	list      *standin.Platform
	kvURL     string
	listURL   string
	endpoints []endpoint
	gauges    map[rules.RegionService]*standin.Gauge
	servers   []*http.Server
	// ports are the ports that are reserved for the instances.
	ports []*freeport.Port
}

type endpoint struct {
	*standin.Endpoint
	record instancelist.EndpointRecord
}

// startPlatform starts the store, the instance list and all endpoints.
func startPlatform() (*platformStandIns, error) {
	p := &platformStandIns{
		kv:     standin.NewKV(),
		list:   standin.NewPlatform(),
		gauges: make(map[rules.RegionService]*standin.Gauge),
	}
	var err error
	if p.kvURL, err = p.serve(platformstandin.KVHandler(p.kv)); err != nil {
		return nil, err
	}
	if p.listURL, err = p.serve(p.list); err != nil {
		return nil, err
	}
	for _, s := range services {
		for i := range endpointsPerService {
			if err := p.startEndpoint(s, i); err != nil {
				return nil, err
			}
		}
	}
	return p, nil
}

func (p *platformStandIns) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	p.servers = append(p.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return "http://" + ln.Addr().String(), nil
}

func (p *platformStandIns) startEndpoint(s service, i int) error {
	region := regions[i%len(regions)]
	key := rules.RegionService{Region: region, Service: s.name}
	if p.gauges[key] == nil {
		p.gauges[key] = &standin.Gauge{}
	}
	e, err := standin.StartEndpoint("127.0.0.1:0", standin.EndpointConfig{
		Slots: slotsOf(i / len(regions)), Queue: 2, ServiceTime: s.serviceTime, Gauge: p.gauges[key],
	})
	if err != nil {
		return err
	}
	rec := instancelist.EndpointRecord{
		ID: model.EndpointID(fmt.Sprintf("%s-%d", s.name, i)), Service: s.name, Region: region,
		Domain: failureDomain(region, i/len(regions)), Addr: e.Addr(), Slots: slotsOf(i / len(regions)), State: "live",
	}
	p.list.PutEndpoint(rec)
	p.endpoints = append(p.endpoints, endpoint{e, rec})
	return nil
}

func failureDomain(r model.Region, i int) model.Domain {
	return model.Domain(fmt.Sprintf("%s-%c", r, 'a'+i%2))
}

// stop stops the stand-ins and releases the ports of the instances.
func (p *platformStandIns) stop() error {
	for _, e := range p.endpoints {
		e.Stop()
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
	var errs []error
	for _, port := range p.ports {
		errs = append(errs, port.Release())
	}
	return stderrors.Join(errs...)
}

// capacity returns the total slots of a service's endpoints in a region.
func (p *platformStandIns) capacity(k rules.RegionService) int {
	total := 0
	for _, e := range p.endpoints {
		if e.record.Region == k.Region && e.record.Service == k.Service {
			total += e.record.Slots
		}
	}
	return total
}

// runs returns how often each request ran, by work id, over all endpoints.
func (p *platformStandIns) runs() map[string]int {
	out := make(map[string]int)
	for _, e := range p.endpoints {
		for key, n := range e.Runs() {
			out[key] += n
		}
	}
	return out
}

// rulesText returns the rules of the demo.
func (p *platformStandIns) rulesText() string {
	var b strings.Builder
	line := func(format string, args ...any) {
		fmt.Fprintf(&b, format+"  # demo operator\n", args...)
	}
	for _, r := range regions {
		line("region %s %s,%s", r, failureDomain(r, 0), failureDomain(r, 1))
	}
	for _, s := range services {
		line("service %s priority %s", s.name, s.priority)
	}
	for _, s := range services {
		for _, r := range regions {
			line("capacity %s %s %d", r, s.name, p.capacity(rules.RegionService{Region: r, Service: s.name}))
		}
	}
	for _, from := range regions {
		for _, to := range regions {
			if from != to {
				line("link %s %s 4Gbit/s", from, to)
			}
		}
	}
	line("minimum 3 5%%")
	for i, r := range regions {
		line("callers 10.%d.0.0/16 %s", i+1, r)
	}
	return b.String()
}

// instanceSettings returns the settings of all instances, with reserved ports,
// and lists the instances.
func (p *platformStandIns) instanceSettings() ([]settings.Settings, error) {
	var out []settings.Settings
	for _, r := range regions {
		for i := range instancesPerRegion {
			s := settings.Defaults()
			s.Instance = model.InstanceID(fmt.Sprintf("%s-%d", failureDomain(r, i), 1))
			s.Region, s.Domain = r, failureDomain(r, i)
			s.Store = p.kvURL
			s.Platform = settings.Platform{URL: p.listURL, Poll: settings.Duration(200 * time.Millisecond)}
			s.Shutdown.Announce = settings.Duration(2 * time.Second)
			if err := p.reserveAddrs(&s.Listen.Entry, &s.Listen.Peer, &s.Listen.Control); err != nil {
				return nil, err
			}
			p.list.PutEntry(instancelist.EntryRecord{
				ID: s.Instance, Region: r, Domain: s.Domain, EntryAddr: s.Listen.Entry,
				PeerAddr: s.Listen.Peer, ControlAddr: s.Listen.Control, State: "live",
			})
			out = append(out, s)
		}
	}
	p.list.Publish()
	return out, nil
}

// reserveAddrs fills in loopback addresses with ports that stay reserved until
// stop, so that no other process takes one before an instance listens on it.
func (p *platformStandIns) reserveAddrs(addrs ...*netip.AddrPort) error {
	for _, a := range addrs {
		port, err := freeport.Reserve()
		if err != nil {
			return err
		}
		p.ports = append(p.ports, port)
		*a = port.Loopback()
	}
	return nil
}
