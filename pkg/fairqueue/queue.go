package fairqueue

import (
	"container/heap"
	"fmt"
	"time"
)

// Settings describe a queue. Zero values are replaced by the defaults.
type Settings struct {
	// Length bounds the number of items. Default 64.
	Length int
	// ShortCost is the cost up to which an item is short. Default 2048, two cache blocks of tokens.
	ShortCost float64
	// Ageing is how much earlier a long item must have arrived to go before a short one. Default 2 s.
	Ageing time.Duration
	// Share returns the weight of an organisation. Nil, and results of 0 or less, stand for 1.
	Share func(organisation string) float64
}

// Request describes a new item.
type Request[T any] struct {
	Organisation string
	// Cost is the work that the item brings, in any unit that is the same for all; 0 counts as 1.
	Cost     float64
	Priority int
	// Deadline is when the item is no longer worth serving; zero for never.
	Deadline time.Time
	Value    T
}

// Item is a request in the queue.
type Item[T any] struct {
	Request[T]
	// Queued is when it was pushed.
	Queued time.Time

	key    time.Time // Queued, later by Ageing for long items
	short  bool
	number uint64
	index  int // in the heap of its flow, -1 when it left
}

// EnginePriority is the priority under which an engine should compute the item: that of the request, and within it a short
// item before a long one. The queue orders only what an engine has not taken yet; without it, a long prompt that is computed
// in the batch holds up all short ones behind it for seconds.
func (i *Item[T]) EnginePriority() int {
	if i.short {
		return 2*i.Priority + 1
	}
	return 2 * i.Priority
}

// FullError tells that the queue has no room.
type FullError struct {
	// RetryAfter is the time in which the present queue is expected to be served.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FullError) Error() string { return fmt.Sprintf("queue is full, retry after %v", e.RetryAfter) }

// The bounds of RetryAfter.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// flow is an organisation with items in the queue, or one whose tag is still ahead of the virtual time.
type flow[T any] struct {
	organisation string
	items        itemHeap[T]
	tag          float64
	index        int // in the heap of flows, -1 while it has no items
}

// Queue is the queue.
type Queue[T any] struct {
	settings Settings
	flows    map[string]*flow[T]
	backlog  flowHeap[T] // flows with items
	virtual  float64     // tag served last
	length   int
	cost     float64
	number   uint64
	// interval is the smoothed time between two pops.
	interval time.Duration
	popped   time.Time
}

// New returns an empty queue.
func New[T any](s Settings) *Queue[T] {
	if s.Length <= 0 {
		s.Length = 64
	}
	if s.ShortCost <= 0 {
		s.ShortCost = 2048
	}
	if s.Ageing <= 0 {
		s.Ageing = 2 * time.Second
	}
	return &Queue[T]{settings: s, flows: map[string]*flow[T]{}}
}

// Len returns the number of items, Cost the sum of their costs.
func (q *Queue[T]) Len() int { return q.length }

// Cost returns the sum of the costs of the items.
func (q *Queue[T]) Cost() float64 { return q.cost }

// SetLength changes the bound. Items over a lower one stay.
func (q *Queue[T]) SetLength(n int) {
	if n > 0 {
		q.settings.Length = n
	}
}

// Push adds a request. The error is *FullError if there is no room for it. An item that lost its place to it is
// returned as evicted and must be refused.
func (q *Queue[T]) Push(now time.Time, r Request[T]) (item, evicted *Item[T], err error) {
	if r.Cost <= 0 {
		r.Cost = 1
	}
	if q.length >= q.settings.Length {
		if evicted = q.victim(r.Organisation); evicted == nil {
			return nil, nil, &FullError{RetryAfter: q.RetryAfter()}
		}
		q.Remove(evicted)
	}
	q.number++
	item = &Item[T]{Request: r, Queued: now, key: now, short: r.Cost <= q.settings.ShortCost, number: q.number}
	if !item.short {
		item.key = now.Add(q.settings.Ageing)
	}
	f := q.flows[r.Organisation]
	if f == nil {
		f = &flow[T]{organisation: r.Organisation, tag: q.virtual, index: -1}
		q.flows[r.Organisation] = f
	}
	heap.Push(&f.items, item)
	if f.index < 0 {
		f.tag = max(f.tag, q.virtual)
		heap.Push(&q.backlog, f)
	}
	q.length++
	q.cost += r.Cost
	return item, evicted, nil
}

// Pop removes the next item, nil if there is none. Items found past their deadline are removed and returned as expired.
func (q *Queue[T]) Pop(now time.Time) (next *Item[T], expired []*Item[T]) {
	for len(q.backlog) > 0 {
		f := q.backlog[0]
		item := f.items[0]
		if !item.Deadline.IsZero() && !item.Deadline.After(now) {
			q.Remove(item)
			expired = append(expired, item)
			continue
		}
		q.virtual = f.tag
		f.tag += item.Cost / q.share(f.organisation)
		heap.Fix(&q.backlog, f.index)
		q.Remove(item)
		q.measure(now)
		return item, expired
	}
	return nil, expired
}

// Remove takes an item out, for example after its caller left. It reports whether the item was in the queue.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	f := q.flows[item.Organisation]
	if f == nil || item.index < 0 || item.index >= len(f.items) || f.items[item.index] != item {
		return false
	}
	heap.Remove(&f.items, item.index)
	if len(f.items) == 0 {
		heap.Remove(&q.backlog, f.index)
		q.forget()
	}
	q.length--
	q.cost -= item.Cost
	return true
}

