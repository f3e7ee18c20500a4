package ledger

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/store"
)

// newFaultlessFleet returns a simulated fleet without lost, duplicated or long
// delayed messages and without store failures.
func newFaultlessFleet() *simFleet {
	f := newSimFleet(1, false, instanceIDs...)
	f.lossy = false
	return f
}

func mustBegin(t *testing.T, l *Ledger, key string) *Claim {
	t.Helper()
	c, res, err := l.Begin(context.Background(), key, 1)
	if err != nil || c == nil {
		t.Fatalf("Begin(%q): claim %v, result %+v, error %v", key, c, res, err)
	}
	return c
}

func reasonOf(err error) Reason {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

// Guards against running a duplicate while the first request with the key runs,
// at the same or another instance, and against accepting one key for two
// different requests.
func TestDuplicates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFaultlessFleet()
		a, b := f.node("a").l, f.node("b").l
		key := a.Prefix() + "1"
		c := mustBegin(t, a, key)
		results := make(chan string, 4)
		for _, l := range []*Ledger{a, b, b} {
			go func() {
				claim, res, err := l.Begin(context.Background(), key, 1)
				results <- fmt.Sprint(claim != nil, err, string(res.Body))
			}()
		}
		time.Sleep(time.Second)
		short, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, _, err := b.Begin(short, key, 1); reasonOf(err) != ReasonRunning {
			t.Errorf("request still running: %v, want ReasonRunning", err)
		}
		if err := c.Intent(context.Background()); err != nil {
			t.Fatal(err)
		}
		c.Finish(model.OutcomeAnswered, &Response{Status: 201, Body: []byte("first")})
		if o := c.Finish(model.OutcomeUnknown, nil); o != model.OutcomeUnknown {
			t.Error(o)
		}
		for range 3 {
			if got := <-results; got != "false <nil>first" {
				t.Errorf("duplicate: %s", got)
			}
		}
		for _, l := range []*Ledger{a, b} {
			if _, _, err := l.Begin(context.Background(), key, 2); reasonOf(err) != ReasonReused {
				t.Errorf("key reused with another fingerprint: %v", err)
			}
		}
		for _, key := range []string{"", "a b", `a"`, string(make([]byte, 300))} {
			if _, _, err := a.Begin(context.Background(), key, 1); reasonOf(err) != ReasonInvalid {
				t.Errorf("key %q: %v", key, err)
			}
		}
		if _, _, err := a.Begin(context.Background(), Key{Owner: "a", OwnerInc: f.node("a").inc, Epoch: 1, Random: "x"}.String(), 1); reasonOf(err) != ReasonExpired {
			t.Errorf("epoch that has not begun: %v, want ReasonExpired", err)
		}
		if err := a.Flush(context.Background()); err != nil {
			t.Error(err)
		}
	})
}

// Guards against records that use more memory than their limits, and against
// replaying a response without its body as if it were complete.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFaultlessFleet()
		a := f.node("a").l
		a.held.max = 400
		finish := func(key string, size int) {
			c := mustBegin(t, a, key)
			c.Finish(model.OutcomeAnswered, &Response{Status: 201, Header: http.Header{"A": {"b"}}, Body: make([]byte, size)})
		}
		first := a.Prefix() + "first"
		finish(first, 60<<10)
		large := a.Prefix() + "large"
		finish(large, maxResponseBytes)
		if _, res, _ := a.Begin(context.Background(), large, 1); !res.BodyGone || res.Status != 201 || res.Body != nil {
			t.Errorf("large response: %+v", res)
		}
		for i := range 150 {
			finish(fmt.Sprint(a.Prefix(), i), 60<<10)
		}
		if _, res, _ := a.Begin(context.Background(), first, 1); res == nil || !res.BodyGone {
			t.Errorf("oldest response: %+v", res)
		}
		if a.held.cache.bytes > maxCacheBytes {
			t.Errorf("%d bytes of responses", a.held.cache.bytes)
		}
		for i := range 2000 {
			finish(fmt.Sprint(a.Prefix(), "n", i), 1)
			if n := a.held.ownSet().size(); n > 400 {
				t.Fatalf("%d records, want at most 400", n)
			}
		}
		if _, _, err := a.Begin(context.Background(), first, 1); reasonOf(err) != ReasonExpired {
			t.Errorf("discarded record: %v", err)
		}
		prefix := a.Prefix()
		for i := range 2000 {
			_, _, err := a.Begin(context.Background(), fmt.Sprint(prefix, "same", i), 1)
			if n := a.held.ownSet().size(); n > 400 || err != nil && reasonOf(err) != ReasonExpired {
				t.Fatalf("keys of one epoch: %d records, %v", n, err)
			}
		}
	})
}

