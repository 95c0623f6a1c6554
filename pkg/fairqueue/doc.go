// Package fairqueue is a bounded queue that shares a server fairly among organisations.
//
// Among organisations it is start-time fair queueing: each has a tag, the organisation with the lowest tag is served
// next, and its tag then grows by the cost of the item over its share. An organisation that was idle starts at the tag
// served last, so that it neither saves up service nor waits behind the backlog of others.
//
// Within an organisation a higher priority goes first. Within a priority a short item goes before a long one, unless the
// long one arrived more than Ageing earlier, so that long items are not starved.
//
// When the queue is full, an item of an organisation that holds less than its share takes the place of the last item
// of the organisation that is furthest above its share; otherwise it is refused with the time after which to retry.
// Items past their deadline are not served. The package reads no clock and is not safe for concurrent use.
//
// # Usage
//
//	q := fairqueue.New[*request](fairqueue.Settings{Length: 64})
//	item, evicted, err := q.Push(now, fairqueue.Request[*request]{Organisation: "Org1", Cost: 1200, Value: r})
//	next, expired := q.Pop(now)
package fairqueue
