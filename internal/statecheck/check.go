package statecheck

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Machine is what is known of the machines and of the instances. A check of a zero
// value is left out.
type Machine struct {
	// Memory is the memory of an instance in bytes, Files the number of its file
	// descriptors, and Instances the number of instances.
	Memory    int64
	Files     int
	Instances int
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// RetryRatio and RetrySlack are the retry budget, if HasBudget is set.
	RetryRatio, RetrySlack float64
	HasBudget              bool
	// Regions are the regions with failure domains, in which endpoints can be.
	Regions []model.Region
	// MaxHeader, HeaderTimeout and IdleTimeout are the limits of the instances'
	// listeners, which the limits for callers must not exceed.
	MaxHeader                  int
	HeaderTimeout, IdleTimeout time.Duration
}

const (
	// maxBodyShare is the part of the memory that one body may take. It is where the
	// garbage collector begins to work harder.
	maxBodyShare = 0.6
	// reservedFiles is the number of descriptors that are not for sockets.
	reservedFiles = 200
	// minConnections is the number of connections to an endpoint that each instance may
	// open, however small its share is.
	minConnections = 2
	// maxRetriesPerRatio bounds the retries of one request as a multiple of the retry
	// budget's ratio. With more, a failing service uses the budget of ten times as many
	// requests.
	maxRetriesPerRatio = 10
	// targetFactor times the target latency is the estimate of a stopping instance for
	// routes of which it has measured nothing (package forward).
	targetFactor = 1.25
	// graceShare is the part of the grace period after which an instance stops.
	graceShare = 0.95
)

// checker collects findings about one document.
type checker struct {
	doc      *Document
	machine  Machine
	findings []Finding
}

// Check returns what is wrong with a document, in the order of the lines.
func Check(doc *Document, m Machine) []Finding {
	c := checker{doc: doc, machine: m, findings: slices.Concat(doc.Faults, doc.Oddities)}
	if doc.State != nil {
		c.routes()
		c.services()
		c.limits()
	}
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Field, b.Field))
	})
	return c.findings
}

// warn adds a warning about a field of the nth object of a kind.
func (c *checker) warn(code string, k Kind, n int, f Field, remedy, format string, args ...any) {
	line, field := c.doc.place(k, n, f)
	name := ""
	switch k {
	case KindRoute:
		name = c.doc.Routes[n].Name
	case KindService:
		name = string(c.doc.Services[n].Name)
	}
	c.findings = append(c.findings, Finding{Warning, code, line, k, name, field, fmt.Sprintf(format, args...), remedy})
}

func (c *checker) routes() {
	type match struct{ host, prefix string }
	first, names := map[match]string{}, map[string]bool{}
	for n, r := range c.doc.Routes {
		key := match{r.Host, r.Prefix}
		if earlier, ok := first[key]; ok {
			c.warn("route-shadowed", KindRoute, n, FieldPrefix, "Remove one of the routes or change its prefix",
				"the earlier route %q has the same host and prefix and gets all requests", earlier)
		} else {
			first[key] = r.Name
		}
		if names[r.Name] {
			c.warn("name-twice", KindRoute, n, FieldName, "Give each route a name of its own", "another route has the same name, so log lines and measurements of both are mixed")
		}
		names[r.Name] = true
		c.route(n)
		c.split(n)
		c.regions(n)
	}
}

// route checks the fields of one route.
func (c *checker) route(n int) {
	r, m := &c.doc.Routes[n], c.machine
	if r.Host == "" {
		c.warn("host-empty", KindRoute, n, FieldHost, "Name the host", "no request has an empty host, so the route never matches")
	}
	if r.Prefix != "" && r.Prefix[0] != '/' {
		c.warn("prefix-without-slash", KindRoute, n, FieldPrefix, "Begin the prefix with a slash", "paths begin with a slash, so the prefix %.60q never matches", r.Prefix)
	}
	if r.Timeout > 0 && r.Timeout < r.TargetLatency {
		c.warn("timeout-below-target", KindRoute, n, FieldTimeout, "Raise the timeout or lower the target latency",
			"the timeout %s is below the target latency %s: responses that would be in time are cut off", r.Timeout, r.TargetLatency)
	}
	retries := float64(r.MaxAttempts - 1)
	switch {
	case !m.HasBudget || retries == 0:
	case m.RetryRatio == 0 && m.RetrySlack == 0:
		c.warn("attempts-without-budget", KindRoute, n, FieldAttempts, "Allow one attempt, or give the retry budget a ratio or a slack", "%d attempts are allowed, but the retry budget allows no retry", r.MaxAttempts)
	case m.RetryRatio > 0 && retries > maxRetriesPerRatio*m.RetryRatio:
		c.warn("attempts-over-budget", KindRoute, n, FieldAttempts, "Allow fewer attempts", "%.0f retries of each request are allowed, the retry budget has %g for each", retries, m.RetryRatio)
	}
	stop := time.Duration(graceShare * float64(m.Grace))
	if need := time.Duration(targetFactor * float64(r.TargetLatency)); m.Grace > 0 && need > stop {
		c.warn("grace-below-target", KindRoute, n, FieldTarget, "Give the instances a longer grace period", "a stopping instance has %s for requests and may refuse all of this route, whose target latency is %s", stop, r.TargetLatency)
	}
}

