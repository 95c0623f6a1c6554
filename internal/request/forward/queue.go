package forward

import (
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/waitlist"
)

// roomQueue is the queue of the requests to one service that wait for room at its endpoints.
type roomQueue struct {
	handler *Handler
	service string

	mu   sync.Mutex
	list *waitlist.List[*roomWaiter]
	// poll starts a pass over the waiting requests now and then. It is nil while there are none.
	poll *time.Timer
	// configuration is that of the service when the waiting requests entered.
	configuration *site.Service
}

// roomWaiter is a request in a roomQueue.
type roomWaiter struct {
	// wake receives a value when the request has the turn or no longer waits, unless an earlier value has not been read yet.
	wake chan struct{}
	// removed is set if the queue was cleared, so that the request must enter again or wait without it.
	removed bool
}

type waiter = waitlist.Waiter[*roomWaiter]

// roomSeat is the turn of a request in a queue that has chosen an endpoint.
type roomSeat struct {
	queue  *roomQueue
	waiter *waiter
}

// maxRoomQueues is the number of queues from which on those of services that are no longer configured are dropped.
const maxRoomQueues = 256

// roomQueue returns the queue of a service, nil if requests wait without one.
func (h *Handler) roomQueue(service string) *roomQueue {
	if h.MaxWaiting <= 0 {
		return nil
	}
	h.queuesMu.Lock()
	defer h.queuesMu.Unlock()
	q := h.queues[service]
	if q != nil {
		return q
	}
	if h.queues == nil {
		h.queues = map[string]*roomQueue{}
	}
	if len(h.queues) >= maxRoomQueues {
		h.dropQueues()
	}
	q = &roomQueue{handler: h, service: service, list: waitlist.New[*roomWaiter](waitlist.Settings{MaxWaiting: h.MaxWaiting})}
	h.queues[service] = q
	return q
}

// dropQueues drops the queues of services that are not configured. Requests that still wait there end by themselves. The caller must hold
// queuesMu.
func (h *Handler) dropQueues() {
	c := h.View.Current().Configuration
	for service := range h.queues {
		if c == nil || c.Services[service] == nil {
			delete(h.queues, service)
		}
	}
}

// clearQueues makes all waiting requests leave their queues.
func (h *Handler) clearQueues() {
	h.queuesMu.Lock()
	queues := make([]*roomQueue, 0, len(h.queues))
	for _, q := range h.queues {
		queues = append(queues, q)
	}
	h.queuesMu.Unlock()
	for _, q := range queues {
		q.mu.Lock()
		q.clear()
		q.mu.Unlock()
	}
}

// clear makes all requests leave. The caller must hold mu.
func (q *roomQueue) clear() {
	for _, w := range q.list.Clear() {
		w.Value.removed = true
		w.Value.signal()
	}
	q.changed()
}

func (w *roomWaiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// advance gives the turn to the next request, unless another one has it. The caller must hold mu.
func (q *roomQueue) advance(now time.Time) {
	if w := q.list.Next(now); w != nil {
		w.Value.signal()
	}
}

// changed starts or stops the poll and records the number of waiting requests. The caller must hold mu.
func (q *roomQueue) changed() {
	n := q.list.Len()
	switch {
	case n > 0 && q.poll == nil:
		q.poll = time.AfterFunc(pollDelay(), q.look)
	case n == 0 && q.poll != nil:
		q.poll.Stop()
		q.poll = nil
	}
	if q.handler.Metrics != nil {
		metrics.GetOrRegisterGauge("Queue.Waiting."+q.service, q.handler.Metrics).Update(int64(n))
	}
}

// pollDelay returns a random time around roomPollInterval.
func pollDelay() time.Duration { return roomPollInterval/2 + rand.N(roomPollInterval) }

// look starts a pass, since other gateways may have freed room. If the configuration of the service has changed or the gateway stops, all
// requests leave.
func (q *roomQueue) look() {
	now, configuration := time.Now(), q.handler.View.Current().Configuration
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.poll == nil {
		return
	}
	if q.handler.stopping.Load() != nil {
		q.clear()
		return
	}
	if service := serviceOf(configuration, q.service); service != q.configuration && !reflect.DeepEqual(service, q.configuration) {
		q.clear()
		return
	}
	q.list.Wake(now)
	q.advance(now)
	q.poll.Reset(pollDelay())
}

func serviceOf(c *site.Configuration, name string) *site.Service {
	if c == nil {
		return nil
	}
	return c.Services[name]
}

// busy reports whether requests wait.
func (q *roomQueue) busy() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.Len() > 0
}

// enter adds a request that was received with the given configuration of the service. room is this gateway's share of the room at all endpoints.
func (q *roomQueue) enter(now time.Time, r waitlist.Request, configuration *site.Service, room float64) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.list.Len() == 0 {
		q.configuration = configuration
	}
	q.list.SetRoom(room)
	w, refused := q.list.Enter(now, r, &roomWaiter{wake: make(chan struct{}, 1)})
	for _, other := range refused {
		other.Value.signal()
	}
	q.advance(now)
	q.changed()
	return w
}

// leave removes a request and returns its last position.
func (q *roomQueue) leave(now time.Time, w *waiter) waitlist.Position {
	q.mu.Lock()
	defer q.mu.Unlock()
	at := w.At
	if w.Refused == waitlist.NotRefused && !w.Value.removed {
		at = q.list.Position(now, w)
	}
	q.list.Leave(w)
	q.advance(now)
	q.changed()
	return at
}

// turn returns what a woken request is to do: to choose an endpoint other than those reserved, or to leave.
func (q *roomQueue) turn(now time.Time, w *waiter) (choose, leave bool, reserved []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.Refused != waitlist.NotRefused || w.Value.removed {
		return false, true, nil
	}
	if !q.list.HasTurn(w) {
		return false, false, nil
	}
	return true, false, q.list.Reserved(now, w)
}

// failed records that a request found no room.
func (q *roomQueue) failed(now time.Time, w *waiter, refusal *placement.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.list.Failed(now, w, waitlist.Failure{Closest: refusal.Closest, Any: refusal.Reason == placement.RateLimited}) {
		w.Value.signal()
	}
	q.advance(now)
	q.changed()
}

// placed removes a request that found room. It keeps the turn until pass.
func (q *roomQueue) placed(now time.Time, w *waiter) *roomSeat {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.Placed(now, w)
	q.changed()
	return &roomSeat{queue: q, waiter: w}
}

// passTurn gives the turn of a request that waited to the next one. It must be called once the placement table counts the request, or if the
// request is not sent.
func (req *request) passTurn() {
	seat := req.seat
	if seat == nil {
		return
	}
	req.seat = nil
	seat.queue.mu.Lock()
	defer seat.queue.mu.Unlock()
	seat.queue.list.Done(seat.waiter)
	seat.queue.advance(time.Now())
}

// recordRoomTaken records that the request takes room at an endpoint.
func (req *request) recordRoomTaken(now time.Time) {
	if q := req.handler.roomQueue(req.service); q != nil {
		q.mu.Lock()
		q.list.Sent(now, req.priority(), req.meta.PromptTokens)
		q.mu.Unlock()
	}
	req.passTurn()
}

// recordRoomFreed records that the room that an attempt took is free again, and lets the next request try.
func (a *attempt) recordRoomFreed(now time.Time) {
	q := a.req.handler.roomQueue(a.req.service)
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.Ended(now, a.placed.Tokens, now.Sub(a.started))
	if q.list.Len() > 0 {
		q.list.Wake(now)
		q.advance(now)
	}
}
