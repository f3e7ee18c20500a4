package ledger

import (
	"context"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/peer"
)

const (
	// maxBatchBytes limits the outcomes in one message.
	maxBatchBytes = 256 << 10
	// maxOutboxBytes limits the outcomes queued for all witnesses. Further
	// outcomes are dropped; the witness then has only the intent for their keys.
	maxOutboxBytes = 8 << 20
	// completionOverheadBytes is the approximate size of a Completion without
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
	// sending contains the witnesses with a running sender goroutine.
	sending map[model.InstanceID]bool
	// idle is closed when the last sender ends. It is nil if none is running.
	idle chan struct{}
}

func newOutbox(peers peer.Caller) *outbox {
	return &outbox{peers: peers, queues: map[model.InstanceID][]Completion{}, sending: map[model.InstanceID]bool{}}
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
	if o.sending[to] {
		return
	}
	o.sending[to] = true
	if o.idle == nil {
		o.idle = make(chan struct{})
	}
	go o.send(to)
}

// send delivers the queue of one witness and returns when it is empty.
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

// next removes a batch from the queue. If the queue is empty, it ends the sender
// and returns nil.
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
	delete(o.sending, to)
	if len(o.sending) == 0 {
		close(o.idle)
		o.idle = nil
	}
}

// deliver sends a batch. It drops the batch after completeAttempts failures.
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

// release subtracts the size of a batch that is no longer queued.
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
