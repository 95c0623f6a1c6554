package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/platform"
	"primrosecourse/pkg/quarantine"
	"primrosecourse/pkg/wire"
)

// QuarantineKind is the kind of the objects that store quarantine marks. Their names are fingerprints in hexadecimal
// digits.
const QuarantineKind = "Quarantine"

const (
	// markQueueLength bounds the marks that wait to be written; a crash makes one for each run of the batch.
	markQueueLength = 512
	// maxMarksRead bounds the marks that a starting agent reads from the platform.
	maxMarksRead = 256
	// maxWriteAttempts bounds the attempts to write a mark, which was already sent to the connected entries.
	maxWriteAttempts = 5
)

// quarantineObject is the value of an object of QuarantineKind.
type quarantineObject struct {
	Endpoints []string
	Expires   time.Time
}

// markSuspect records that a prompt was running when the engine crashed, sends the mark to the entries and peers, and
// queues it to be written to the platform.
func (a *Agent) markSuspect(p *prompt) {
	if p.Fingerprint == 0 {
		return
	}
	now := time.Now()
	a.mu.Lock()
	mark := a.marks.Crashed(now, p.Fingerprint, a.Name)
	a.mu.Unlock()
	a.count("suspects")
	event.Info(a.Log, event.RequestSuspected, "RequestID", p.RequestID, "Organisation", p.Organisation,
		"Fingerprint", fingerprintName(p.Fingerprint), "Endpoints", mark.Endpoints)
	message := wireMark(mark, now)
	a.server.Broadcast(message)
	if a.SpreadMark != nil {
		a.SpreadMark(message)
	}
	select {
	case a.markQueue <- message:
	default:
		event.Info(a.Log, event.QuarantineNotStored, "Fingerprint", fingerprintName(p.Fingerprint), "Reason", "queue full")
	}
}

// Mark implements entry.Handler.
func (a *Agent) Mark(m wire.Mark) {
	a.init()
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.marks.Merge(now, quarantine.Mark{Fingerprint: m.Fingerprint, Endpoints: m.Endpoints, Expires: now.Add(m.Remaining)})
}

// Marks implements entry.Handler.
func (a *Agent) Marks() []wire.Mark {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	marks := a.marks.Marks(now)
	messages := make([]wire.Mark, len(marks))
	for i, m := range marks {
		messages[i] = wireMark(m, now)
	}
	return messages
}

func wireMark(m quarantine.Mark, now time.Time) wire.Mark {
	return wire.Mark{Fingerprint: m.Fingerprint, Endpoints: m.Endpoints, Remaining: m.Expires.Sub(now)}
}

func fingerprintName(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// writeMarks writes the queued marks to the platform, if there is one, until ctx is done.
func (a *Agent) writeMarks(ctx context.Context) {
	for {
		select {
		case m := <-a.markQueue:
			if a.Platform != nil {
				a.writeMark(ctx, m)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) writeMark(ctx context.Context, m wire.Mark) {
	expires := time.Now().Add(m.Remaining)
	var err error
	for attempt := range maxWriteAttempts {
		if err = a.tryWriteMark(ctx, m, expires); err == nil {
			event.Info(a.Log, event.QuarantineStored, "Fingerprint", fingerprintName(m.Fingerprint))
			return
		}
		if ctx.Err() != nil {
			return
		}
		// If one request crashes two engines, their agents write the same object within milliseconds. A conflict is
		// retried without a pause, since an entry that starts during a pause would read only the first crash.
		if !errors.Is(err, platform.ErrConflict) {
			sleep(ctx, 100*time.Millisecond<<attempt)
		}
	}
	event.Error(a.Log, err, event.QuarantineNotStored, "Fingerprint", fingerprintName(m.Fingerprint))
}

// tryWriteMark makes one attempt to write the mark. It adds the endpoints of the stored mark, unless that has expired.
func (a *Agent) tryWriteMark(ctx context.Context, m wire.Mark, expires time.Time) error {
	object, value, err := a.readMark(ctx, fingerprintName(m.Fingerprint))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if !value.Expires.After(time.Now()) {
		value.Endpoints = nil
	}
	value.Endpoints = append(value.Endpoints, m.Endpoints...)
	slices.Sort(value.Endpoints)
	value.Endpoints = slices.Compact(value.Endpoints)
	value.Expires = expires
	if object.Value, err = json.Marshal(value); err != nil {
		return err
	}
	_, err = a.Platform.Put(ctx, object)
	return err
}

func (a *Agent) readMark(ctx context.Context, name string) (object platform.Object, value quarantineObject, err error) {
	object, err = a.Platform.Get(ctx, QuarantineKind, name)
	if err != nil {
		return platform.Object{Kind: QuarantineKind, Name: name}, value, err
	}
	// A malformed value is overwritten by the next write.
	_ = json.Unmarshal(object.Value, &value)
	return object, value, nil
}

// readMarks reads the unexpired marks when the agent starts, at most maxMarksRead, and deletes expired ones. It does not
// retry: if the platform is down, the agent receives marks only from entries and peers.
func (a *Agent) readMarks(ctx context.Context) {
	objects, err := a.Platform.List(ctx, QuarantineKind, "")
	if err != nil {
		return
	}
	for _, object := range objects[:min(len(objects), maxMarksRead)] {
		fingerprint, err := strconv.ParseUint(object.Name, 16, 64)
		if err != nil || ctx.Err() != nil {
			continue
		}
		stored, value, err := a.readMark(ctx, object.Name)
		if err != nil {
			continue
		}
		if remaining := time.Until(value.Expires); remaining > 0 {
			a.Mark(wire.Mark{Fingerprint: fingerprint, Endpoints: value.Endpoints, Remaining: remaining})
		} else {
			_ = a.Platform.Delete(ctx, QuarantineKind, object.Name, stored.Version)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
