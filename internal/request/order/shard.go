package order

import (
	"context"
	"sync"
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/claim"
	"primrosecourse/pkg/wire"
)

const (
	// minRetryAfter is the shortest retry delay given to callers, so that retries do not add load to a platform or service
	// that just failed.
	minRetryAfter = time.Second
	// minBackoff and maxBackoff bound the back-off after a failed write or takeover, which doubles with each failure. New
	// orders are refused during the back-off.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxUnsentClaims limits the claims per shard recorded as certainly not sent. A claim that is not recorded but appears
	// in the log has an unknown outcome.
	maxUnsentClaims = 4096
	// maxPasses is the number of passes of the loop in execute, including those that wait for a takeover, after which
	// execute reports the loss of the shard to the caller instead of taking the shard over again. Otherwise two agents
	// that both consider themselves preferred would take it from each other repeatedly.
	maxPasses = 3
)

// pendingRecord is a record to be written by the next commit. execution is nil unless it is a Claimed record.
type pendingRecord struct {
	record    claim.Record
	execution *execution
}

// unsentClaim is a claim of this incarnation whose order was certainly not sent, but which is in the log or may still
// appear in it.
type unsentClaim struct {
	claimed claim.Record
	// queued is set while the Abandoned record of the claim is pending.
	queued bool
}

// shard is one claim log of a service. Only the goroutine of run writes the log.
type shard struct {
	owner *Owner
	// service is the name of the plain service whose orders are in the log.
	service string
	number  int
	// wake wakes the goroutine of run when there is work.
	wake chan struct{}

	mu sync.Mutex
	// activeAttempts is the number of calls of execute in progress.
	activeAttempts int
	owned          bool
	tail           claim.Tail
	index          *claim.Index
	// countedOrders is the number of orders in index that are included in Owner.indexedOrders.
	countedOrders int
	// sealed contains the sealed segments that are not deleted yet, in order.
	sealed       []claim.Sealed
	executions   map[claim.Key]*execution
	unsentClaims map[claim.Nonce]*unsentClaim
	pending      []pendingRecord
	// confirmedAt is when the last platform call that confirmed the ownership began.
	confirmedAt time.Time
	// retryAt is the end of the current back-off.
	retryAt time.Time
	backoff time.Duration
	// takeoverDone is not nil while a takeover is requested. It is closed when the request has been handled,
	// successfully or not.
	takeoverDone chan struct{}
}

func newShard(o *Owner, service string, number int) *shard {
	return &shard{
		owner:        o,
		service:      service,
		number:       number,
		wake:         make(chan struct{}, 1),
		index:        &claim.Index{},
		executions:   map[claim.Key]*execution{},
		unsentClaims: map[claim.Nonce]*unsentClaim{},
	}
}

// signal wakes the goroutine of run. It never blocks.
func (s *shard) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// execute handles one attempt to run an order.
func (s *shard) execute(ctx context.Context, r request) wire.Message {
	s.mu.Lock()
	if s.activeAttempts >= s.owner.QueueLength {
		s.mu.Unlock()
		return retryableRefusal(wire.ReasonBusy, "too many orders in progress", 0)
	}
	s.activeAttempts++
	defer func() {
		s.mu.Lock()
		s.activeAttempts--
		s.mu.Unlock()
	}()
	s.mu.Unlock()
	for pass := 1; ; pass++ {
		exec, entry, initiator, m := s.decide(r)
		switch {
		case m != nil:
			return m
		case exec != nil:
			m = s.awaitOutcome(ctx, exec, r.deadline, initiator)
			if refused, ok := m.(wire.Refused); ok && refused.Reason == wire.ReasonNotOwner && pass < maxPasses {
				continue // the shard was lost; the next pass takes it over again if this agent is still preferred
			}
			return m
		case entry != nil:
			return s.replay(ctx, r.key, *entry)
		}
		if m := s.awaitTakeover(ctx, r.deadline); m != nil {
			return m
		}
	}
}

// decide returns the execution to wait for, the entry to replay, or a refusal. It returns none of them if the shard
// must be taken over first. initiator reports whether this call created the execution.
func (s *shard) decide(r request) (exec *execution, entry *claim.Entry, initiator bool, m wire.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.owner.workCtx.Err() != nil {
		return nil, nil, false, refusal(wire.NotRun, wire.ReasonDraining, "the agent stops")
	}
	if preferred := s.owner.Preferred(s.number, r.call.Unavailable); preferred != s.owner.Name {
		return nil, nil, false, wire.Refused{Outcome: wire.NotRun, Reason: wire.ReasonNotOwner, Redirect: preferred,
			Detail: "another agent owns the shard"}
	}
	if !s.owned {
		if now.Before(s.retryAt) {
			return nil, nil, false, retryableRefusal(wire.ReasonPlatformDown, "the claim log cannot be read", s.retryAt.Sub(now))
		}
		return nil, nil, false, nil
	}
	exec = s.executions[r.key]
	switch s.index.Decide(r.key, r.digest, s.owner.Incarnation, exec != nil) {
	case claim.DoRefuseReused:
		return nil, nil, false, keyReusedRefusal()
	case claim.DoReplay:
		if exec == nil {
			e, _ := s.index.Get(r.key)
			return nil, &e, false, nil
		}
	case claim.DoUnknown:
		if !s.abandonUnsent(r.key) {
			return nil, nil, false, refusal(wire.OutcomeUnknown, wire.ReasonClaimedEarlier,
				"an earlier attempt claimed the order and its outcome is not known")
		}
	}
	if exec != nil {
		if exec.digest != r.digest {
			return nil, nil, false, keyReusedRefusal()
		}
		return exec, nil, false, nil
	}
	if m := s.admit(now); m != nil {
		return nil, nil, false, m
	}
	return s.claim(r, now), nil, true, nil
}

