package fairqueue

import (
	"container/heap"
	"fmt"
	"time"
)

// Settings configure a queue. Values of 0 or less are replaced by the defaults.
type Settings struct {
	// Length is the maximum number of items. Default 64.
	Length int
	// ShortCost is the cost up to which an item counts as short. Default 2048, the tokens of two cache blocks.
	ShortCost float64
	// Ageing is how much earlier than a short item a long one of the same priority must have arrived to be served first.
	// Default 2 s.
	Ageing time.Duration
	// Share returns the weight of an organisation. A nil function and results of 0 or less mean a weight of 1.
	Share func(organisation string) float64
}

// Request describes a new item.
type Request[T any] struct {
	Organisation string
	// Cost is the work that the item causes, in a unit common to all items; 0 or less counts as 1.
	Cost     float64
	Priority int
	// Deadline is the time from which on the item is not served; the zero time means that there is none.
	Deadline time.Time
	Value    T
}

// Item is a request in the queue.
type Item[T any] struct {
	Request[T]
	// Queued is the time at which the item was pushed.
	Queued time.Time

	sortTime  time.Time // Queued for a short item, Queued plus Ageing for a long one
	short     bool
	sequence  uint64 // number of the push, breaks ties between equal sort times
	heapIndex int    // in the heap of its flow; -1 once the item is removed
}

// EnginePriority returns the priority at which an engine should run the item: higher for a higher priority of the
// request and, within one priority, higher for a short item than for a long one. The queue orders only items that no
// engine has accepted yet. Without a priority in the engine, a long prompt in the batch of the engine causes head-of-line
// blocking of the short ones for seconds.
func (i *Item[T]) EnginePriority() int {
	if i.short {
		return 2*i.Priority + 1
	}
	return 2 * i.Priority
}

