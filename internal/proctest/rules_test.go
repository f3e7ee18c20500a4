package proctest

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/control"
	"jujubestile.example/jujubestile/internal/standin"
)

// awaitRevision waits until the revision, or a later one, is in force on all
// instances, and returns how long that took. It fails the test after within.
func (f *fleet) awaitRevision(revision uint64, within time.Duration) time.Duration {
	f.t.Helper()
	began := time.Now()
	for _, p := range f.instances {
		eventually(f.t, within-time.Since(began), fmt.Sprintf("revision %d on %s", revision, p.id), func() bool {
			st, err := f.control(p).Status(f.t.Context())
			return err == nil && st.Revision >= revision
		})
	}
	return time.Since(began)
}

func (f *fleet) edit(p *process, text, author, id string, base uint64) (control.EditReply, error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	return f.control(p).Edit(ctx, control.EditRequest{Text: text, Author: author, Base: base, EditID: id})
}

// Guards against two concurrent edits that are both accepted, against a rejected
// operator who does not learn whose edit was accepted, and against an edit that
// takes more than 4 s to be in force on all instances.
func TestTwoOperators(t *testing.T) {
	f := standardFleet(t)
	var wg sync.WaitGroup
	errs := make([]error, 2)
	for i := range errs {
		wg.Go(func() {
			text := f.rules + fmt.Sprintf("minimum 3 %d%% # operator %d\n", 5+i, i)
			_, errs[i] = f.edit(f.instances[2*i], text, fmt.Sprintf("operator-%d", i), fmt.Sprintf("edit-%d", i), 1)
		})
	}
	wg.Wait()
	accepted := 0
	for i, err := range errs {
		var problem *control.Problem
		switch {
		case err == nil:
			accepted++
		case !errors.As(err, &problem) || problem.Winner == nil || problem.Winner.Author != fmt.Sprintf("operator-%d", 1-i):
			t.Errorf("operator %d does not learn whose edit was accepted: %v", i, err)
		}
	}
	if accepted != 1 {
		t.Errorf("%d edits accepted, want 1", accepted)
	}
	t.Logf("in force on all instances after %s", f.awaitRevision(2, 4*time.Second).Round(time.Millisecond))
}

// Guards against rules that revert when the store is restored from a backup, and
// against an edit that is reported as failed, or applied twice, when its write
// takes effect but the response is lost.
func TestStoreRestored(t *testing.T) {
	f := standardFleet(t)
	backup := f.kv.Snapshot()
	f.kv.SetFaults(standin.Faults{DropWriteResponses: 1})
	text := f.rules + "minimum 3 7% # operator\n"
	r, err := f.edit(f.instances[0], text, "operator", "lost-answer", 1)
	if err != nil || r.Revision != 2 {
		t.Fatalf("edit with a lost response: %+v, %v", r, err)
	}
	f.awaitRevision(2, 4*time.Second)
	f.kv.Restore(backup)
	eventually(t, 10*time.Second, "write-back of the newer rules", func() bool {
		kv, err := f.kv.Get(t.Context(), "rules")
		return err == nil && strings.Contains(string(kv.Value), "minimum 3 7%")
	})
	for _, p := range f.instances {
		rules, err := f.control(p).Rules(t.Context(), 0)
		if err != nil || rules.Text != text {
			t.Errorf("%s has revision %d after the restore, %v", p.id, rules.Revision, err)
		}
	}
}