func keyReusedRefusal() wire.Message {
	return refusal(wire.NotRun, wire.ReasonKeyReused, "the key was used for another order")
}

// admit returns a refusal if no new claim can be accepted: during a back-off, or when the index or the queue is full.
// It returns nil otherwise.
func (s *shard) admit(now time.Time) wire.Message {
	if now.Before(s.retryAt) {
		return retryableRefusal(wire.ReasonPlatformDown, "the claim log cannot be written", s.retryAt.Sub(now))
	}
	if s.owner.indexedOrders.Load() >= int64(s.owner.MaxRecords) {
		return retryableRefusal(wire.ReasonBusy, "the claim log is full", time.Minute)
	}
	if len(s.executions) >= s.owner.QueueLength {
		return retryableRefusal(wire.ReasonBusy, "too many orders in progress", 0)
	}
	return nil
}

// claim is the step Claim: it creates an execution and queues its Claimed record.
func (s *shard) claim(r request, now time.Time) *execution {
	s.owner.addWork()
	exec := &execution{request: r, done: make(chan struct{})}
	exec.claimed = claim.NewClaim(r.key, r.digest, s.owner.nextNonce(), now)
	s.executions[r.key] = exec
	s.pending = append(s.pending, pendingRecord{record: exec.claimed, execution: exec})
	s.signal()
	return exec
}

// abandonUnsent looks up the claim of key in the index. If that claim is recorded as unsent, abandonUnsent queues its
// Abandoned record and returns true.
func (s *shard) abandonUnsent(key claim.Key) bool {
	e, _ := s.index.Get(key)
	u, ok := s.unsentClaims[e.Nonce]
	if ok {
		s.queueAbandoned(u)
	}
	return ok
}

// queueAbandoned is the step Abandon: it queues the Abandoned record of u unless it is already pending.
func (s *shard) queueAbandoned(u *unsentClaim) {
	if u.queued {
		return
	}
	u.queued = true
	s.pending = append(s.pending, pendingRecord{record: u.claimed.Abandon(time.Now())})
	s.signal()
}

// updateIndexedOrders updates Owner.indexedOrders after a change of the index.
func (s *shard) updateIndexedOrders() {
	n := s.index.Len()
	s.owner.indexedOrders.Add(int64(n - s.countedOrders))
	s.countedOrders = n
}

// recordUnsent records that the order of a claim was certainly not sent, if fewer than maxUnsentClaims are recorded.
func (s *shard) recordUnsent(claimed claim.Record) *unsentClaim {
	u := &unsentClaim{claimed: claimed}
	if len(s.unsentClaims) < maxUnsentClaims {
		s.unsentClaims[claimed.Nonce] = u
	}
	return u
}

// loseOwnership discards the state of the log and refuses the orders of pending claims. It is called when no write of
// this term can take effect any more, or when the state known to this owner may no longer match the log. newOwner is ""
// if unknown.
func (s *shard) loseOwnership(newOwner string) {
	s.owned, s.index, s.sealed, s.tail = false, &claim.Index{}, nil, claim.Tail{}
	s.updateIndexedOrders()
	unwritten := s.pending
	s.pending = nil
	for _, p := range unwritten {
		switch p.record.Kind {
		case claim.Claimed:
			s.recordUnsent(p.record)
			s.endUnsent(p.execution, wire.Refused{Outcome: wire.NotRun, Reason: wire.ReasonNotOwner, Redirect: newOwner,
				Detail: "another agent took the shard"})
		case claim.Completed:
			s.removeExecution(p.record)
			event.Info(s.owner.Log, event.OrderResultNotStored, "shard", s.number, "sequence", p.record.Nonce.Sequence)
		case claim.Abandoned:
			if u := s.unsentClaims[p.record.Nonce]; u != nil {
				u.queued = false
			}
		}
	}
	event.Info(s.owner.Log, event.OrderShardLost, "shard", s.number, "to", newOwner)
}

// endUnsent finishes an execution whose order was not sent, and prevents it from being sent later.
func (s *shard) endUnsent(exec *execution, m wire.Message) {
	exec.cancelled = true
	s.removeExecution(exec.claimed)
	exec.finish(s.owner, m)
}

// removeExecution removes the execution of the claim with the nonce of r. A newer execution of the same key stays.
func (s *shard) removeExecution(r claim.Record) {
	if exec := s.executions[r.Key]; exec != nil && exec.claimed.Nonce == r.Nonce {
		delete(s.executions, r.Key)
	}
}