// FullError is returned when the queue has no room for an item.
type FullError struct {
	// RetryAfter is the expected time until all items now in the queue are served.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FullError) Error() string { return fmt.Sprintf("queue is full, retry after %v", e.RetryAfter) }

// Limits of RetryAfter.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// flow is the state of an organisation. It outlives the queued items of the organisation, because its tag may still be ahead
// of the virtual time, until dropIdleFlows deletes it.
type flow[T any] struct {
	organisation string
	items        itemHeap[T]
	tag          float64
	heapIndex    int // in the heap of flows; -1 while the flow has no items
}

// Queue is a bounded fair queue. Use New to create one.
type Queue[T any] struct {
	settings    Settings
	flows       map[string]*flow[T]
	backlog     flowHeap[T] // flows with items
	virtualTime float64     // tag of the flow served last, at the time it was served
	length      int
	cost        float64
	sequence    uint64 // of the item pushed last
	// popInterval is the smoothed time between two calls of Pop that returned an item.
	popInterval time.Duration
	lastPop     time.Time
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

// Len returns the number of items in the queue.
func (q *Queue[T]) Len() int { return q.length }

// Cost returns the sum of the costs of the items in the queue.
func (q *Queue[T]) Cost() float64 { return q.cost }

// SetLength changes the maximum number of items. Items already queued stay, even beyond a lower maximum. A value of 0 or
// less is ignored.
func (q *Queue[T]) SetLength(n int) {
	if n > 0 {
		q.settings.Length = n
	}
}

// Push adds a request. The error is a *FullError if there is no room for it. An item that was removed to make room is
// returned as evicted; the caller must refuse it.
func (q *Queue[T]) Push(now time.Time, r Request[T]) (item, evicted *Item[T], err error) {
	if r.Cost <= 0 {
		r.Cost = 1
	}
	if q.length >= q.settings.Length {
		if evicted = q.evictionCandidate(r.Organisation); evicted == nil {
			return nil, nil, &FullError{RetryAfter: q.RetryAfter()}
		}
		q.Remove(evicted)
	}
	q.sequence++
	item = &Item[T]{Request: r, Queued: now, sortTime: now, short: r.Cost <= q.settings.ShortCost, sequence: q.sequence}
	if !item.short {
		item.sortTime = now.Add(q.settings.Ageing)
	}
	f := q.flows[r.Organisation]
	if f == nil {
		f = &flow[T]{organisation: r.Organisation, tag: q.virtualTime, heapIndex: -1}
		q.flows[r.Organisation] = f
	}
	heap.Push(&f.items, item)
	if f.heapIndex < 0 {
		f.tag = max(f.tag, q.virtualTime)
		heap.Push(&q.backlog, f)
	}
	q.length++
	q.cost += r.Cost
	return item, evicted, nil
}

// Pop removes and returns the next item, or nil if there is none. Items found past their deadline on the way are also
// removed and returned as expired.
func (q *Queue[T]) Pop(now time.Time) (next *Item[T], expired []*Item[T]) {
	for len(q.backlog) > 0 {
		f := q.backlog[0]
		item := f.items[0]
		if !item.Deadline.IsZero() && !item.Deadline.After(now) {
			q.Remove(item)
			expired = append(expired, item)
			continue
		}
		q.virtualTime = f.tag
		f.tag += item.Cost / q.share(f.organisation)
		heap.Fix(&q.backlog, f.heapIndex)
		q.Remove(item)
		q.updatePopInterval(now)
		return item, expired
	}
	return nil, expired
}

// Remove removes an item, for example after its caller disconnected. It reports whether the item was in the queue.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	f := q.flows[item.Organisation]
	if f == nil || item.heapIndex < 0 || item.heapIndex >= len(f.items) || f.items[item.heapIndex] != item {
		return false
	}
	heap.Remove(&f.items, item.heapIndex)
	if len(f.items) == 0 {
		heap.Remove(&q.backlog, f.heapIndex)
		q.dropIdleFlows()
	}
	q.length--
	q.cost -= item.Cost
	return true
}

// Filter removes and returns the items for which keep returns false.
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

// RetryAfter estimates the time until all items now in the queue are served, limited to 100 ms to 10 s.
func (q *Queue[T]) RetryAfter() time.Duration {
	return min(max(time.Duration(q.length)*q.popInterval, minRetryAfter), maxRetryAfter)
}

// dropIdleFlows prevents the flows of former callers from accumulating: if there are more flows than twice the maximum
// number of items, it deletes the idle flows whose tag the virtual time has reached, or all idle flows if nothing is queued.
// In the second case, an organisation that has just been served may start at a lower tag than its own.
func (q *Queue[T]) dropIdleFlows() {
	if len(q.flows) <= 2*q.settings.Length {
		return
	}
	for organisation, f := range q.flows {
		if f.heapIndex < 0 && (f.tag <= q.virtualTime || len(q.backlog) == 0) {
			delete(q.flows, organisation)
		}
	}
}

// evictionCandidate returns the item to evict for a new item of organisation, or nil if the new item is to be refused.
func (q *Queue[T]) evictionCandidate(organisation string) *Item[T] {
	ownPerShare := 1.0
	if f := q.flows[organisation]; f != nil {
		ownPerShare += float64(len(f.items))
	}
	ownPerShare /= q.share(organisation)
	var largest *flow[T]
	var highest float64
	for _, f := range q.backlog {
		itemsPerShare := float64(len(f.items)) / q.share(f.organisation)
		if itemsPerShare > highest || itemsPerShare == highest && f.organisation < largest.organisation {
			largest, highest = f, itemsPerShare
		}
	}
	if largest == nil || largest.organisation == organisation || ownPerShare >= highest {
		return nil
	}
	last := largest.items[0]
	for _, item := range largest.items {
		if last.servedBefore(item) {
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

// updatePopInterval averages over about eight pops, which follows a change of load within a second at busy endpoints.
func (q *Queue[T]) updatePopInterval(now time.Time) {
	if !q.lastPop.IsZero() {
		q.popInterval += (min(now.Sub(q.lastPop), maxRetryAfter) - q.popInterval) / 8
	}
	q.lastPop = now
}
