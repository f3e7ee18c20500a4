package rules

import (
	"fmt"
	"strconv"
	"strings"

	"jujubestile.example/jujubestile/internal/model"
)

// directive describes the rules that start with the same word.
type directive struct {
	usage string
	// minFields and maxFields limit the number of fields after the first word.
	minFields, maxFields int
	// declares means that the rule declares a name to which other rules refer.
	declares bool
	parse    func(p *parser, l line, f []string)
}

// unlimitedFields is the maxFields of rules with a list of any length. No line of
// MaxLineBytes has as many fields.
const unlimitedFields = MaxLineBytes

var directives = map[string]directive{
	"region":     {"region NAME DOMAIN[,DOMAIN...]", 2, 2, true, (*parser).readRegion},
	"service":    {"service NAME priority 1|2|3", 3, 3, true, (*parser).readService},
	"capacity":   {"capacity REGION SERVICE SLOTS", 3, 3, false, (*parser).readCapacity},
	"link":       {"link FROM TO RATE", 3, 3, false, (*parser).readLink},
	"weights":    {"weights SERVICE REGION=PERCENT...", 2, unlimitedFields, false, (*parser).readWeights},
	"shift":      {shiftUsage, 5, 5, false, (*parser).readShift},
	"priority":   {"priority SERVICE METHOD|* PATH 1|2|3", 4, 4, false, (*parser).readPriority},
	"minimum":    {"minimum PRIORITY PERCENT", 2, 2, false, (*parser).readMinimum},
	"repeatable": {"repeatable SERVICE METHOD PATH", 3, 3, false, (*parser).readRepeatable},
	"drain":      {"drain endpoint|instance|domain NAME", 2, 2, false, (*parser).readDrain},
	"hold":       {"hold SERVICE", 1, 1, false, (*parser).readHold},
	"callers":    {"callers BLOCK REGION", 2, 2, false, (*parser).readCallers},
}

const shiftUsage = "shift SERVICE max PERCENT per DURATION"

const directiveNames = "region, service, capacity, link, weights, shift, priority, minimum, repeatable, drain, hold, callers"

func (p *parser) readRegion(l line, f []string) {
	name, list := f[0], f[1]
	if !validName(name) {
		p.fail(l, name, "not a name", allowedName)
		return
	}
	if !p.define(l, "region "+name, list) {
		return
	}
	var domains []model.Domain
	for d := range strings.SplitSeq(list, ",") {
		if !validName(d) {
			p.fail(l, d, "not a name", allowedName)
			return
		}
		if !p.define(l, "domain "+d, name) {
			return
		}
		domains = append(domains, model.Domain(d))
		p.domains[model.Domain(d)] = true
	}
	p.set.Regions[model.Region(name)] = domains
}

func (p *parser) readService(l line, f []string) {
	if !validName(f[0]) {
		p.fail(l, f[0], "not a name", allowedName)
		return
	}
	if f[1] != "priority" {
		p.fail(l, f[1], "unexpected word", "priority")
		return
	}
	v, ok := p.priority(l, f[2])
	if ok && p.define(l, "service "+f[0], f[2]) {
		p.set.Services[model.Service(f[0])] = v
	}
}

func (p *parser) readCapacity(l line, f []string) {
	r, okRegion := p.region(l, f[0])
	s, okService := p.service(l, f[1])
	n, problem := parseSlots(f[2])
	if problem != "" {
		p.fail(l, f[2], problem, allowedSlots)
		return
	}
	if okRegion && okService && p.define(l, "capacity "+f[0]+" "+f[1], strconv.Itoa(n)) {
		p.set.Capacity[RegionService{Region: r, Service: s}] = n
	}
}

func (p *parser) readLink(l line, f []string) {
	from, okFrom := p.region(l, f[0])
	to, okTo := p.region(l, f[1])
	rate, problem := parseLinkRate(f[2])
	switch {
	case problem != "":
		p.fail(l, f[2], problem, allowedRate)
	case !okFrom || !okTo:
	case from == to:
		p.fail(l, l.text, "both ends are the same region", "two different regions")
	case p.define(l, "link "+f[0]+" "+f[1], strconv.FormatInt(rate, 10)):
		p.set.Links[Link{From: from, To: to}] = rate
	}
}

func (p *parser) readWeights(l line, f []string) {
	s, ok := p.service(l, f[0])
	if !ok {
		return
	}
	weights := map[model.Region]float64{}
	sum := int64(0)
	for _, field := range f[1:] {
		r, units, ok := p.weight(l, field)
		if !ok {
			return
		}
		if _, twice := weights[r]; twice {
			p.fail(l, field, "region given twice", "each region once")
			return
		}
		weights[r] = float64(units) / fractionUnits
		sum += units
	}
	if sum != fractionUnits {
		p.fail(l, l.text, fmt.Sprintf("the weights sum to %s", formatUnits(sum)), "weights that sum to 100%")
		return
	}
	if p.define(l, "weights "+f[0], strings.Join(f[1:], " ")) {
		p.set.Weights[s] = weights
	}
}

