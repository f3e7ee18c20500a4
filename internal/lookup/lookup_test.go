package lookup

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "jujubestile.example/jujubestile/internal/fixedseed"

	"jujubestile.example/jujubestile/internal/membership"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

// drawAddr generates addresses that share leading and trailing bits, so that
// blocks nest and touch the ends of the address space.
func drawAddr(t *rapid.T, label string) netip.Addr {
	edgeBytes := rapid.SampledFrom([]byte{0, 1, 127, 128, 255})
	if rapid.Bool().Draw(t, label+" is v4") {
		var b [4]byte
		for i := range b {
			b[i] = edgeBytes.Draw(t, label)
		}
		return netip.AddrFrom4(b)
	}
	var b [16]byte
	b[0] = rapid.SampledFrom([]byte{0, 0x20, 0x3f, 0x40, 0xff}).Draw(t, label)
	for _, i := range []int{1, 7, 8, 15} {
		b[i] = edgeBytes.Draw(t, label)
	}
	return netip.AddrFrom16(b)
}

// scan is the reference implementation of Table.Lookup.
func scan(blocks []rules.CallerBlock, addr netip.Addr) (found Match, ok bool) {
	for _, b := range blocks {
		if b.Prefix.Contains(addr) && (!ok || b.Prefix.Bits() >= found.Prefix.Bits()) {
			found, ok = Match{b.Region, b.Prefix.Masked()}, true
		}
	}
	return found, ok
}

// Guards against results that differ from a linear scan of all blocks: nested
// and equal blocks, the bounds of blocks and of the address space, IPv4 and
// IPv6. Fails if the table mishandles the end of the address space, the return
// to the outer block after an inner one, or the order of equal blocks, or if the
// index is not monotonic.
func TestLookupEqualsScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		blocks := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) rules.CallerBlock {
			a := drawAddr(t, "block")
			p, _ := a.Prefix(rapid.IntRange(0, a.BitLen()).Draw(t, "bits"))
			return rules.CallerBlock{Prefix: p, Region: model.Region(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "region"))}
		}), 0, 30).Draw(t, "blocks")
		table := NewTable(blocks)
		check := func(addr netip.Addr) {
			got, ok := table.Lookup(addr)
			want, wantOK := scan(blocks, addr)
			if ok != wantOK || got != want {
				t.Fatalf("%v: %v %v, want %v %v", addr, got, ok, want, wantOK)
			}
		}
		for range 20 {
			check(drawAddr(t, "address"))
		}
		for _, b := range blocks {
			check(b.Prefix.Addr())
			if before := b.Prefix.Addr().Prev(); before.IsValid() {
				check(before)
			}
		}
	})
}

// Guards against IPv4-mapped IPv6 callers, as a dual-stack socket reports them,
// that miss their block. Fails if addresses or blocks are not unmapped.
func TestMappedAddresses(t *testing.T) {
	table := NewTable([]rules.CallerBlock{{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Region: "a"}, {Prefix: netip.MustParsePrefix("::ffff:10.2.0.0/112"), Region: "b"}})
	for addr, want := range map[string]model.Region{"::ffff:10.1.2.3": "a", "10.2.0.1": "b", "10.3.0.1": ""} {
		if m, _ := table.Lookup(netip.MustParseAddr(addr)); m.Region != want {
			t.Errorf("%s: %q, want %q", addr, m.Region, want)
		}
	}
}

func randomBlocks(n int) []rules.CallerBlock {
	r := rand.New(rand.NewPCG(1, 2))
	blocks := make([]rules.CallerBlock, 0, n)
	for i := range n {
		region := model.Region(fmt.Sprint("r", i%10))
		if i%4 == 3 {
			a := netip.AddrFrom16([16]byte{0x20, byte(r.IntN(16)), byte(r.IntN(256)), byte(r.IntN(256)), byte(r.IntN(256)), byte(r.IntN(256))})
			p, _ := a.Prefix(32 + r.IntN(17))
			blocks = append(blocks, rules.CallerBlock{Prefix: p, Region: region})
			continue
		}
		a := netip.AddrFrom4([4]byte{byte(1 + r.IntN(222)), byte(r.IntN(256)), byte(r.IntN(256))})
		p, _ := a.Prefix(14 + r.IntN(11))
		blocks = append(blocks, rules.CallerBlock{Prefix: p, Region: region})
	}
	return blocks
}

