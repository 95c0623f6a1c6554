package takeups

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"primrosecourse/internal/connection/call"
	"primrosecourse/pkg/builds"
	"primrosecourse/pkg/site"
)

// Path is the path at which an Exchange answers the other gateways.
const Path = "/TakeUps"

const (
	// gatherTime is how long a round waits for further questions.
	gatherTime = 15 * time.Millisecond
	// callTime limits a call.
	callTime = 300 * time.Millisecond
	// maxPeers limits the gateways that are asked in a round.
	maxPeers = 128
	// messagesPerSecond and messagesBurst limit the calls of a gateway, and maxHold for how long a round waits for that.
	messagesPerSecond = 50
	messagesBurst     = 4 * maxPeers
	maxHold           = 400 * time.Millisecond
)

// Peers lists the other gateways; registry.Registry implements it.
type Peers interface {
	// Peers returns the other gateways. The result must not be changed.
	Peers() []site.Gateway
	// KnowsPeers reports whether these are all that were present when they were last listed.
	KnowsPeers() bool
}

// Exchange asks the other gateways and answers them. Its exported fields must be set before Run.
type Exchange struct {
	Peers Peers
	// Port is the port at which the gateways serve each other.
	Port  uint16
	Calls *call.Client
	Book  *builds.Book
	Log   logr.Logger

	initOnce sync.Once
	entries  chan *entry
	done     chan struct{}
	limiter  *rate.Limiter
}

// entry is the question of one take-up.
type entry struct {
	id uint64
	// result gets the answers once.
	result chan builds.Answers
}

func (e *Exchange) init() {
	e.initOnce.Do(func() {
		e.entries, e.done = make(chan *entry), make(chan struct{})
		e.limiter = rate.NewLimiter(messagesPerSecond, messagesBurst)
	})
}

// Done returns a channel that is closed when Run has ended.
func (e *Exchange) Done() <-chan struct{} {
	e.init()
	return e.done
}

// Ask asks the other gateways about a stream, or only for their plans if id is 0. It returns once one of them states that it began the stream, or
// once all have answered or had the time to. If ctx ends before, or Run has ended, nobody has answered.
func (e *Exchange) Ask(ctx context.Context, id uint64) builds.Answers {
	e.init()
	own := &entry{id: id, result: make(chan builds.Answers, 1)}
	select {
	case e.entries <- own:
	case <-ctx.Done():
		return builds.Answers{}
	case <-e.done:
		return builds.Answers{}
	}
	select {
	case a := <-own.result:
		return a
	case <-ctx.Done():
		return builds.Answers{}
	}
}

// Run makes the calls until ctx is done.
func (e *Exchange) Run(ctx context.Context) error {
	e.init()
	defer close(e.done)
	ended := make(chan struct{})
	rounds := 0
	var next *round
	var start <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			for ; rounds > 0; rounds-- {
				<-ended
			}
			if next != nil {
				next.cancel()
			}
			return nil
		case <-ended:
			rounds--
			continue
		case own := <-e.entries:
			if next == nil {
				var wait time.Duration
				next, wait = e.newRound(time.Now())
				start = time.After(wait)
			}
			next.entries = append(next.entries, own)
			if len(next.entries) < maxStreams {
				continue
			}
		case <-start:
		}
		r := next
		next, start = nil, nil
		rounds++
		go func() {
			r.run(ctx)
			ended <- struct{}{}
		}()
	}
}