func (p *parser) weight(l line, field string) (model.Region, int64, bool) {
	name, share, found := strings.Cut(field, "=")
	if !found {
		p.fail(l, field, "not a weight", "REGION=PERCENT")
		return "", 0, false
	}
	r, ok := p.region(l, name)
	units, problem := parsePercent(share)
	if problem != "" {
		p.fail(l, field, problem, allowedPercent)
		return "", 0, false
	}
	return r, units, ok
}

func (p *parser) readShift(l line, f []string) {
	s, ok := p.service(l, f[0])
	if f[1] != "max" || f[3] != "per" {
		p.fail(l, l.text, "unexpected word", shiftUsage)
		return
	}
	units, problem := parsePercent(f[2])
	if problem == "" && units == 0 {
		problem = "a cap of 0 % lets no traffic move; a hold line does that"
	}
	if problem != "" {
		p.fail(l, f[2], problem, "a percentage above 0: "+allowedPercent)
		return
	}
	period, problem := parseShiftPeriod(f[4])
	if problem != "" {
		p.fail(l, f[4], problem, allowedPeriod)
		return
	}
	if ok && p.define(l, "shift "+f[0], f[2]+" "+period.String()) {
		p.set.Shifts[s] = ShiftCap{Fraction: float64(units) / fractionUnits, Period: period}
	}
}

// requestMatch parses SERVICE METHOD PATH. The method * matches all methods.
func (p *parser) requestMatch(l line, f []string) (RequestMatch, bool) {
	s, ok := p.service(l, f[0])
	method := f[1]
	if method == "*" {
		method = ""
	} else if !validMethod(method) {
		p.fail(l, method, "not a method", allowedMethod)
		return RequestMatch{}, false
	}
	if !validPath(f[2]) {
		p.fail(l, f[2], "not a path", allowedPath)
		return RequestMatch{}, false
	}
	return RequestMatch{Service: s, Method: method, PathPrefix: f[2]}, ok
}

func (p *parser) readPriority(l line, f []string) {
	k, okMatch := p.requestMatch(l, f)
	v, okPriority := p.priority(l, f[3])
	if okMatch && okPriority && p.define(l, "priority "+strings.Join(f[:3], " "), f[3]) {
		p.set.Priorities = append(p.set.Priorities, PriorityRule{Match: k, Priority: v})
	}
}

func (p *parser) readRepeatable(l line, f []string) {
	if f[1] == "*" {
		p.fail(l, f[1], "all methods cannot be made repeatable at once", allowedMethod)
		return
	}
	k, ok := p.requestMatch(l, f)
	if ok && p.define(l, "repeatable "+strings.Join(f, " "), "") {
		p.set.Repeatable = append(p.set.Repeatable, k)
	}
}

func (p *parser) readMinimum(l line, f []string) {
	v, ok := p.priority(l, f[0])
	units, problem := parsePercent(f[1])
	if problem != "" {
		p.fail(l, f[1], problem, allowedPercent)
		return
	}
	if !ok || !p.define(l, "minimum "+f[0], strconv.FormatInt(units, 10)) {
		return
	}
	p.minimumSum += units
	if p.minimumSum > fractionUnits {
		p.fail(l, f[1], "the minimum shares sum to more than 100 %", "minimum shares that sum to at most 100%")
		return
	}
	p.set.Minimum[v] = float64(units) / fractionUnits
}

func (p *parser) readDrain(l line, f []string) {
	kind, name := f[0], f[1]
	if !ValidTarget(name) {
		p.fail(l, name, "not a name", allowedTarget)
		return
	}
	switch kind {
	case "endpoint", "instance":
	case "domain":
		if !p.domains[model.Domain(name)] {
			p.fail(l, name, "unknown domain", "a failure domain of a region line")
			return
		}
	default:
		p.fail(l, kind, "cannot be drained", "endpoint, instance or domain")
		return
	}
	if !p.define(l, "drain "+kind+" "+name, "") {
		return
	}
	switch kind {
	case "endpoint":
		p.set.DrainEndpoints[model.EndpointID(name)] = true
	case "instance":
		p.set.DrainInstances[model.InstanceID(name)] = true
	case "domain":
		p.set.DrainDomains[model.Domain(name)] = true
	}
}

func (p *parser) readHold(l line, f []string) {
	s, ok := p.service(l, f[0])
	if ok && p.define(l, "hold "+f[0], "") {
		p.set.Held[s] = true
	}
}

func (p *parser) readCallers(l line, f []string) {
	prefix, problem := parseCallerPrefix(f[0])
	if problem != "" {
		p.fail(l, f[0], problem, allowedPrefix)
		return
	}
	r, ok := p.region(l, f[1])
	if ok && p.define(l, "callers "+prefix.String(), f[1]) {
		p.set.Callers = append(p.set.Callers, CallerBlock{Prefix: prefix, Region: r})
	}
}