var sizes = []int{1_000, 10_000, 100_000, 400_000}

// Guards against lookups that take over 1 us or allocate at the target size of
// 400,000 blocks.
func BenchmarkCapacityLookup(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			blocks := randomBlocks(n)
			table := NewTable(blocks)
			addrs := make([]netip.Addr, 1<<16)
			r := rand.New(rand.NewPCG(3, 4))
			for i := range addrs {
				addrs[i] = blocks[r.IntN(n)].Prefix.Addr().Next()
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				table.Lookup(addrs[i&(1<<16-1)])
				i++
			}
		})
	}
}

// BenchmarkCapacityLookupBuild builds a table and reports its size.
func BenchmarkCapacityLookupBuild(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			blocks := randomBlocks(n)
			b.ReportAllocs()
			for b.Loop() {
				b.ReportMetric(float64(NewTable(blocks).Bytes()), "table-bytes")
			}
		})
	}
}

// Guards against an allocation in each lookup.
func TestLookupDoesNotAllocate(t *testing.T) {
	blocks := randomBlocks(1000)
	table := NewTable(blocks)
	addr := blocks[3].Prefix.Addr()
	if n := testing.AllocsPerRun(100, func() { table.Lookup(addr) }); n != 0 {
		t.Errorf("%v allocations, want none", n)
	}
}

func status(i int, region, domain string) *membership.Status {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 80)
	return &membership.Status{Member: membership.Member{
		ID: model.InstanceID(fmt.Sprint(domain, "-", i)), Region: model.Region(region), Domain: model.Domain(domain),
		EntryAddr: addr, KeyPrefix: fmt.Sprint("p", i),
	}}
}

// testView returns a view with n instances in 3 regions with 2 failure domains
// each.
func testView(n int) *membership.View {
	v := &membership.View{Self: membership.Member{ID: "self", Region: "r0"}}
	for i := range n {
		region := fmt.Sprint("r", i%3)
		v.Members = append(v.Members, status(i, region, fmt.Sprint(region, "-", i/3%2)))
	}
	return v
}

var distances = Distances{"r0": {"r2", "r1"}, "r1": {"r0", "r2"}, "r2": {"r1", "r0"}}

func directory(v *membership.View, set *rules.Set) *Directory {
	return NewDirectory(NewTable(set.Callers), v, set, distances)
}

func callerAt(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(20 + i>>16), byte(i >> 8), byte(i), 1})
}

const callerCount = 20_000

// firstChoices returns the first instance for each of callerCount callers that
// no rule covers.
func firstChoices(d *Directory) []model.InstanceID {
	ids := make([]model.InstanceID, callerCount)
	for i := range ids {
		ids[i] = d.Lookup(callerAt(i)).Entries[0].ID
	}
	return ids
}

func countByInstance(ids []model.InstanceID) map[model.InstanceID]float64 {
	counts := map[model.InstanceID]float64{}
	for _, id := range ids {
		counts[id]++
	}
	return counts
}

// Guards against an uneven distribution of callers over instances, and against a
// change of one member that moves callers of other members. Fails if the hash
// leaves out the block or depends on the number of members, or if load does not
// lower the weight.
func TestSpread(t *testing.T) {
	view := testView(21)
	all := firstChoices(directory(view, &rules.Set{}))
	evenShare := float64(callerCount) / 7
	for id, n := range countByInstance(all) {
		if math.Abs(n/evenShare-1) > 0.2 || id[:2] != "r0" {
			t.Errorf("%s has %v callers, want %v within 20 %%", id, n, evenShare)
		}
	}
	changed := view.Members[0].ID
	view.Members[0].State = membership.StateLeaving
	for i, id := range firstChoices(directory(view, &rules.Set{})) {
		if id == changed || (all[i] != changed && id != all[i]) {
			t.Fatalf("caller %d moved from %s to %s when %s was leaving", i, all[i], id, changed)
		}
	}
	view.Members[0].State = membership.StateAlive
	view.Members[0].LoadClass = membership.MaxLoadClass
	loaded := firstChoices(directory(view, &rules.Set{}))
	want := evenShare * 0.3 / (6.3 / 7)
	if n := countByInstance(loaded)[changed]; math.Abs(n/want-1) > 0.2 {
		t.Errorf("the instance under load has %v callers, want %v within 20 %%", n, want)
	}
	for i, id := range loaded {
		if all[i] != changed && id != all[i] {
			t.Fatalf("caller %d moved from %s to %s when the load of %s rose", i, all[i], id, changed)
		}
	}
}

