package ledger

import (
	"context"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/peer"
)

const (
	// maxBatchBytes bounds the outcomes in one message.
	maxBatchBytes = 256 << 10
	// maxOutboxBytes bounds the outcomes that wait for all witnesses. Further
	// ones are dropped: their keys stay "intent only" at the witness.
	maxOutboxBytes = 8 << 20
	// completionOverheadBytes is the approximate size of a Completion besides
	// the response.
	completionOverheadBytes = 400
	completeAttempts        = 3
	completeBackoff         = 100 * time.Millisecond
)

// outbox sends outcomes to witnesses in the background, in batches.
type outbox struct {
	peers peer.Caller

	mu     sync.Mutex
	queues map[model.InstanceID][]Completion
	bytes  int
	// busy holds the witnesses that have a sender.
	busy map[model.InstanceID]bool
	// idle is closed when no sender is left. It is nil without a sender.
	idle chan struct{}
}

func newOutbox(peers peer.Caller) *outbox {
	return &outbox{peers: peers, queues: map[model.InstanceID][]Completion{}, busy: map[model.InstanceID]bool{}}
}

func (c *Completion) size() int { return completionOverheadBytes + c.Result.size() }

func (o *outbox) add(to model.InstanceID, c Completion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.bytes+c.size() > maxOutboxBytes {
		return
	}
	o.bytes += c.size()
	o.queues[to] = append(o.queues[to], c)
	if o.busy[to] {
		return
	}
	o.busy[to] = true
	if o.idle == nil {
		o.idle = make(chan struct{})
	}
	go o.send(to)
}

// send empties the queue of one witness and ends.
func (o *outbox) send(to model.InstanceID) {
	for {
		batch := o.next(to)
		if len(batch) == 0 {
			return
		}
		o.deliver(to, batch)
		o.release(batch)
	}
}

// next takes a batch, or ends the sender.
func (o *outbox) next(to model.InstanceID) []Completion {
	o.mu.Lock()
	defer o.mu.Unlock()
	queue := o.queues[to]
	n, size := 0, 0
	for n < len(queue) && (n == 0 || size+queue[n].size() <= maxBatchBytes) {
		size += queue[n].size()
		n++
	}
	if n == 0 {
		o.endSender(to)
		return nil
	}
	o.queues[to] = queue[n:]
	return queue[:n]
}

func (o *outbox) endSender(to model.InstanceID) {
	delete(o.queues, to)
	delete(o.busy, to)
	if len(o.busy) == 0 {
		close(o.idle)
		o.idle = nil
	}
}

func (o *outbox) deliver(to model.InstanceID, batch []Completion) {
	for attempt := range completeAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err := o.peers.Call(ctx, to, "Ledger.Complete", &CompleteArgs{Completions: batch}, &CompleteReply{})
		cancel()
		if err == nil {
			return
		}
		time.Sleep(completeBackoff << attempt)
	}
}

func (o *outbox) release(batch []Completion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range batch {
		o.bytes -= batch[i].size()
	}
}

func (o *outbox) flush(ctx context.Context) error {
	for {
		o.mu.Lock()
		idle := o.idle
		o.mu.Unlock()
		if idle == nil {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