// Guards against a paused owner that sends a request after its witness sealed
// the key, or after the key's epoch was discarded, when an opaque key may already
// be bound to another instance.
func TestPausedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFaultlessFleet()
		a, b := f.node("a").l, f.node("b").l
		k := Key{Owner: "a", OwnerInc: f.node("a").inc, Witness: "c", WitnessInc: f.node("c").inc, Random: "x"}
		paused := mustBegin(t, a, k.String())
		f.cutUntil[[2]model.InstanceID{"b", "a"}] = time.Now().Add(time.Hour)
		if _, res, err := b.Begin(context.Background(), k.String(), 1); err != nil || res.Outcome != model.OutcomeNotRun {
			t.Errorf("owner unreachable: %+v %v", res, err)
		}
		if err := paused.Intent(context.Background()); !errors.Is(err, ErrKeyClosed) {
			t.Errorf("intent for a sealed key: %v", err)
		}
		old := mustBegin(t, a, "own-key")
		time.Sleep(epochsKept*epochLength + time.Second)
		if err := old.Intent(context.Background()); !errors.Is(err, ErrKeyClosed) {
			t.Errorf("intent after the epoch was discarded: %v", err)
		}
		k.Random = "y"
		k.Epoch = a.held.ownSet().epoch
		f.nodes["c"].dead = true
		lost := mustBegin(t, a, k.String())
		if err := lost.Intent(context.Background()); !errors.Is(err, ErrWitnessUnreachable) {
			t.Errorf("witness unreachable: %v", err)
		}
		if p, _ := ParseKey(a.Prefix() + "z"); p.Witness == "c" {
			t.Error("a key with an unreachable witness was issued")
		}
	})
}

// Guards against forged keys with later epochs or incarnations that make the
// witness refuse the owner's real keys.
func TestForgedKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFaultlessFleet()
		a, b := f.node("a").l, f.node("b").l
		real := Key{Owner: "a", OwnerInc: f.node("a").inc, Witness: "c", WitnessInc: f.node("c").inc, Random: "x"}
		f.cutUntil[[2]model.InstanceID{"b", "a"}] = time.Now().Add(time.Minute)
		later, next := real, real
		later.Epoch, next.OwnerInc = 1<<60, real.OwnerInc+1
		for _, k := range []Key{later, next, {Owner: "nobody", Witness: "c", WitnessInc: real.WitnessInc, Random: "x"}} {
			if _, _, err := b.Begin(context.Background(), k.String(), 1); reasonOf(err) != ReasonHolderLost {
				t.Errorf("key %v: %v", k, err)
			}
		}
		time.Sleep(witnessRetention + time.Minute)
		a.Prefix()
		real.Epoch = a.held.ownSet().epoch
		if err := mustBegin(t, a, real.String()).Intent(context.Background()); err != nil {
			t.Errorf("real key after forged ones: %v", err)
		}
		if n := len(f.node("c").l.witnessed.owners); n != 1 {
			t.Errorf("%d owners at the witness, want 1", n)
		}
	})
}

// Guards against losing recorded outcomes during a graceful shutdown, and
// against two holders of a key: the stopped instance or a second successor
// beside the first.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFaultlessFleet()
		a, b, c := f.node("a").l, f.node("b").l, f.node("c").l
		prefix := Key{Owner: "a", OwnerInc: f.node("a").inc}.Prefix()
		var keys []string
		for i := range 40 {
			keys = append(keys, fmt.Sprint(prefix, i))
			claim := mustBegin(t, a, keys[i])
			claim.Finish(model.OutcomeAnswered, &Response{Status: 201, Body: make([]byte, 50<<10)})
		}
		mustBegin(t, a, prefix+"running")
		if err := a.HandOver(context.Background(), "b", f.node("b").inc); err != nil {
			t.Fatal(err)
		}
		if err := a.HandOver(context.Background(), "c", f.node("c").inc); err == nil {
			t.Error("handed over twice")
		}
		f.successor[source{"a", f.node("a").inc}] = "b"
		if claim := mustBegin(t, a, prefix+"late"); claim.rec.token.Instance != "a" {
			t.Error("the stopped instance did not request the key from its successor")
		}
		f.nodes["a"].dead = true
		for _, key := range keys {
			if _, res, err := c.Begin(context.Background(), key, 1); err != nil || len(res.Body) != 50<<10 {
				t.Fatalf("inherited record: %+v %v", res, err)
			}
		}
		if _, res, err := c.Begin(context.Background(), prefix+"running", 1); err != nil || res.Outcome != model.OutcomeUnknown {
			t.Errorf("request in flight at the stop: %+v %v", res, err)
		}
		mustBegin(t, c, prefix+"new")
		if res, err := b.Lookup(context.Background(), prefix+"unseen"); err != nil || res.Outcome != model.OutcomeNotRun {
			t.Errorf("unseen key: %+v %v", res, err)
		}
		time.Sleep(inheritedRetention + time.Second)
		if _, _, err := b.Begin(context.Background(), keys[0], 1); reasonOf(err) != ReasonHolderLost {
			t.Errorf("after the retention: %v", err)
		}
		late := &InheritArgs{From: source{"a", f.node("a").inc}, To: source{"b", f.node("b").inc}, Final: true}
		if err := b.Service().Inherit(late, &InheritReply{}); err == nil {
			t.Error("a discarded set was inherited again")
		}
		late.From.Inc++
		late.To.Inc--
		if err := b.Service().Inherit(late, &InheritReply{}); err == nil {
			t.Error("a handover to an earlier incarnation was accepted")
		}
	})
}