// Guards against answers with instances that accept no callers, with regions in
// the wrong order, or with all instances in one failure domain or region. Fails
// if the lookup ignores member states, either kind of drain or the order of
// regions, if the last position is not in another region, if a single failure
// domain fills the share of the caller's region, or if a single region returns
// fewer than five instances.
func TestOrder(t *testing.T) {
	view := testView(60)
	set := &rules.Set{
		Callers:        []rules.CallerBlock{{Prefix: netip.MustParsePrefix("20.0.0.0/8"), Region: "r1"}},
		DrainInstances: map[model.InstanceID]bool{view.Members[2].ID: true},
		DrainDomains:   map[model.Domain]bool{},
	}
	for i := range 2000 {
		set.Callers = append(set.Callers, rules.CallerBlock{Prefix: netip.PrefixFrom(callerAt(i), 24).Masked(), Region: "r2"})
	}
	bad := map[model.InstanceID]bool{view.Members[2].ID: true, view.Members[5].ID: true, view.Members[8].ID: true}
	view.Members[5].State = membership.StateLeaving
	view.Members[8].State = membership.StateDead
	view.Members[11].State = membership.StateSuspect
	d := directory(view, set)
	for i := range 2000 {
		a := d.Lookup(callerAt(i))
		domains := map[model.Domain]bool{}
		for j, e := range a.Entries {
			want := model.Region("r2")
			if j == 4 {
				want = "r1"
			}
			if e.Region != want || bad[e.ID] || e.State != membership.StateAlive {
				t.Fatalf("caller %d: %s in %s at %d", i, e.ID, e.Region, j)
			}
			domains[e.Domain] = true
		}
		if a.Region != "r2" || len(a.Entries) != MaxEntries || len(domains) != 3 {
			t.Fatalf("caller %d: region %s, %d entries, domains %v", i, a.Region, len(a.Entries), domains)
		}
	}
	set.DrainDomains = map[model.Domain]bool{"r2-0": true, "r2-1": true, "r1-0": true, "r1-1": true, "r0-0": true}
	for i := range view.Members {
		if i%3 == 0 && i > 9 {
			view.Members[i].State = membership.StateSuspect
		}
	}
	a := directory(view, set).Lookup(callerAt(0))
	if len(a.Entries) != MaxEntries || a.Entries[0].State != membership.StateAlive || a.Entries[4].State != membership.StateSuspect {
		t.Errorf("suspect instances are not last: %v", a.Entries)
	}
	allDrained := directory(&membership.View{Self: view.Self, Members: testView(60).Members[:1]}, set)
	if n := len(allDrained.Lookup(callerAt(0)).Entries); n != 0 {
		t.Errorf("%d entries although all instances are drained", n)
	}
	oneRegion := testView(60)
	oneRegion.Members = slices.DeleteFunc(oneRegion.Members, func(m *membership.Status) bool { return m.Region != "r2" })
	if a := directory(oneRegion, &rules.Set{Callers: set.Callers}).Lookup(callerAt(0)); len(a.Entries) != MaxEntries {
		t.Errorf("%d entries with one region, want %d", len(a.Entries), MaxEntries)
	}
}

