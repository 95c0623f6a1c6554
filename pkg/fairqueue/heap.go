package fairqueue

// before reports the order within an organisation.
func (i *Item[T]) before(j *Item[T]) bool {
	if i.Priority != j.Priority {
		return i.Priority > j.Priority
	}
	if !i.key.Equal(j.key) {
		return i.key.Before(j.key)
	}
	return i.number < j.number
}

// itemHeap implements heap.Interface over the items of an organisation.
type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int           { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }
func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.index = len(*h)
	*h = append(*h, item)
}

func (h *itemHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	item.index = -1
	return item
}

// flowHeap implements heap.Interface over the organisations with items.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

// Less breaks ties by name, so that the order does not depend on the history of the heap.
func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].organisation < h[j].organisation
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = -1
	return f
}