// Guards against exceeding the rate of store writes, and against reporting an
// opaque key as not run that may be bound.
func TestOpaqueKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFaultlessFleet()
		a, b := f.node("a").l, f.node("b").l
		claim := mustBegin(t, a, "own-key")
		claim.Finish(model.OutcomeAnswered, &Response{Status: 201, Body: []byte("x")})
		if _, res, err := b.Begin(context.Background(), "own-key", 1); err != nil || string(res.Body) != "x" {
			t.Errorf("key bound to another instance: %+v %v", res, err)
		}
		refused := 0
		for i := range 100 {
			_, _, err := a.Begin(context.Background(), fmt.Sprint("flood", i), 1)
			var r *Refusal
			if errors.As(err, &r) && r.NoBinding && r.Outcome == model.OutcomeUnknown {
				refused++
			}
		}
		if most := bindingWrites*6 + 1; f.store.writes > most || refused == 0 {
			t.Errorf("%d writes, want at most %d; %d refused", f.store.writes, most, refused)
		}
		time.Sleep(2 * time.Second)
		// A request with this key arrives at instance a after the lookup at b.
		if res, err := b.Lookup(context.Background(), "asked-first"); err != nil || res.Outcome != model.OutcomeNotRun {
			t.Errorf("lookup: %+v %v", res, err)
		}
		if _, res, err := a.Begin(context.Background(), "asked-first", 1); err != nil || res == nil || res.Outcome != model.OutcomeNotRun {
			t.Errorf("after it was reported as not run: %+v %v", res, err)
		}
		f.store.downUntil = time.Now().Add(time.Minute)
		_, _, err := a.Begin(context.Background(), "in-an-outage", 1)
		var r *Refusal
		if !errors.As(err, &r) || r.Reason != ReasonUnbound || r.NoBinding || r.Outcome != model.OutcomeUnknown {
			t.Errorf("store down: %v", err)
		}
		if _, res, err := a.Begin(context.Background(), "own-key", 1); err != nil || res == nil {
			t.Errorf("known binding in an outage: %+v %v", res, err)
		}
	})
}

// Guards against a request that runs twice because the store was restored to a state
// without the binding of its opaque key. It fails, see KNOWN-RED.txt: the second
// instance takes the key for a new one.
func TestOpaqueKeyAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFaultlessFleet()
		claim := mustBegin(t, f.node("a").l, "own-key")
		if err := claim.Intent(context.Background()); err != nil {
			t.Fatal(err)
		}
		claim.Finish(model.OutcomeAnswered, &Response{Status: 201, Body: []byte("x")})
		f.store.values = map[string]store.KeyValue{}
		second, res, err := f.node("b").l.Begin(context.Background(), "own-key", 1)
		if second != nil && second.Intent(context.Background()) == nil {
			t.Errorf("the key runs again at another instance: %+v %v", res, err)
		}
	})
}

func FuzzParseKey(f *testing.F) {
	for _, seed := range []string{"a.1.0.b.2.x", "a.1.0.-.0.x", "a.01.0.b.2.x", "a.1.0.b.2.", "a.1.0.b.2.x.y", "..0.b.2.x", "a.zzzzzzzzzzzzzzz.0.b.2.x"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		k, ok := ParseKey(s)
		if ok && (k.String() != s || CheckKey(s) != nil || k.Random == "" || k.Owner == "") {
			t.Errorf("ParseKey(%q) = %+v", s, k)
		}
	})
}
