package membership

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jujubestile.example/jujubestile/internal/model"
)

var epoch = time.Unix(1_800_000_000, 0)

func member(id string, incarnation model.Incarnation, version uint64, h Health) Member {
	return Member{ID: model.InstanceID(id), Region: "r", Domain: "r-a", Incarnation: incarnation, Version: version, Health: h}
}

func newTable(ids ...string) *Table {
	t := NewTable(epoch, member("self", 1, 1, HealthAlive))
	for _, id := range ids {
		t.Merge(epoch, member(id, 1, 1, HealthAlive), "")
	}
	return t
}

func (t *Table) records() map[model.InstanceID]Member {
	all := map[model.InstanceID]Member{}
	for id, r := range t.rows {
		all[id] = r.member
	}
	return all
}

// living returns the records whose Health is not HealthDead.
func (t *Table) living() map[model.InstanceID]Member {
	all := t.records()
	maps.DeleteFunc(all, func(_ model.InstanceID, m Member) bool { return m.Health == HealthDead })
	return all
}

func drawMembers(t *rapid.T) []Member {
	return rapid.SliceOf(rapid.Custom(func(t *rapid.T) Member {
		m := member(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
			model.Incarnation(rapid.IntRange(0, 2).Draw(t, "incarnation")),
			uint64(rapid.IntRange(0, 2).Draw(t, "version")),
			Health(rapid.IntRange(0, 2).Draw(t, "health")))
		m.LoadClass = uint8(rapid.IntRange(0, 2).Draw(t, "load"))
		m.Leaving = rapid.Bool().Draw(t, "leaving")
		return m
	})).Draw(t, "members")
}

// Guards against tables that depend on the order, grouping or repetition of
// messages, so that instances would disagree permanently. The reference model
// keeps the largest record of each member, compared by the formatted fields. Fails
// if the last record wins, or without the order by content.
func TestMergeIgnoresOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawMembers(t)
		shuffled := rapid.Permutation(append(slices.Clone(list), list...)).Draw(t, "order")
		a, b, c := newTable(), newTable(), newTable()
		for _, m := range list {
			a.Merge(epoch, m, "x")
		}
		for _, m := range shuffled {
			b.Merge(epoch, m, "y")
		}
		cut := rapid.IntRange(0, len(list)).Draw(t, "cut")
		tail := newTable()
		for _, m := range list[cut:] {
			tail.Merge(epoch, m, "")
		}
		for _, m := range tail.records() {
			c.Merge(epoch, m, "z")
		}
		for _, m := range list[:cut] {
			c.Merge(epoch, m, "z")
		}
		reference := map[model.InstanceID]Member{"self": a.Self()}
		for _, m := range list {
			if old, ok := reference[m.ID]; !ok || referenceKey(m) > referenceKey(old) {
				reference[m.ID] = m
			}
		}
		for name, got := range map[string]*Table{"in order": a, "shuffled twice": b, "grouped": c} {
			if !maps.Equal(got.records(), reference) {
				t.Fatalf("%s: %v, want %v", name, got.records(), reference)
			}
			if got.Sum() != a.Sum() {
				t.Fatalf("%s: sum differs", name)
			}
		}
	})
}

func referenceKey(m Member) string {
	return fmt.Sprintf("%03d %03d %d %v", m.Incarnation, m.Version, m.Health, m)
}

// Guards against records that are not transferred by digests or change counters.
// Whatever two tables contain, one comparison of digests makes them equal, and
// each later change is then transferred by the change counter. Digests leave out
// dead members, so that a later change may reveal that the tables differed in a
// dead member; the next comparison transfers that record. Fails if digests leave
// out a field, or if the change log is not used.
func TestTablesBecomeEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newTable(), newTable()
		for _, m := range drawMembers(t) {
			a.Merge(epoch, m, "")
		}
		for _, m := range drawMembers(t) {
			b.Merge(epoch, m, "")
		}
		toB, _ := a.Differing(b.Digest())
		toA, _ := b.Differing(a.Digest())
		mergeAll(a, toA)
		mergeAll(b, toB)
		if a.Sum() != b.Sum() || !maps.Equal(a.living(), b.living()) {
			t.Fatalf("after a comparison: %v and %v", a.records(), b.records())
		}
		seq := a.Seq()
		for _, m := range drawMembers(t) {
			a.Merge(epoch, m, "")
		}
		changes, upTo := a.Since(seq, "b")
		mergeAll(b, changes)
		for id, m := range a.records() {
			r := b.rows[id]
			if m.Health == HealthDead && (r == nil || r.member.Health == HealthDead) {
				continue
			}
			if upTo != a.Seq() || r == nil || compare(m, r.member) > 0 {
				t.Fatalf("after changes: %v and %v", a.records(), b.records())
			}
		}
		toA, _ = b.Differing(a.Digest())
		mergeAll(a, toA)
		if a.Sum() != b.Sum() || !maps.Equal(a.living(), b.living()) {
			t.Fatalf("after changes and a comparison: %v and %v", a.records(), b.records())
		}
	})
}

