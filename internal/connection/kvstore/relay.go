package kvstore

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"primrosecourse/internal/connection/call"
)

// A store answers only few questions for events at a time. Gateways beyond that number follow one that does: the first ones
// in the store's order read its events and tell the others, by the same questions as those of a store, over HTTP between
// gateways with msgpack bodies.

const (
	relayListPath    = "/List"
	relayChangesPath = "/Changes"
	// relayLog is the number of changes that are kept for gateways that follow this one.
	relayLog = 4096
	// readersShare is the part of a store's places for questions that the gateways take, so that a gateway that is not counted
	// yet finds one.
	readersShare = 0.6
	// maxRelayBytes bounds an answer of another gateway.
	maxRelayBytes = 64 << 20
)

// relayed is what other gateways may be told of a store. It is part of contents.
type relayed struct {
	// generation differs after each listing, since changes before it may have been missed.
	generation uint64
	// log holds the last changes; first is the number of the first one.
	log     []Change
	first   uint64
	changed chan struct{}
}

func (r *relayed) reset() {
	r.generation, r.log, r.first = rand.Uint64()|1, nil, 1
	r.wake()
}

func (r *relayed) add(changes []Change) {
	if len(changes) == 0 {
		return
	}
	r.log = append(r.log, changes...)
	if over := len(r.log) - relayLog; over > 0 {
		r.log = append(r.log[:0], r.log[over:]...)
		r.first += uint64(over)
	}
	r.wake()
}

func (r *relayed) wake() {
	if r.changed != nil {
		close(r.changed)
	}
	r.changed = make(chan struct{})
}

func (r *relayed) next() uint64 { return r.first + uint64(len(r.log)) }

// ServeHTTP tells other gateways of the stores that this one follows itself.
func (c *Catalog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	store := r.FormValue("Store")
	var answer any
	var ok bool
	switch r.URL.Path {
	case relayListPath:
		answer, ok = c.listing(store)
	case relayChangesPath:
		since, err := strconv.ParseUint(r.FormValue("Since"), 10, 64)
		if err != nil {
			http.Error(w, "Since must be a number", http.StatusBadRequest)
			return
		}
		answer, ok = c.changes(r.Context(), store, since)
	default:
		http.NotFound(w, r)
		return
	}
	if !ok {
		http.Error(w, "store is not followed here", http.StatusServiceUnavailable)
		return
	}
	body, err := msgpack.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// A gateway that left does not read the answer.
	_, _ = w.Write(body)
}

// direct returns a store that this gateway follows itself, nil if there is none. The caller holds mu.
func (c *Catalog) direct(store string) *contents {
	if n := c.stores[store]; n != nil && n.known && n.direct {
		return n
	}
	return nil
}

func (c *Catalog) listing(store string) (l Listing, ok bool) {
	clock, hasClock := c.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.direct(store)
	if n == nil {
		return l, false
	}
	l = Listing{Epoch: n.relay.generation, Next: n.relay.next()}
	if hasClock {
		l.Clock = clock
	}
	used := n.used
	for key, tokens := range n.held {
		l.Held = append(l.Held, Held{Key: key, Tokens: tokens})
		used -= tokens
	}
	if used > 0 {
		// What is not whole takes up room, whatever it is.
		l.Unfinished = []Unfinished{{Reserved: used}}
	}
	return l, true
}

// changes waits for changes after a number.
func (c *Catalog) changes(ctx context.Context, store string, since uint64) (answer Changes, ok bool) {
	deadline := time.After(watchWait)
	for {
		clock, hasClock := c.Clock()
		c.mu.Lock()
		n := c.direct(store)
		if n == nil {
			c.mu.Unlock()
			return answer, false
		}
		answer = Changes{Epoch: n.relay.generation, Next: n.relay.next(), Lost: since < n.relay.first || since > n.relay.next()}
		if !answer.Lost {
			answer.Changes = append([]Change(nil), n.relay.log[since-n.relay.first:]...)
		}
		changed := n.relay.changed
		c.mu.Unlock()
		if hasClock {
			answer.Clock = clock
		}
		if answer.Lost || len(answer.Changes) > 0 {
			return answer, true
		}
		select {
		case <-ctx.Done():
			return answer, true
		case <-deadline:
			return answer, true
		case <-changed:
		}
	}
}

// Relays asks other gateways as if they were stores. An address has the form IP:PORT/STORE.
type Relays struct {
	// Calls makes the calls. Set before the first one.
	Calls *call.Client
}

// relayAddress returns the address of a store at another gateway.
func relayAddress(gateway netip.AddrPort, store string) string { return gateway.String() + "/" + store }

// List implements Stores.
func (r *Relays) List(ctx context.Context, address string) (l Listing, err error) {
	err = r.call(ctx, address, relayListPath, url.Values{}, &l)
	return l, err
}

// Watch implements Stores. The wait is that of the other gateway.
func (r *Relays) Watch(ctx context.Context, address string, since uint64, _ time.Duration) (changes Changes, err error) {
	err = r.call(ctx, address, relayChangesPath, url.Values{"Since": {strconv.FormatUint(since, 10)}}, &changes)
	return changes, err
}

// Free implements Stores. Only gateways that follow a store themselves free parts in it.
func (*Relays) Free(context.Context, string, []Key, uint64, time.Duration) error {
	return errors.New("a relay frees nothing")
}

func (r *Relays) call(ctx context.Context, address, path string, query url.Values, into any) (err error) {
	defer func() { err = errors.Wrapf(err, "relay %s", address) }()
	host, store, _ := bytes.Cut([]byte(address), []byte("/"))
	query.Set("Store", string(store))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(host)+path+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	answer, err := r.Calls.Do(ctx, request, call.Bounds{Limit: maxRelayBytes})
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return errors.Newf("status %d", answer.Status)
	}
	return msgpack.Unmarshal(answer.Body, into)
}
