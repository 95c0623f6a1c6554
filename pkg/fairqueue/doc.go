// Package fairqueue is a bounded queue that shares a server fairly among organisations.
//
// Among organisations, the queue uses start-time fair queueing: each organisation has a tag, the one with the lowest tag
// is served next, and its tag then grows by the cost of the item divided by its share. An organisation that was idle
// starts at its own tag or at the tag served last, whichever is higher, so that it neither accumulates service nor waits
// behind the backlog of others.
//
// Within an organisation, items of a higher priority are served first. Within a priority, a short item is served before
// a long one unless the long one arrived earlier by Ageing or more, which prevents starvation of long items.
//
// When the queue is full, a new item evicts the last item of the organisation with the most queued items per share if its
// own organisation, the new item included, has fewer per share; otherwise the new item is refused with the time after which
// to retry.
// Items past their deadline are not served. The package reads no clock and is not safe for concurrent use.
//
// # Usage
//
//	q := fairqueue.New[*request](fairqueue.Settings{Length: 64})
//	item, evicted, err := q.Push(now, fairqueue.Request[*request]{Organisation: "Org1", Cost: 1200, Value: r})
//	next, expired := q.Pop(now)
package fairqueue
