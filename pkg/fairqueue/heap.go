package fairqueue

// servedBefore reports whether i is served before j, where both belong to one organisation.
func (i *Item[T]) servedBefore(j *Item[T]) bool {
	if i.Priority != j.Priority {
		return i.Priority > j.Priority
	}
	if !i.sortTime.Equal(j.sortTime) {
		return i.sortTime.Before(j.sortTime)
	}
	return i.sequence < j.sequence
}

// itemHeap implements heap.Interface over the queued items of one organisation.
type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int           { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool { return h[i].servedBefore(h[j]) }
func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.heapIndex = len(*h)
	*h = append(*h, item)
}

func (h *itemHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	item.heapIndex = -1
	return item
}

// flowHeap implements heap.Interface over the flows that have queued items.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

// Less breaks ties by name, so that the order does not depend on earlier heap operations.
func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].organisation < h[j].organisation
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.heapIndex = -1
	return f
}
