package takeups

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"primrosecourse/internal/connection/call"
	"primrosecourse/internal/event"
	"primrosecourse/pkg/builds"
)

// round asks the other gateways about the streams of some take-ups.
type round struct {
	exchange *Exchange
	// peers are the gateways to be asked, others is the number of all, and listed is set if these are known.
	peers   []netip.Addr
	others  int
	listed  bool
	entries []*entry
}

// reply is the answer of a gateway.
type reply struct {
	answer answer
	began  map[uint64]string
	err    error
}

// newRound returns a round without entries, and after what time it may begin.
func (e *Exchange) newRound(now time.Time) (r *round, wait time.Duration) {
	// The list is known to be whole before it is read, since it may be replaced between.
	r = &round{exchange: e, listed: e.Peers.KnowsPeers()}
	list := e.Peers.Peers()
	r.others = len(list)
	for _, i := range rand.Perm(len(list))[:min(len(list), maxPeers)] {
		r.peers = append(r.peers, list[i].Address.Addr())
	}
	if len(r.peers) == 0 {
		return r, 0
	}
	messages := e.limiter.ReserveN(now, len(r.peers))
	if wait = messages.DelayFrom(now); wait <= maxHold {
		return r, max(wait, gatherTime)
	}
	// A part of a round would use up what a whole one needs.
	messages.CancelAt(now)
	r.peers = nil
	return r, gatherTime
}

// cancel answers all take-ups that nobody was asked.
func (r *round) cancel() {
	for _, own := range r.entries {
		own.result <- builds.Answers{}
	}
}

// run asks the gateways and passes on the answers.
func (r *round) run(ctx context.Context) {
	ids := make([]uint64, 0, len(r.entries))
	answers := make([]builds.Answers, len(r.entries))
	for i, own := range r.entries {
		answers[i] = builds.Answers{Listed: r.listed, Others: r.others, Asked: len(r.peers)}
		if own.id != 0 {
			ids = append(ids, own.id)
		}
	}
	replies := make(chan reply, len(r.peers))
	body, err := msgpack.Marshal(&question{IDs: ids})
	for _, peer := range r.peers {
		go func() {
			if err != nil {
				replies <- reply{err: err}
				return
			}
			replies <- r.exchange.call(ctx, peer, body)
		}()
	}
	told := make([]bool, len(r.entries))
	for waiting := len(r.peers); waiting > 0; {
		r.add(answers, <-replies)
		for waiting--; len(replies) > 0; waiting-- { // those that are there already may contradict
			r.add(answers, <-replies)
		}
		for i, own := range r.entries {
			if !told[i] && answers[i].Told() {
				told[i] = true
				own.result <- answers[i]
			}
		}
	}
	for i, own := range r.entries {
		if !told[i] {
			own.result <- answers[i]
		}
	}
}

// add adds the answer of a gateway to those of the streams.
func (r *round) add(answers []builds.Answers, in reply) {
	if in.err != nil {
		return
	}
	for i, own := range r.entries {
		answers[i].Add(in.answer.of(in.began, own.id))
	}
}

// call asks one gateway.
func (e *Exchange) call(ctx context.Context, peer netip.Addr, body []byte) (in reply) {
	defer func() {
		if in.err = errors.Wrapf(in.err, "gateway %s", peer); in.err != nil {
			event.Debug(e.Log, event.TakeUpNotAnswered, "gateway", peer.String(), "reason", in.err.Error())
		}
	}()
	url := "http://" + netip.AddrPortFrom(peer, e.Port).String() + Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	// The call changes nothing, so that net/http may repeat it if the other gateway has closed an idle connection.
	request.Header["Idempotency-Key"] = nil
	response, err := e.Calls.Do(ctx, request, call.Bounds{Timeout: callTime, Limit: maxAnswerBytes})
	switch {
	case err != nil:
		return reply{err: err}
	case response.Status != http.StatusOK:
		return reply{err: errors.Newf("status %d", response.Status)}
	}
	in.answer, in.began, in.err = decode(response.Body)
	return in
}
