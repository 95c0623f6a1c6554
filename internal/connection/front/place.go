package front

import (
	"net"
	"sync"
	"time"

	"primrosecourse/pkg/site"
)

// phase is what a connection that takes up one of the places of MaxConnections is doing.
type phase uint8

const (
	// unused is a connection on which no request has arrived yet.
	unused phase = iota
	// idle is a connection that waits for its next request.
	idle
	// waiting is a connection whose next request waits for a turn.
	waiting
	// readingHeader and readingBody are a connection on which a request is arriving.
	readingHeader
	readingBody
	// handling is a connection whose request is handled. It is never evicted.
	handling
	// writing is a connection with a write of a response in progress.
	writing
	// discarding is a connection whose request was refused and whose rest is read and discarded.
	discarding
)

const (
	// stallShare is the share of the header timeout without progress after which a connection is stalled. The default timeout gives 625 ms:
	// longer than a lost packet delays a sound caller.
	stallShare = 1.0 / 8
	// headerStallShare is the same for connections on which no whole header has arrived, which takes one packet as a rule. The default timeout
	// gives 78 ms.
	headerStallShare = 1.0 / 64
	// reuseShare is the share of the idle timeout for which callers reuse an idle connection, by the contract of the platform.
	reuseShare = 0.8
	// bodyStep is the share of what has been announced of a body, or else of what has arrived, that counts as progress. A body that arrives a byte
	// at a time, or stops just before its end, makes none.
	bodyStep = 16
	// minBodyStep is the fewest bytes of a body without a length that count as progress.
	minBodyStep = 4096
	// leavingShare is the largest share of MaxConnections that may be on the way out while other connections have taken their places.
	leavingShare = 16
	// minLeaving is the number that may be on the way out if that share is smaller.
	minLeaving = 8
	// checkWait is how long a new connection waits for a place at a port for checks. Each of them is answered within milliseconds unless the
	// process is late, and then no connection counts as stalled.
	checkWait = 100 * time.Millisecond
	// searchPause is the time after a vain search for stalled connections in which there is no other one.
	searchPause = 20 * time.Millisecond
	// evictedWriteTimeout limits the answer to an evicted connection.
	evictedWriteTimeout = 100 * time.Millisecond
)

// patience is for how long a connection may make no progress in a phase before it is stalled. There is none for one that waits for a turn: its
// caller has sent requests without waiting for answers, and nothing of them has been run. There is none for one that has been refused either.
type patience map[phase]time.Duration

func (s *Server) patience(now time.Time, limits site.Limits) patience {
	stall := time.Duration(stallShare * float64(limits.HeaderTimeout))
	if s.HeadersOnly {
		return patience{writing: stall}
	}
	header := time.Duration(headerStallShare * float64(limits.HeaderTimeout))
	return patience{unused: header, readingHeader: header, readingBody: stall, writing: stall,
		idle: time.Duration(reuseShare * float64(s.idleLimit.update(now, limits.IdleTimeout)))}
}

// place is the progress of one connection. Its deadlines are set by its methods, since an eviction interrupts reads and writes by a deadline
// in the past.
type place struct {
	conn net.Conn
	// out is closed when the connection is evicted or all connections are closed.
	out     chan struct{}
	outOnce sync.Once

	mu    sync.Mutex
	phase phase
	// since is the time of the last progress, held the reserved bytes.
	since time.Time
	held  int64
	// evicted is set once the connection has to end; refusing is set while it is told so.
	evicted, refusing bool
}

func newPlace(c net.Conn) *place {
	return &place{conn: c, out: make(chan struct{}), since: time.Now()}
}

// enter begins a phase unless the connection has been evicted.
func (p *place) enter(ph phase) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.evicted {
		return false
	}
	p.phase, p.since = ph, time.Now()
	return true
}

// progress records that the connection has made progress in its phase.
func (p *place) progress() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.since = time.Now()
}

func (p *place) setHeld(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = n
}

func (p *place) isEvicted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evicted
}

// hasUnread reports whether bytes of a request have arrived that the process has not come to read.
func (p *place) hasUnread() bool {
	p.mu.Lock()
	ph := p.phase
	p.mu.Unlock()
	return (ph == unused || ph == idle) && hasArrived(p.conn)
}

// idleEnding returns the ending of a connection that was evicted while no request was in progress.
func (p *place) idleEnding() Ending {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.phase == unused {
		return Unread
	}
	return IdleExpired
}

// setReadDeadline sets the deadline of reads, which have failed for good after an eviction.
func (p *place) setReadDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.evicted {
		t = interrupted
	}
	_ = p.conn.SetReadDeadline(t)
}

// setWriteDeadline sets the deadline of writes. After an eviction only the refusal is written.
func (p *place) setWriteDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.refusing:
		t = time.Now().Add(evictedWriteTimeout)
	case p.evicted:
		t = interrupted
	}
	return p.conn.SetWriteDeadline(t)
}

// refuse lets an evicted connection write a refusal.
func (p *place) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = true
}

// leave wakes a connection that waits for a turn.
func (p *place) leave() { p.outOnce.Do(func() { close(p.out) }) }

// stalledFor returns for how long the connection has made no progress, and the bytes that it holds; 0 if it is not stalled.
func (p *place) stalledFor(now time.Time, allowed patience) (d time.Duration, held int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d = now.Sub(p.since); p.evicted || p.phase == handling || d < allowed[p.phase] {
		return 0, 0
	}
	return d, p.held
}

// evict interrupts the connection unless it has made progress since it was found to be stalled for d at a time.
func (p *place) evict(now time.Time, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.evicted || p.phase == handling || now.Sub(p.since) != d {
		return false
	}
	p.evicted = true
	_ = p.conn.SetDeadline(interrupted)
	p.leave()
	return true
}

// bodyProgress records the progress of a body of which length bytes were announced, negative if none were.
type bodyProgress struct {
	place               *place
	length              int64
	arrived, arrivedOld int64
}

// add records that n bytes have arrived.
func (b *bodyProgress) add(n int) {
	b.arrived += int64(n)
	step := max(1, b.length/bodyStep)
	if b.length < 0 {
		step = max(minBodyStep, b.arrived/bodyStep)
	}
	if b.arrived-b.arrivedOld >= step {
		b.arrivedOld = b.arrived
		b.place.progress()
	}
}

// awaitTurn waits until fewer than Turns requests that were sent before the answer to the one before are in progress, at most for the header
// timeout. It returns the end of the turn, and false if the connection must end.
func (s *Server) awaitTurn(p *place, limits site.Limits) (release func(), ok bool) {
	release = func() {}
	if s.turns == nil {
		return release, true
	}
	if !p.enter(waiting) {
		return release, false
	}
	timeout := time.NewTimer(limits.HeaderTimeout)
	defer timeout.Stop()
	select {
	case s.turns <- struct{}{}:
		return func() { <-s.turns }, true
	case <-timeout.C:
		return release, true
	case <-p.out:
		return release, false
	}
}
