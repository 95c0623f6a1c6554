package agent

import (
	"slices"
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/wire"
)

const (
	// forcedStopTimeout is how long cancelled requests may take to end.
	forcedStopTimeout = time.Second
	// maxLoggedRequests limits the number of request identifiers in the log line AgentCutOff.
	maxLoggedRequests = 100
)

// Abort makes Run cancel the requests in progress and end, during its graceful shutdown or before. It does not wait.
func (a *Agent) Abort() {
	aborted := a.abortedChan()
	a.abortOnce.Do(func() { close(aborted) })
}

// abortedChan returns the channel that Abort closes.
func (a *Agent) abortedChan() chan struct{} {
	a.abortedInit.Do(func() { a.aborted = make(chan struct{}) })
	return a.aborted
}

// drain refuses new requests, notifies the entries and waits up to DrainTimeout, or until Abort, for the accepted requests
// and an engine order in progress. It then cancels the requests that remain and waits up to forcedStopTimeout for them.
func (a *Agent) drain() {
	a.mu.Lock()
	a.draining = true
	running, queued := len(a.active)+a.calls, a.queue.Len()
	a.mu.Unlock()
	timeout := a.drainTimeout()
	event.Info(a.Log, event.AgentDraining, "Running", running, "Queued", queued, "Timeout", timeout.String())
	a.server.Broadcast(wire.Load{Load: a.Load()})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		a.work.Wait()
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-finished:
		return
	case <-timer.C:
		a.cancelRemaining("DrainTimeout passed")
	case <-a.abortedChan():
		a.cancelRemaining("aborted")
	}
	select {
	case <-finished:
	case <-time.After(forcedStopTimeout):
	}
}

// cancelRemaining cancels the running prompts and calls, refuses the queued prompts, and logs their numbers
// and the identifiers of the running prompts.
func (a *Agent) cancelRemaining(reason string) {
	a.mu.Lock()
	a.stopping = true
	close(a.forceStop)
	var requests []string
	for _, p := range a.active {
		requests = append(requests, p.RequestID)
		p.cancelRun()
	}
	calls, queued := a.calls, a.queue.Len()
	a.mu.Unlock()
	a.refuseQueued(func() *refusal { return newRefusal(wire.ReasonDraining, "the agent stops") })
	slices.Sort(requests)
	event.Info(a.Log, event.AgentCutOff, "Reason", reason, "Runs", len(requests), "Calls", calls, "QueuedNotRun", queued,
		"Requests", requests[:min(len(requests), maxLoggedRequests)])
}
