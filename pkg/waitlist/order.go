package waitlist

import (
	"container/heap"
	"slices"
)

// Priorities is the number of priorities; lower ones count as the last.
const Priorities = 10

// flowKey identifies the requests among which the time until which they wait decides.
type flowKey struct {
	priority     int
	organisation string
}

// share is what an organisation got from the list at a priority: a tag in tokens, as in start-time fair queueing.
type share[T any] struct {
	key     flowKey
	tag     float64
	waiting []*Waiter[T] // by Until
}

func (s *share[T]) insert(w *Waiter[T]) {
	i, _ := slices.BinarySearchFunc(s.waiting, w, func(a, b *Waiter[T]) int {
		if c := a.Until.Compare(b.Until); c != 0 {
			return c
		}
		return int(a.sequence) - int(b.sequence)
	})
	s.waiting = slices.Insert(s.waiting, i, w)
}

// turnOf is a position in the list of a share while the order is computed.
type turnOf[T any] struct {
	share *share[T]
	tag   float64
	next  int
}

type turnHeap[T any] []turnOf[T]

func (h turnHeap[T]) Len() int { return len(h) }
func (h turnHeap[T]) Less(i, j int) bool {
	a, b := &h[i], &h[j]
	if a.share.key.priority != b.share.key.priority {
		return a.share.key.priority < b.share.key.priority
	}
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	x, y := a.share.waiting[a.next], b.share.waiting[b.next]
	if c := x.Until.Compare(y.Until); c != 0 {
		return c < 0
	}
	return x.sequence < y.sequence
}
func (h turnHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *turnHeap[T]) Push(x any)   { *h = append(*h, x.(turnOf[T])) }
func (h *turnHeap[T]) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Order returns the waiting requests, the next one first. The caller must not modify the result, which is valid until the next call that
// changes the list.
func (l *List[T]) Order() []*Waiter[T] {
	if l.ordered {
		return l.order
	}
	l.order, l.ordered = l.order[:0], true
	h := make(turnHeap[T], 0, len(l.shares))
	for _, s := range l.shares {
		if len(s.waiting) > 0 {
			h = append(h, turnOf[T]{share: s, tag: s.tag})
		}
	}
	heap.Init(&h)
	for len(h) > 0 {
		t := &h[0]
		w := t.share.waiting[t.next]
		l.order = append(l.order, w)
		t.tag += float64(w.Tokens)
		t.next++
		if t.next == len(t.share.waiting) {
			heap.Pop(&h)
		} else {
			heap.Fix(&h, 0)
		}
	}
	return l.order
}

// insert adds a waiter. An organisation that had none waiting starts at the tag served last, so that it does not make up for idle time.
func (l *List[T]) insert(w *Waiter[T]) {
	key := flowKey{w.Priority, w.Organisation}
	s := l.shares[key]
	if s == nil {
		l.dropIdleShares()
		s = &share[T]{key: key}
		l.shares[key] = s
	}
	if len(s.waiting) == 0 {
		s.tag = max(s.tag, l.served[w.Priority])
	}
	s.insert(w)
	w.waiting, l.ordered = true, false
	l.length++
}

// remove removes a waiter. It reports whether it was waiting.
func (l *List[T]) remove(w *Waiter[T]) bool {
	if !w.waiting {
		return false
	}
	s := l.shares[flowKey{w.Priority, w.Organisation}]
	s.waiting = slices.DeleteFunc(s.waiting, func(other *Waiter[T]) bool { return other == w })
	w.waiting, l.ordered = false, false
	l.length--
	return true
}

// dropIdleShares bounds the memory for organisations of which none waits. If one is dropped whose tag is ahead of what was served last,
// it may be served a little more than its share.
func (l *List[T]) dropIdleShares() {
	if len(l.shares) < 2*l.settings.MaxWaiting {
		return
	}
	for key, s := range l.shares {
		if len(s.waiting) == 0 {
			delete(l.shares, key)
		}
	}
}