func (c *checker) split(n int) {
	split, total := c.doc.Routes[n].TrafficSplit, 0.0
	for _, s := range split {
		total += s.Weight
	}
	if total <= 0 {
		c.warn("split-empty", KindRoute, n, FieldSplit, "Give at least one service a weight above 0", "no service has a weight, so the first one gets all requests")
	}
	for _, s := range split {
		if _, ok := c.doc.State.Services[s.Service]; !ok {
			c.warn("service-unknown", KindRoute, n, FieldSplit, "Add the service or correct its name", "there is no service %.60q", s.Service)
		}
		if total > 0 && s.Weight <= 0 {
			c.warn("split-without-weight", KindRoute, n, FieldSplit, "Remove the entry or give it a weight above 0", "service %.60q has the weight %g and gets no requests", s.Service, s.Weight)
		}
	}
}

func (c *checker) regions(n int) {
	if len(c.machine.Regions) == 0 {
		return
	}
	allowed, usable := c.doc.Routes[n].AllowedRegions, 0
	for _, r := range allowed {
		if slices.Contains(c.machine.Regions, r) {
			usable++
			continue
		}
		c.warn("region-without-endpoints", KindRoute, n, FieldRegions, "Correct the name of the region, or add its failure domains to the settings", "region %.60q has no failure domain and so no endpoints", r)
	}
	if len(allowed) > 0 && usable == 0 {
		c.warn("route-without-region", KindRoute, n, FieldRegions, "Allow a region that has endpoints", "the route may run in no region that has endpoints")
	}
}

func (c *checker) services() {
	used, names := map[model.Service]bool{}, map[model.Service]bool{}
	for _, r := range c.doc.Routes {
		for _, s := range r.TrafficSplit {
			used[s.Service] = true
		}
	}
	m := c.machine
	for n, s := range c.doc.Services {
		if names[s.Name] {
			c.warn("name-twice", KindService, n, FieldName, "Remove one of them", "another service has the same name; the last one counts")
		}
		names[s.Name] = true
		if !used[s.Name] {
			c.warn("service-without-route", KindService, n, FieldName, "Remove the service or add a route to it", "no route sends requests to the service")
		}
		if s.ColdStart > 0 && s.ColdRate <= 0 {
			c.warn("cold-without-rate", KindService, n, FieldColdRate, "Give the rate that a cold endpoint can take", "endpoints are cold for %s and may get no requests in that time", s.ColdStart)
		}
		if least := minConnections * m.Instances; s.MaxConnections > 0 && s.MaxConnections < least {
			c.warn("connections-below-instances", KindService, n, FieldConnections, "Allow more connections", "%d instances may open %d connections each to an endpoint that allows %d", m.Instances, minConnections, s.MaxConnections)
		}
		if share := s.MaxConnections / max(m.Instances, 1); m.Files > 0 && share > m.Files-reservedFiles {
			c.warn("connections-over-files", KindService, n, FieldConnections, "Allow fewer connections, or give the instances more file descriptors", "an instance may open %d connections to one endpoint and has %d file descriptors for sockets", share, m.Files-reservedFiles)
		}
	}
}

func (c *checker) limits() {
	l, m := c.doc.State.Limits, c.machine
	const remedy = "Lower the limit"
	if most := int64(maxBodyShare * float64(m.Memory)); m.Memory > 0 && l.MaxBodyBytes > most {
		c.warn("body-over-memory", KindLimits, 0, FieldMaxBody, remedy+" or give the instances more memory", "one body may have %d bytes, an instance should use at most %d", l.MaxBodyBytes, most)
	}
	if m.MaxHeader > 0 && l.MaxHeaderBytes > m.MaxHeader {
		c.warn("header-over-listener", KindLimits, 0, FieldMaxHeader, remedy, "instances read headers of at most %d bytes, callers may send %d", m.MaxHeader, l.MaxHeaderBytes)
	}
	if m.HeaderTimeout > 0 && l.HeaderTimeout > m.HeaderTimeout {
		c.warn("header-timeout-over-listener", KindLimits, 0, FieldHeaderTimeout, remedy, "instances wait at most %s for a header, callers may take %s", m.HeaderTimeout, l.HeaderTimeout)
	}
	if m.IdleTimeout > 0 && l.IdleTimeout > m.IdleTimeout {
		c.warn("idle-timeout-over-listener", KindLimits, 0, FieldIdleTimeout, remedy, "instances close connections that have been idle for %s, callers reuse them for up to %s", m.IdleTimeout, l.IdleTimeout)
	}
}
