package agent

import (
	"slices"
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/wire"
)

const (
	// cutGrace is how long work that was cut off may take to end.
	cutGrace = time.Second
	// maxLogged bounds the requests named in the log line of a cut-off.
	maxLogged = 100
)

// Abort makes Run end at once, during its graceful shutdown or before. What was running is cut off.
func (a *Agent) Abort() {
	aborted := a.abortion()
	a.abort.Do(func() { close(aborted) })
}

// abortion returns the channel that Abort closes.
func (a *Agent) abortion() chan struct{} {
	a.aborts.Do(func() { a.aborted = make(chan struct{}) })
	return a.aborted
}

// drain takes no new work, tells the entries and waits for what was accepted, up to DrainTimeout.
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
		a.cutOff("DrainTimeout passed")
	case <-a.abortion():
		a.cutOff("aborted")
	}
	select {
	case <-finished:
	case <-time.After(cutGrace):
	}
}

// cutOff ends everything that has not finished and logs it.
func (a *Agent) cutOff(reason string) {
	a.mu.Lock()
	a.stopping = true
	close(a.cut)
	var requests []string
	for _, p := range a.active {
		requests = append(requests, p.RequestID)
		p.cutRun()
	}
	calls, queued := a.calls, a.queue.Len()
	a.mu.Unlock()
	a.refuseQueued(func() *refusal { return refused(wire.ReasonDraining, "the agent stops") })
	slices.Sort(requests)
	event.Info(a.Log, event.AgentCutOff, "Reason", reason, "Runs", len(requests), "Calls", calls, "QueuedNotRun", queued,
		"Requests", requests[:min(len(requests), maxLogged)])
}