// Filter removes the items that keep does not want and returns them.
func (q *Queue[T]) Filter(keep func(*Item[T]) bool) (removed []*Item[T]) {
	for _, f := range q.backlog {
		for _, item := range f.items {
			if !keep(item) {
				removed = append(removed, item)
			}
		}
	}
	for _, item := range removed {
		q.Remove(item)
	}
	return removed
}

// RetryAfter estimates the time in which the present queue is served.
func (q *Queue[T]) RetryAfter() time.Duration {
	return min(max(time.Duration(q.length)*q.interval, minRetryAfter), maxRetryAfter)
}

// forget drops idle flows whose tag gives no information any more, so that the table of flows stays bounded.
func (q *Queue[T]) forget() {
	if len(q.flows) <= 2*q.settings.Length {
		return
	}
	for name, f := range q.flows {
		if f.index < 0 && (f.tag <= q.virtual || len(q.backlog) == 0) {
			delete(q.flows, name)
		}
	}
}

// victim returns the item that makes room for one of organisation, nil if none should.
func (q *Queue[T]) victim(organisation string) *Item[T] {
	own := 1.0
	if f := q.flows[organisation]; f != nil {
		own += float64(len(f.items))
	}
	own /= q.share(organisation)
	var worst *flow[T]
	var most float64
	for _, f := range q.backlog {
		held := float64(len(f.items)) / q.share(f.organisation)
		if held > most || held == most && f.organisation < worst.organisation {
			worst, most = f, held
		}
	}
	if worst == nil || worst.organisation == organisation || own >= most {
		return nil
	}
	last := worst.items[0]
	for _, item := range worst.items {
		if last.before(item) {
			last = item
		}
	}
	return last
}

func (q *Queue[T]) share(organisation string) float64 {
	if q.settings.Share != nil {
		if s := q.settings.Share(organisation); s > 0 {
			return s
		}
	}
	return 1
}

// measure smooths over about eight pops, enough to follow a change of load within a second at busy endpoints.
func (q *Queue[T]) measure(now time.Time) {
	if !q.popped.IsZero() {
		q.interval += (min(now.Sub(q.popped), maxRetryAfter) - q.interval) / 8
	}
	q.popped = now
}