func mergeAll(t *Table, list []Member) {
	for _, m := range list {
		t.Merge(epoch, m, "x")
	}
}

// Guards against messages over peer.MaxMessageBytes, which would never be
// delivered, when the records of many members with long names are transferred.
// Fails if Differing or Since does not limit the size of the records.
func TestRecordsFitIntoMessages(t *testing.T) {
	a, b, c := newTable(), newTable(), newTable()
	long := strings.Repeat("x", maxNameBytes-10)
	for i := range 4900 {
		m := member(fmt.Sprint(long, i), 1<<60, 1<<60, HealthSuspect)
		m.Region, m.Domain, m.KeyPrefix, m.Successor = model.Region(long), model.Domain(long), long, m.ID
		m.EntryAddr = netip.MustParseAddrPort("[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535")
		m.PeerAddr, m.ControlAddr, m.RulesRevision, m.LoadClass, m.Leaving = m.EntryAddr, m.EntryAddr, 1<<60, 7, true
		a.Merge(epoch, m, "")
	}
	check := func(list []Member) {
		t.Helper()
		var buf bytes.Buffer
		if err := gob.NewEncoder(&buf).Encode(ExchangeReply{Members: list, Buckets: a.Digest()}); err != nil || buf.Len() > maxRecordBytes+4096 {
			t.Fatalf("%d records take %d bytes, error %v", len(list), buf.Len(), err)
		}
	}
	for rounds := 0; b.Sum() != a.Sum(); rounds++ {
		list, _ := a.Differing(b.Digest())
		check(list)
		mergeAll(b, list)
		if rounds > 10 {
			t.Fatal("tables still differ after 10 rounds")
		}
	}
	for seq := uint64(0); seq < a.Seq(); {
		list, next := a.Since(seq, "")
		check(list)
		mergeAll(c, list)
		if next <= seq {
			t.Fatal("Since did not advance the change counter")
		}
		seq = next
	}
	if c.Sum() != a.Sum() {
		t.Error("Since did not return all records")
	}
}

// Guards against a member that is shown as dead before it could refute this, and
// against a tombstone that is deleted too early or never. Fails if a member that
// is declared dead by gossip is not shown as suspect for DeadAfter, and without
// TombstoneTTL.
func TestStatesOverTime(t *testing.T) {
	x := newTable("a", "b")
	at := func(d time.Duration) State {
		x.lastTick = epoch.Add(d)
		x.Tick(epoch.Add(d))
		if r := x.rows["a"]; r != nil {
			return r.state
		}
		return 99
	}
	x.Merge(epoch, member("a", 1, 1, HealthDead), "b")
	for _, c := range []struct {
		after time.Duration
		want  State
	}{{0, StateSuspect}, {DeadAfter - 1, StateSuspect}, {DeadAfter, StateDead}, {TombstoneTTL - 1, StateDead}, {TombstoneTTL, 99}} {
		if got := at(c.after); got != c.want {
			t.Errorf("after %v: %v, want %v", c.after, got, c.want)
		}
	}
	x.Merge(epoch, member("b", 1, 1, HealthSuspect), "c")
	if x.Merge(epoch, member("b", 1, 1, HealthAlive), "c"); x.rows["b"].state != StateSuspect {
		t.Error("a suspicion ended without a new version")
	}
	if x.Merge(epoch, member("b", 1, 2, HealthAlive), "c"); x.rows["b"].state != StateAlive {
		t.Error("a suspicion was not ended by its refutation")
	}
}

