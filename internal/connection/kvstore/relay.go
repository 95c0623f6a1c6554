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
	"primrosecourse/pkg/bounded"
)

// A store serves only a few event polls concurrently. The first gateways in the store's rendezvous-hash order read its events, and the
// other gateways poll one of them instead of the store. A relay offers the same listing and event calls as a store, over HTTP between
// gateways with msgpack bodies.

const (
	relayListPath    = "/List"
	relayChangesPath = "/Changes"
	// maxRelayedChanges is the number of past changes of a store that are retained for the gateways that poll this one.
	maxRelayedChanges = 4096
	// readerShare is the share of a store's concurrent event polls that the gateways use, so that a gateway that is not counted
	// yet can still poll the store.
	readerShare = 0.6
	// maxRelayResponseBytes limits a response of another gateway.
	maxRelayResponseBytes = 8 << 20
	// maxRelayedValues limits the values in it. A part takes up 7 values and about 60 bytes, but a value may be a single byte that is
	// decoded into 80.
	maxRelayedValues = 1 << 20
)

// changeLog holds the recent changes of a store for the gateways that poll this one. The mu of the catalog guards it.
type changeLog struct {
	// generation is the epoch that other gateways see. It differs after each listing, since changes before the listing may have been
	// missed.
	generation uint64
	// changes holds the last changes since the listing, at most maxRelayedChanges; first is the number of the first of them.
	changes []Change
	first   uint64
	// changed is closed and replaced after each response of the store.
	changed chan struct{}
}

func (l *changeLog) reset() {
	l.generation, l.changes, l.first = rand.Uint64()|1, nil, 1
	l.notify()
}

// add appends changes, if any, and wakes the polls that wait.
func (l *changeLog) add(changes []Change) {
	l.changes = append(l.changes, changes...)
	if excess := len(l.changes) - maxRelayedChanges; excess > 0 {
		l.changes = append(l.changes[:0], l.changes[excess:]...)
		l.first += uint64(excess)
	}
	l.notify()
}

func (l *changeLog) notify() {
	if l.changed != nil {
		close(l.changed)
	}
	l.changed = make(chan struct{})
}

func (l *changeLog) next() uint64 { return l.first + uint64(len(l.changes)) }

// ServeHTTP serves listings and changes of the stores whose events this gateway reads itself to other gateways.
func (c *Catalog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	store := r.FormValue("Store")
	var response any
	var ok bool
	switch r.URL.Path {
	case relayListPath:
		response, ok = c.listing(store)
	case relayChangesPath:
		since, err := strconv.ParseUint(r.FormValue("Since"), 10, 64)
		if err != nil {
			http.Error(w, "Since must be a number", http.StatusBadRequest)
			return
		}
		response, ok = c.changes(r.Context(), store, since)
	default:
		http.NotFound(w, r)
		return
	}
	if !ok {
		http.Error(w, "store is not followed here", http.StatusServiceUnavailable)
		return
	}
	body, err := msgpack.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// The write fails if the calling gateway has disconnected, which needs no handling.
	_, _ = w.Write(body)
}

// directState returns the state of a store whose events this gateway reads itself, and nil if it does not or if the contents are not
// known. The caller must hold mu.
func (c *Catalog) directState(store string) *storeState {
	if state := c.stores[store]; state != nil && state.known && state.direct {
		return state
	}
	return nil
}

func (c *Catalog) listing(store string) (listing Listing, ok bool) {
	clock, hasClock := c.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.directState(store)
	if state == nil {
		return listing, false
	}
	listing = Listing{Epoch: state.changeLog.generation, Next: state.changeLog.next(), StoreEpoch: state.storeEpoch,
		ConfirmedAt: state.lease.confirmedAt}
	if hasClock {
		listing.Clock = clock
	}
	unlistedTokens := state.used
	for key, tokens := range state.held {
		listing.Held = append(listing.Held, Held{Key: key, Tokens: tokens})
		unlistedTokens -= tokens
	}
	if unlistedTokens > 0 {
		// A single entry stands for the room of all unfinished and untracked parts.
		listing.Unfinished = []Unfinished{{Reserved: unlistedTokens}}
	}
	return listing, true
}

// changes returns the changes of a store from number since on. If there are none yet, it waits for them or for the store's next
// confirmation of its epoch, up to pollWait. ok is false if this gateway does not read the events of the store itself or does not know
// its contents.
func (c *Catalog) changes(ctx context.Context, store string, since uint64) (response Changes, ok bool) {
	deadline := time.After(pollWait)
	for first := true; ; first = false {
		clock, hasClock := c.Clock()
		c.mu.Lock()
		state := c.directState(store)
		if state == nil {
			c.mu.Unlock()
			return response, false
		}
		response = Changes{Epoch: state.changeLog.generation, Next: state.changeLog.next(), ConfirmedAt: state.lease.confirmedAt,
			Lost: since < state.changeLog.first || since > state.changeLog.next()}
		if !response.Lost {
			response.Changes = append([]Change(nil), state.changeLog.changes[since-state.changeLog.first:]...)
		}
		notified := state.changeLog.changed
		c.mu.Unlock()
		if hasClock {
			response.Clock = clock
		}
		if response.Lost || len(response.Changes) > 0 || !first {
			return response, true
		}
		select {
		case <-ctx.Done():
			return response, true
		case <-deadline:
			return response, true
		case <-notified:
		}
	}
}

// Relays is a client that reads the contents of stores from other gateways. An address has the form IP:PORT/STORE.
type Relays struct {
	// Calls makes the calls. It must be set before the first one.
	Calls *call.Client
}

// relayAddress returns the Relays address of a store at another gateway.
func relayAddress(gateway netip.AddrPort, store string) string { return gateway.String() + "/" + store }

// List implements Stores.
func (r *Relays) List(ctx context.Context, address string) (listing Listing, err error) {
	err = r.call(ctx, address, relayListPath, url.Values{}, &listing)
	return listing, err
}

// Watch implements Stores. The other gateway determines the wait.
func (r *Relays) Watch(ctx context.Context, address string, since uint64, _ time.Duration) (changes Changes, err error) {
	err = r.call(ctx, address, relayChangesPath, url.Values{"Since": {strconv.FormatUint(since, 10)}}, &changes)
	return changes, err
}

// Free implements Stores. It always fails: only gateways that read a store's events themselves free parts in it.
func (*Relays) Free(context.Context, string, []Key, uint64, time.Duration) error {
	return errors.New("parts cannot be freed through a relay")
}

func (r *Relays) call(ctx context.Context, address, path string, query url.Values, into any) (err error) {
	defer func() { err = errors.Wrapf(err, "relay %s", address) }()
	host, store, _ := bytes.Cut([]byte(address), []byte("/"))
	query.Set("Store", string(store))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(host)+path+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	response, err := r.Calls.Do(ctx, request, call.Bounds{Limit: maxRelayResponseBytes})
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return errors.Newf("status %d", response.Status)
	}
	return bounded.UnmarshalMax(response.Body, maxRelayedValues, into)
}
