package waitlist

import (
	"time"
)

const (
	// turnTime is the time after which a request loses the turn, so that one whose goroutine is late does not block the others.
	turnTime = 50 * time.Millisecond
	// holdTime is how long a request that is first holds an endpoint and bounds what overtakes it, restTime how long it does not
	// afterwards. An engine frees the room of a long prompt within some 100 ms. Short prompts have about a second to begin.
	holdTime = 500 * time.Millisecond
	restTime = 250 * time.Millisecond
	// sameShare and lowerShare are what requests of the same and of lower priority may take in tokens during a hold, in relation to the
	// size of the request that they overtake.
	sameShare  = 1.0
	lowerShare = 0.25
)

// hold is what a request that is first in its lane keeps from the others.
type hold struct {
	since time.Time // zero if there was no hold
	// endpoint is the endpoint that is next to have room, overtaken the tokens that were placed past the request.
	endpoint  string
	overtaken float64
}

// Failure is how a request that had the turn found no room.
type Failure struct {
	// Closest is the endpoint that is next to have room for it, empty if that is unknown.
	Closest string
	// Any is set if no other request would have been admitted either, for a reason other than its size.
	Any bool
}

// Wake records that room may have come free: all may have the turn again.
func (l *List[T]) Wake(now time.Time) {
	if l.turn != nil && now.Sub(l.turnFrom) < turnTime {
		l.again = true
		return
	}
	l.nextPass()
}

func (l *List[T]) nextPass() {
	l.pass++
	l.again = false
	clear(l.shortest)
}

// Next gives the turn to the next request that may find room, unless another one has it. It returns nil if there is none.
func (l *List[T]) Next(now time.Time) *Waiter[T] {
	if l.turn != nil && now.Sub(l.turnFrom) < turnTime {
		return nil
	}
	l.turn = nil
	for {
		if w := l.candidate(now); w != nil {
			w.pass = l.pass
			l.turn, l.turnFrom = w, now
			return w
		}
		if !l.again {
			return nil
		}
		l.nextPass()
	}
}

// candidate returns the first request that has not had the turn in this pass and may find room by what is known of those that had it.
func (l *List[T]) candidate(now time.Time) *Waiter[T] {
	for i, w := range l.Order() {
		if w.pass == l.pass {
			continue
		}
		if l.mayTry(now, i, w) {
			return w
		}
	}
	return nil
}

// mayTry reports whether the request at a position of the order may find room.
func (l *List[T]) mayTry(now time.Time, position int, w *Waiter[T]) bool {
	shortest, failed := l.shortest[w.Lane]
	return position == 0 || !failed || (w.Tokens < shortest && l.mayOvertake(now, w))
}

// head returns the first request of a lane that is not resting, nil if there is none.
func (l *List[T]) head(now time.Time, lane string) *Waiter[T] {
	for _, w := range l.Order() {
		if w.Lane == lane && !w.resting(now) {
			return w
		}
	}
	return nil
}

func (w *Waiter[T]) resting(now time.Time) bool {
	if w.hold.since.IsZero() || now.Sub(w.hold.since) < holdTime {
		return false
	}
	if now.Sub(w.hold.since) < holdTime+restTime {
		return true
	}
	w.hold = hold{}
	return false
}

// mayOvertake reports whether a request may be placed before the head of its lane.
func (l *List[T]) mayOvertake(now time.Time, w *Waiter[T]) bool {
	head := l.head(now, w.Lane)
	if head == nil || head == w || head.hold.since.IsZero() {
		return true
	}
	limit := sameShare
	if w.Priority > head.Priority {
		limit = lowerShare
	}
	return head.hold.overtaken+float64(w.Tokens) <= limit*float64(head.Tokens)
}

// HasTurn reports whether a waiter has the turn.
func (l *List[T]) HasTurn(w *Waiter[T]) bool { return l.turn == w }

// Reserved returns the endpoints that a waiter must not use, since requests before it hold them.
func (l *List[T]) Reserved(now time.Time, w *Waiter[T]) (endpoints []string) {
	for _, other := range l.Order() {
		if other == w {
			break
		}
		if other.hold.endpoint != "" && !other.resting(now) {
			endpoints = append(endpoints, other.hold.endpoint)
		}
	}
	return endpoints
}

// Failed records that a waiter that had the turn found no room, and takes the turn from it. It reports whether the waiter is refused and no
// longer waits, since its expected wait exceeds the time that is left to it.
func (l *List[T]) Failed(now time.Time, w *Waiter[T], f Failure) (refused bool) {
	l.Done(w)
	if !w.waiting {
		return w.Refused != NotRefused
	}
	tokens := w.Tokens
	if f.Any {
		tokens = 0
	}
	if shortest, failed := l.shortest[w.Lane]; !failed || tokens < shortest {
		l.shortest[w.Lane] = tokens
	}
	w.failures++
	if at := l.Position(now, w); l.tooLong(now, w, at) {
		l.refuse(w, WaitTooLong, at)
		return true
	}
	if l.head(now, w.Lane) != w {
		return false
	}
	if w.hold.since.IsZero() {
		w.hold.since = now
	}
	if w.hold.endpoint == "" {
		w.hold.endpoint = f.Closest
	}
	return false
}

// Placed removes a waiter that found room. It keeps the turn until Done, so that the next one does not choose the same room. It reports whether
// the waiter still waited.
func (l *List[T]) Placed(now time.Time, w *Waiter[T]) bool {
	head := l.head(now, w.Lane)
	if !l.remove(w) {
		return false
	}
	if head != nil && head != w {
		head.hold.overtaken += float64(w.Tokens)
	}
	s := l.shares[flowKey{w.Priority, w.Organisation}]
	l.served[w.Priority] = max(l.served[w.Priority], s.tag)
	s.tag += float64(w.Tokens)
	return true
}

// Done takes the turn from a waiter, if it has it.
func (l *List[T]) Done(w *Waiter[T]) {
	if l.turn == w {
		l.turn = nil
	}
}
