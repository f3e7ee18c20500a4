package membership

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "jujubestile.example/jujubestile/internal/fixedseed"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/peer"
)

// Guards against instances that do not know that an endpoint is leaving, or no
// longer leaving, 2 s after one of them was notified. Fails if merged news is not
// passed on, but passes if news is spread by pushes alone or by replies to polls
// alone.
func TestNoticesSpread(t *testing.T) {
	all := map[*Notices]bool{}
	topics := func() []Topic {
		n := NewNotices(nil)
		all[n] = true
		return []Topic{n}
	}
	simulate(t, 100, topics, func(c *cluster) {
		reporter := c.nodes["r0-0"]
		own := reporter.topics[NoticesTopic].(*Notices)
		for _, leaving := range []bool{true, false} {
			if !own.Report(time.Now(), "results-7", leaving) {
				t.Fatal("Report did not store the change as a new notice")
			}
			reporter.Notify(NoticesTopic)
			took := c.waitUntil("notice", 2*time.Second, func(n *Node) bool {
				return n.topics[NoticesTopic].(*Notices).Leaving("results-7") == leaving
			})
			t.Logf("leaving=%v known at 100 instances after %v", leaving, took)
		}
		c.add(1, topics)
		c.waitUntil("notices at a new instance", 5*time.Second, func(n *Node) bool {
			return len(n.topics[NoticesTopic].(*Notices).List()) == 1
		})
	})
}

// bigTopic is a topic whose state, once it is set or merged, is encoded as news of
// the maximum size.
type bigTopic struct{ has atomic.Bool }

func (b *bigTopic) Name() string { return "big" }
func (b *bigTopic) Digest() []byte {
	if b.has.Load() {
		return []byte{1}
	}
	return nil
}
func (b *bigTopic) News([]byte) []byte {
	if b.has.Load() {
		return make([]byte, MaxNewsBytes)
	}
	return nil
}
func (b *bigTopic) Merge(news []byte) (bool, error) { return !b.has.Swap(true), nil }

// Guards against messages over peer.MaxMessageBytes when news of the maximum size
// and many records are to be sent at the same time. Fails if the size of the
// records is not subtracted from the space for news.
func TestLargestNewsAndRecords(t *testing.T) {
	topics := func() []Topic { return []Topic{&bigTopic{}} }
	simulate(t, 6, topics, func(c *cluster) {
		c.counting.Store(true)
		first := c.nodes["r0-0"]
		var others []Member
		for i := range 3000 {
			others = append(others, member(fmt.Sprint("ghost-", i), 1, 1, HealthAlive))
		}
		first.topics["big"].(*bigTopic).has.Store(true)
		first.mergeMembers(others, "")
		c.waitUntil("news and records", 10*time.Second, func(n *Node) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.topics["big"].(*bigTopic).has.Load() && len(n.table.rows) > 3000
		})
		if largest := c.largest.Load(); largest > peer.MaxMessageBytes {
			t.Errorf("a message of %d bytes, want at most %d", largest, peer.MaxMessageBytes)
		}
	})
}

// Guards against notices whose final state depends on the order of messages, and
// against news that does not make the notices of two instances equal. Fails
// without the rule for equal versions in Notice.newer.
func TestNoticesMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		a, b := NewNotices(nil), NewNotices(nil)
		for range rapid.IntRange(0, 10).Draw(t, "reports") {
			at := rapid.SampledFrom([]*Notices{a, b}).Draw(t, "at")
			when := now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
			at.Report(when, model.EndpointID(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "id")), rapid.Bool().Draw(t, "leaving"))
		}
		fromA, fromB := a.News(b.Digest()), b.News(a.Digest())
		for _, step := range []struct {
			to   *Notices
			news []byte
		}{{b, fromA}, {a, fromB}, {a, fromB}, {a, a.News(nil)}} {
			if step.news == nil {
				continue
			}
			if _, err := step.to.Merge(step.news); err != nil {
				t.Fatal(err)
			}
		}
		if string(a.Digest()) != string(b.Digest()) || a.News(b.Digest()) != nil {
			t.Fatalf("notices differ after an exchange: %v and %v", a.List(), b.List())
		}
	})
}

// Guards against expired notices that are merged again or override newer ones, and
// against malformed news that is accepted. Fails if Merge does not reject expired
// notices, or if versions are plain counters.
func TestNoticesExpire(t *testing.T) {
	old, fresh := NewNotices(nil), NewNotices(nil)
	old.Report(time.Now().Add(-NoticeTTL-time.Second), "x", true)
	if changed, err := fresh.Merge(old.News(nil)); changed || err != nil || fresh.Leaving("x") {
		t.Errorf("an expired notice was merged: %v, %v", changed, err)
	}
	if _, err := fresh.Merge([]byte("nonsense")); err == nil {
		t.Error("malformed news accepted")
	}
	fresh.Report(time.Now(), "y", true)
	fresh.Report(time.Now(), "y", false)
	restarted := NewNotices(nil)
	restarted.Report(time.Now().Add(time.Hour), "y", true)
	if _, err := fresh.Merge(restarted.News(nil)); err != nil || !fresh.Leaving("y") {
		t.Errorf("a report after expiry lost against the old notice: %v, %v", fresh.List(), err)
	}
	fresh.Expire(time.Now().Add(time.Hour + NoticeTTL + time.Second))
	if len(fresh.List()) != 0 || fresh.Digest() != nil {
		t.Errorf("%v kept after expiry, digest %v", fresh.List(), fresh.Digest())
	}
}