// Guards against bodies and errors that callers cannot parse. Fails if the status
// is not 503 when no instance is available, or if a new view is not picked up.
func TestHandler(t *testing.T) {
	view := testView(20)
	s := NewService(func() *membership.View { return view })
	s.SetRules(&rules.Set{Callers: []rules.CallerBlock{{Prefix: netip.MustParsePrefix("2001:db8::/32"), Region: "r1"}}}, distances)
	get := func(method, target string) (*httptest.ResponseRecorder, map[string]any) {
		r := httptest.NewRequest(method, target, nil)
		r.RemoteAddr = "[2001:db8::1]:999"
		w := httptest.NewRecorder()
		if strings.HasPrefix(target, "/explain") {
			s.ServeExplain(w, r)
		} else {
			s.ServeHTTP(w, r)
		}
		var body map[string]any
		if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
			t.Errorf("%s: %v", target, err)
		}
		return w, body
	}
	for target, region := range map[string]string{"/v1/entries": "r1", "/v1/entries?caller=10.0.0.1": "r0", "/v1/entries?caller=2001:db8::9": "r1"} {
		w, body := get("GET", target)
		entries, _ := body["entries"].([]any)
		if w.Code != 200 || w.Header().Get("Cache-Control") != "max-age=10" || body["region"] != region || body["ttl_ms"] != 10000.0 || len(entries) != MaxEntries {
			t.Fatalf("%s: %d %v %v", target, w.Code, w.Header(), body)
		}
		for _, key := range []string{"id", "addr", "region", "domain", "key_prefix"} {
			if v, _ := entries[0].(map[string]any)[key].(string); v == "" {
				t.Errorf("%s: no %s in %v", target, key, entries[0])
			}
		}
	}
	for target, status := range map[string]int{"/v1/entries?caller=": 400, "/v1/entries?caller=1.2.3": 400, "/v1/entries?caller=1.2.3.4&caller=1.2.3.5": 400, "/v1/entries?caller=%zz": 200} {
		w, body := get("GET", target)
		if w.Code != status || (status == 400 && (w.Header().Get("Content-Type") != "application/problem+json" || body["status"] != 400.0 || body["title"] != "Bad Request")) {
			t.Errorf("%s: %d %v", target, w.Code, body)
		}
	}
	if w, _ := get("POST", "/v1/entries"); w.Code != 405 {
		t.Errorf("POST: %d, want 405", w.Code)
	}
	_, body := get("GET", "/explain?caller=10.0.0.1")
	if list, _ := body["instances"].([]any); len(list) != 20 || list[0].(map[string]any)["position"] != 1.0 || list[19].(map[string]any)["reason"] == "" {
		t.Errorf("explanation: %v", body)
	}
	changed := *view
	changed.Members = slices.Clone(view.Members)
	for i, m := range changed.Members {
		changed.Members[i] = &membership.Status{Member: m.Member, State: membership.StateDead}
	}
	view = &changed
	if w, _ := get("GET", "/v1/entries"); w.Code != 503 || w.Header().Get("Retry-After") != "1" {
		t.Errorf("no instance: %d, want 503", w.Code)
	}
}

func bigService(n int) *Service {
	view := &membership.View{Self: membership.Member{Region: "r0"}}
	for i := range n {
		region := fmt.Sprint("r", i%10)
		view.Members = append(view.Members, status(i, region, fmt.Sprint(region, "-", i/10%4)))
	}
	s := NewService(func() *membership.View { return view })
	s.SetRules(&rules.Set{Callers: randomBlocks(400_000)}, nil)
	return s
}

// BenchmarkCapacityLookupOrder selects the instances for a caller. At the target
// size there are 490 instances in each of 10 regions.
func BenchmarkCapacityLookupOrder(b *testing.B) {
	for _, n := range []int{20, 4900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := bigService(n).Directory()
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				d.Lookup(callerAt(i & 0xffff))
				i++
			}
		})
	}
}

// BenchmarkCapacityLookupHandler serves requests in one goroutine. The response
// recorder is allocated within the measurement.
func BenchmarkCapacityLookupHandler(b *testing.B) {
	for _, n := range []int{20, 4900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := bigService(n)
			r := httptest.NewRequest(http.MethodGet, "/v1/entries?caller=20.1.2.3", nil)
			b.ReportAllocs()
			for b.Loop() {
				s.ServeHTTP(httptest.NewRecorder(), r)
			}
		})
	}
}

// BenchmarkCapacityLookupDirectory builds a directory, as after a change of the
// members.
func BenchmarkCapacityLookupDirectory(b *testing.B) {
	s := bigService(4900)
	for b.Loop() {
		NewDirectory(s.table, s.view(), s.set, nil)
	}
}
