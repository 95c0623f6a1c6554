package main

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is an event queue with a virtual time, counted from epoch. Events of the same time run in the order in which they
// were added, so that a run depends on its input only.
type clock struct {
	now    time.Duration
	number uint64 // of the last event added
	events eventHeap
}

type clockEvent struct {
	at     time.Duration
	number uint64
	do     func()
}

// time returns the virtual time as a time.Time, which the decision packages expect.
func (c *clock) time() time.Time { return epoch.Add(c.now) }

// after calls do once d has passed.
func (c *clock) after(d time.Duration, do func()) { c.at(c.now+max(0, d), do) }

// at calls do at the time t.
func (c *clock) at(t time.Duration, do func()) {
	c.number++
	heap.Push(&c.events, clockEvent{t, c.number, do})
}

// every calls do after each interval, until end.
func (c *clock) every(interval, end time.Duration, do func()) {
	if c.now+interval <= end {
		c.after(interval, func() {
			do()
			c.every(interval, end, do)
		})
	}
}

// run executes events until none is left.
func (c *clock) run() {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(clockEvent)
		c.now = e.at
		e.do()
	}
}

type eventHeap []clockEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(clockEvent)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = clockEvent{}
	*h = (*h)[:last]
	return e
}