// Guards against a process that declares other members dead because of the time
// in which it was paused itself. Fails if compensatePause has no effect.
func TestPauseDiscardsMeasurements(t *testing.T) {
	x := newTable("a", "b", "c")
	x.Tick(epoch)
	x.RecordFailure(epoch, "a")
	x.Merge(epoch, member("b", 1, 1, HealthSuspect), "c")
	later := epoch.Add(time.Hour)
	x.Tick(later)
	if ids := x.ToConfirm(later); len(ids) > 0 || x.rows["b"].state != StateSuspect || x.Paused() != time.Hour {
		t.Errorf("after the pause: confirming %v, b is %v, paused %v", ids, x.rows["b"].state, x.Paused())
	}
	x.Tick(later.Add(time.Second))
	x.Tick(later.Add(2 * time.Second))
	x.Tick(later.Add(4 * time.Second))
	x.Tick(later.Add(6 * time.Second))
	if x.rows["b"].state != StateDead {
		t.Errorf("b is %v long after the pause, want dead", x.rows["b"].state)
	}
}

// Guards against members that are declared dead after a period without the
// platform's list or because of a list that lacks most members, and against
// members that stay alive after the list has lacked them for ListGrace. Fails
// without ListGrace, listingTrusted or the effect of delisted.
func TestListRemovesMembers(t *testing.T) {
	x := newTable("a", "b", "c")
	list := func(d time.Duration, ids ...model.InstanceID) {
		entries := []model.EntryInstance{}
		for _, id := range ids {
			entries = append(entries, model.EntryInstance{ID: id})
		}
		x.SetListing(epoch.Add(d), entries)
	}
	check := func(name string, want State) {
		t.Helper()
		if got := x.rows["a"].state; got != want {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
	list(0, "self", "a", "b", "c")
	list(time.Hour, "self", "b", "c")
	check("first list without the member after an hour without lists", StateAlive)
	list(time.Hour+ListGrace-1, "self", "b", "c")
	check("before the end of the grace period", StateAlive)
	list(time.Hour+ListGrace, "self", "b", "c")
	check("at the end of the grace period", StateDead)
	list(2*time.Hour, "self", "a", "b", "c")
	check("listed again", StateAlive)
	list(3*time.Hour, "self")
	list(4*time.Hour, "self")
	check("list that lacks more than half of the live members", StateAlive)
	x.SetListing(epoch, []model.EntryInstance{{ID: "a", Leaving: true}, {ID: "b"}, {ID: "c"}})
	check("marked as leaving by the list", StateLeaving)
}

// Guards against an instance that takes over a delayed record of its previous
// incarnation or does not refute a record that says that it is dead, and against
// one that does not detect a later process with the same ID.
func TestOwnRecord(t *testing.T) {
	x := newTable()
	if x.Merge(epoch, member("self", 0, 9, HealthDead), "a") || x.Self().Version != 1 {
		t.Error("a record of an older incarnation changed the instance's record")
	}
	x.Merge(epoch, member("self", 1, 4, HealthDead), "a")
	if x.Self().Version != 5 || x.Self().Health != HealthAlive {
		t.Errorf("record that says that the instance is dead not refuted: %+v", x.Self())
	}
	if x.Superseded() || x.Merge(epoch, member("self", 2, 1, HealthAlive), "a") || !x.Superseded() {
		t.Error("the later incarnation was not detected")
	}
}

// Guards against neighbours that are all in one failure domain, against none in
// another region, and against relays that differ between instances. Fails if the
// failure domain is ignored.
func TestNeighboursAndRelays(t *testing.T) {
	tables := map[model.InstanceID]*Table{}
	var all []Member
	for i := range 30 {
		m := member(fmt.Sprint("m", i), 1, 1, HealthAlive)
		m.Region = model.Region(fmt.Sprint("r", i%3))
		m.Domain = model.Domain(fmt.Sprint(m.Region, "-", i/3%2))
		all = append(all, m)
	}
	for _, m := range all {
		x := NewTable(epoch, m)
		mergeAll(x, all)
		tables[m.ID] = x
	}
	relayCount := 0
	for id, x := range tables {
		near, far := x.Neighbours()
		own, other := 0, 0
		for _, n := range near {
			r := x.rows[n].member
			if r.Region != x.Self().Region {
				t.Errorf("%s has the near neighbour %s in %s", id, n, r.Region)
			}
			if r.Domain == x.Self().Domain {
				own++
			} else {
				other++
			}
		}
		if own != 2 || other != 2 || len(far) != 1 || x.rows[far[0]].member.Region == x.Self().Region {
			t.Errorf("%s has neighbours %v and %v", id, near, far)
		}
		if x.View(epoch).IsRelay() {
			relayCount++
		}
	}
	if relayCount != 6 {
		t.Errorf("%d relays, want 2 in each of 3 regions", relayCount)
	}
}

// Guards against suspicions while more than half of the neighbours fail, and
// against missing suspicions while at most half do. Fails if two failing
// neighbours of four count as more than half.
func TestDistrust(t *testing.T) {
	x := newTable("a", "b", "c", "d")
	later := epoch.Add(SuspectAfter)
	for failing, id := range []model.InstanceID{"a", "b", "c"} {
		x.RecordFailure(epoch, id)
		want := failing + 1
		if want > 2 {
			want = 0
		}
		if ids := x.ToConfirm(later); len(ids) != want || x.Distrusted() != (want == 0) {
			t.Errorf("%d of 4 fail: confirming %v, distrusted %v", failing+1, ids, x.Distrusted())
		}
	}
	if x.Suspect(later, "a") {
		t.Error("suspected a member although more than half of the neighbours fail")
	}
	x.RecordAnswer("c")
	if len(x.ToConfirm(epoch.Add(confirmAfter-1))) != 0 || x.Suspect(later.Add(-1), "a") || !x.Suspect(later, "a") {
		t.Error("a member is suspected too early or not at all")
	}
}

// Guards against a choice of neighbours by which a change does not reach all of
// 4,900 members, or only in more than 10 steps. Fails without neighbours in other
// regions.
func TestGraphAt4900(t *testing.T) {
	x := newTable()
	x.remove("self")
	for i := range 4900 {
		m := member(fmt.Sprint("instance-", i), 1, 1, HealthAlive)
		m.Region = model.Region(fmt.Sprint("r", i%10))
		m.Domain = model.Domain(fmt.Sprint("r", i%10, "-", i/10%4))
		x.Merge(epoch, m, "n")
	}
	links := map[model.InstanceID][]model.InstanceID{}
	most := 0
	for id, r := range x.rows {
		x.self = r
		near, far := x.chooseNeighbours()
		for _, other := range append(near, far...) {
			links[id] = append(links[id], other)
			links[other] = append(links[other], id)
			most = max(most, len(links[other]))
		}
	}
	seen := map[model.InstanceID]bool{"instance-0": true}
	frontier, steps := []model.InstanceID{"instance-0"}, 0
	for ; len(frontier) > 0; steps++ {
		var next []model.InstanceID
		for _, id := range frontier {
			for _, other := range links[id] {
				if !seen[other] {
					seen[other] = true
					next = append(next, other)
				}
			}
		}
		frontier = next
	}
	t.Logf("%d of 4900 reached in %d steps, at most %d links", len(seen), steps-1, most)
	if len(seen) != 4900 || steps-1 > 10 || most > 30 {
		t.Errorf("%d of 4900 reached in %d steps, at most %d links", len(seen), steps-1, most)
	}
}

// Measures the table operations at the target size of 4,900 members, which must
// not be slow, and the size of the digest.
func BenchmarkTable4900(b *testing.B) {
	x := newTable()
	for i := range 4900 {
		m := member(fmt.Sprint("instance-", i), 1, 1, HealthAlive)
		m.Region = model.Region(fmt.Sprint("r", i%10))
		m.Domain = model.Domain(fmt.Sprint("r", i%36))
		x.Merge(epoch, m, "n")
	}
	b.Run("Tick", func(b *testing.B) {
		for b.Loop() {
			x.Tick(epoch)
		}
	})
	b.Run("Choose", func(b *testing.B) {
		for b.Loop() {
			x.chooseNeighbours()
		}
	})
	b.Run("View", func(b *testing.B) {
		for b.Loop() {
			x.View(epoch)
		}
	})
	b.Run("Sum", func(b *testing.B) {
		b.ReportMetric(float64(len(x.Digest())), "digest-bytes")
		for b.Loop() {
			x.Sum()
		}
	})
	b.Run("Change", func(b *testing.B) {
		for b.Loop() {
			x.UpdateSelf(epoch, func(m *Member) { m.Leaving = !m.Leaving })
			x.Since(x.Seq()-1, "")
		}
	})
}
