// Package demo shows the system at work in one process on loopback ports:
// stand-ins of the platform, several instances, and callers of all priorities
// go through a rule edit, an overload, a drain and the loss of an endpoint.
package demo

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/juju/errors"

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
	// time is how long a request runs at an endpoint.
	time time.Duration
	// rate is how many requests callers send a second without an overload.
	rate int
	// write means that callers send requests that may not be repeated.
	write bool
}

var services = []service{
	{name: "entries", priority: model.PriorityCritical, time: 20 * time.Millisecond, rate: 60, write: true},
	{name: "heat-sheets", priority: model.PriorityNormal, time: 10 * time.Millisecond, rate: 60},
	{name: "start-lists", priority: model.PriorityNormal, time: 10 * time.Millisecond, rate: 40},
	{name: "results", priority: model.PriorityBulk, time: 40 * time.Millisecond, rate: 40},
}

// slotsOf gives the endpoints 3 to 5 slots.
func slotsOf(i int) int {
	return 3 + i%3
}

// platformStandIns is the platform's part of the demo.
type platformStandIns struct {
	kv        *standin.KV
	list      *standin.Platform
	kvURL     string
	listURL   string
	endpoints []endpoint
	gauges    map[rules.RegionService]*standin.Gauge
	servers   []*http.Server
}

type endpoint struct {
	*standin.Endpoint
	record instancelist.EndpointRecord
}

// startPlatform starts the store, the list and all endpoints.
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
		Slots: slotsOf(i / len(regions)), Queue: 2, ServiceTime: s.time, Gauge: p.gauges[key],
	})
	if err != nil {
		return err
	}
	rec := instancelist.EndpointRecord{
		ID: model.EndpointID(fmt.Sprintf("%s-%d", s.name, i)), Service: s.name, Region: region,
		Domain: domainOf(region, i/len(regions)), Addr: e.Addr(), Slots: slotsOf(i / len(regions)), State: "live",
	}
	p.list.PutEndpoint(rec)
	p.endpoints = append(p.endpoints, endpoint{e, rec})
	return nil
}

func domainOf(r model.Region, i int) model.Domain {
	return model.Domain(fmt.Sprintf("%s-%c", r, 'a'+i%2))
}

func (p *platformStandIns) stop() {
	for _, e := range p.endpoints {
		e.Stop()
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
}

// capacity is the slots of a service's endpoints in a region.
func (p *platformStandIns) capacity(k rules.RegionService) int {
	total := 0
	for _, e := range p.endpoints {
		if e.record.Region == k.Region && e.record.Service == k.Service {
			total += e.record.Slots
		}
	}
	return total
}

// runs sums the runs of each piece of work over all endpoints.
func (p *platformStandIns) runs() map[string]int {
	out := make(map[string]int)
	for _, e := range p.endpoints {
		for key, n := range e.Runs() {
			out[key] += n
		}
	}
	return out
}

// rulesText is the rules file of the demo.
func (p *platformStandIns) rulesText() string {
	var b strings.Builder
	line := func(format string, args ...any) {
		fmt.Fprintf(&b, format+"  # demo operator\n", args...)
	}
	for _, r := range regions {
		line("region %s %s,%s", r, domainOf(r, 0), domainOf(r, 1))
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

// instanceSettings gives the settings of all instances, on free ports.
func (p *platformStandIns) instanceSettings() ([]settings.Settings, error) {
	var out []settings.Settings
	for _, r := range regions {
		for i := range instancesPerRegion {
			s := settings.Defaults()
			s.Instance = model.InstanceID(fmt.Sprintf("%s-%d", domainOf(r, i), 1))
			s.Region, s.Domain = r, domainOf(r, i)
			s.Store = p.kvURL
			s.Platform = settings.Platform{URL: p.listURL, Poll: settings.Duration(200 * time.Millisecond)}
			s.Shutdown.Announce = settings.Duration(2 * time.Second)
			if err := freeAddrs(&s.Listen.Entry, &s.Listen.Peer, &s.Listen.Control); err != nil {
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

// freeAddrs fills in loopback addresses with free ports. All are held until
// the last has been found, so that they differ.
func freeAddrs(addrs ...*netip.AddrPort) error {
	for _, a := range addrs {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Trace(err)
		}
		defer ln.Close()
		*a = ln.Addr().(*net.TCPAddr).AddrPort()
	}
	return nil
}
