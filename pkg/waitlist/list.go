package waitlist

import (
	"math"
	"slices"
	"time"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Reason -output=reason_string.go

// Settings configure a list.
type Settings struct {
	// MaxWaiting bounds the requests that wait. It must be at least 1.
	MaxWaiting int
}

// Request describes a request that is to wait.
type Request struct {
	// Priority is 0 for the most urgent requests.
	Priority     int
	Organisation string
	// Tokens is the room that the request needs, at least 1.
	Tokens int
	// Until is the time until which it may wait.
	Until time.Time
	// Lane names what endpoints the request may go to. A request blocks only others with the same lane.
	Lane string
}

// Reason is why a request was refused.
type Reason uint8

// The reasons for a refusal.
const (
	// NotRefused means that the request was not refused.
	NotRefused Reason = iota
	// QueueFull means that the list is full of requests that go before this one.
	QueueFull
	// WaitTooLong means that the expected wait exceeds the time for which the request may wait.
	WaitTooLong
)

// Position is the state of the list for a request.
type Position struct {
	// Ahead is the number of waiting requests in the same lane that go before this one, AheadTokens the room that they need.
	Ahead, AheadTokens int
	// Rate is the rate at which room comes free for such requests, in tokens per second, 0 if it is unknown.
	Rate float64
	// Wait is the expected time until the request has room, 0 if it is unknown.
	Wait time.Duration
}

// Waiter is a request that waits, or waited.
type Waiter[T any] struct {
	Request
	Value T
	// Refused is why the list refused the request, and At the position for which it did, or where the request entered.
	Refused Reason
	At      Position

	sequence uint64
	waiting  bool
	// pass is the last pass in which the request had the turn, failures the number of turns in which it found no room.
	pass     uint64
	failures int
	hold     hold
}

// List holds the waiting requests of a service. Use New to create one.
type List[T any] struct {
	settings Settings
	flow     flow
	shares   map[flowKey]*share[T]
	// served is the tag that was served last at each priority.
	served   [Priorities]float64
	order    []*Waiter[T]
	ordered  bool
	length   int
	sequence uint64

	// pass is the number of the current pass, again whether room may have come free since it began, and shortest, by lane, the smallest
	// request that found no room in it.
	pass     uint64
	again    bool
	shortest map[string]int
	turn     *Waiter[T]
	turnFrom time.Time
}

// New returns an empty list.
func New[T any](s Settings) *List[T] {
	return &List[T]{settings: s, shares: map[flowKey]*share[T]{}, shortest: map[string]int{}, pass: 1}
}

// Len returns the number of requests that wait.
func (l *List[T]) Len() int { return l.length }

// Sent records that room is taken by a request, whether it waited or not.
func (l *List[T]) Sent(now time.Time, priority, tokens int) {
	l.flow.sent(now, clampPriority(priority), max(1, tokens))
}

// Ended records that the room of a request is free again, which was sent the given time ago.
func (l *List[T]) Ended(now time.Time, tokens int, took time.Duration) {
	l.flow.ended(now, max(1, tokens), took)
}

// SetRoom sets this process's share of the room at all endpoints in tokens, 0 if it is unknown.
func (l *List[T]) SetRoom(tokens float64) { l.flow.room = tokens }

func clampPriority(priority int) int { return min(max(0, priority), Priorities-1) }

// pushedBackMargin is the factor by which the expected wait of a request that waits already must exceed the time that is left to it. The
// rate varies by about as much.
const pushedBackMargin = 1.25

// Enter adds a request. It returns the requests that are refused for it, which may include the new one and no longer wait. If the new one
// may have the turn at once, it is refused for its expected wait only after it has found no room.
func (l *List[T]) Enter(now time.Time, r Request, value T) (w *Waiter[T], refused []*Waiter[T]) {
	r.Priority, r.Tokens = clampPriority(r.Priority), max(1, r.Tokens)
	l.sequence++
	w = &Waiter[T]{Request: r, Value: value, sequence: l.sequence}
	l.insert(w)
	w.At = l.Position(now, w)
	ahead := Position{}
	behind := false
	for i, other := range slices.Clone(l.Order()) {
		if other.Lane != w.Lane {
			continue
		}
		behind = behind || other == w
		if behind && !(other == w && l.mayTry(now, i, w)) {
			if at := l.position(now, other, ahead); l.tooLong(now, other, at) {
				refused = append(refused, l.refuse(other, WaitTooLong, at))
				continue
			}
		}
		ahead.Ahead++
		ahead.AheadTokens += other.Tokens
	}
	if l.length > l.settings.MaxWaiting {
		order := l.Order()
		last := order[len(order)-1]
		refused = append(refused, l.refuse(last, QueueFull, l.Position(now, last)))
	}
	return w, refused
}

// tooLong reports whether the expected wait of a request exceeds the time that is left to it, by pushedBackMargin if it has waited already.
func (l *List[T]) tooLong(now time.Time, w *Waiter[T], at Position) bool {
	margin := pushedBackMargin
	if w.sequence == l.sequence || w.failures == 1 {
		margin = 1
	}
	return at.Rate > 0 && float64(at.Wait) > margin*float64(w.Until.Sub(now))
}

// refuse removes a waiter. One that has the turn keeps it until it calls Failed, Done or Leave.
func (l *List[T]) refuse(w *Waiter[T], reason Reason, at Position) *Waiter[T] {
	w.Refused, w.At = reason, at
	l.remove(w)
	return w
}

// maxWait bounds the expected wait, which is without bound if nothing comes free.
const maxWait = time.Hour

// position completes the position of a request by what is ahead of it.
func (l *List[T]) position(now time.Time, w *Waiter[T], p Position) Position {
	p.Rate = l.flow.rateFor(now, w.Priority)
	if p.Rate > 0 {
		p.Wait = time.Duration(math.Min(float64(maxWait), float64(p.AheadTokens+w.Tokens)/p.Rate*float64(time.Second)))
	}
	return p
}

// Position returns the current position of a waiter.
func (l *List[T]) Position(now time.Time, w *Waiter[T]) (p Position) {
	for _, other := range l.Order() {
		if other == w {
			break
		}
		if other.Lane == w.Lane {
			p.Ahead++
			p.AheadTokens += other.Tokens
		}
	}
	return l.position(now, w, p)
}

// Leave removes a waiter that gives up, and takes the turn from it. It may be called for one that no longer waits.
func (l *List[T]) Leave(w *Waiter[T]) {
	l.remove(w)
	l.Done(w)
}

// Clear removes all waiters and returns them in their order.
func (l *List[T]) Clear() []*Waiter[T] {
	all := slices.Clone(l.Order())
	for _, w := range all {
		l.Leave(w)
	}
	return all
}
