package entry

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/quarantine"
)

// maxBlockCrashes is the maximum number of crashes that are retained.
const maxBlockCrashes = 64

// crashBlocks records the blocks of the prompts that had not begun to be answered when endpoints crashed, as this entry saw it. It is
// safe for concurrent use.
type crashBlocks struct {
	mu       sync.Mutex
	settings quarantine.PartSettings
	crashes  []quarantine.Crash
	// verdicts is the result of the last call of Judge, nil if the crashes have changed since; judgedAt is its time.
	verdicts *quarantine.Verdicts
	judgedAt time.Time
}

// setQuarantineTime sets how long blocks are quarantined.
func (b *crashBlocks) setQuarantineTime(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings.Lifetime, b.verdicts = d, nil
}

// Crashed implements caller.CrashBlocks.
func (b *crashBlocks) Crashed(chain []prefix.ID, endpoint string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.verdicts = nil
	candidates := make([]quarantine.Candidate, 0, len(chain))
	for depth, id := range chain {
		candidates = append(candidates, quarantine.Candidate{Part: id.Uint64(), Depth: depth})
	}
	name := endpoint + "/"
	for i := range b.crashes {
		// The runs at an endpoint end together when it crashes.
		if c := &b.crashes[i]; now.Sub(c.At) < quarantine.DefaultApart && strings.HasPrefix(c.Endpoint, name) {
			c.Add(candidates)
			return
		}
	}
	if len(b.crashes) == maxBlockCrashes {
		b.crashes = append(b.crashes[:0], b.crashes[1:]...)
	}
	c := quarantine.Crash{Endpoint: name + strconv.FormatInt(now.UnixNano(), 36), At: now}
	c.Add(candidates)
	b.crashes = append(b.crashes, c)
}

// Begun implements caller.CrashBlocks.
func (b *crashBlocks) Begun(chain []prefix.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := b.crashes[:0]
	for _, c := range b.crashes {
		for _, id := range chain {
			if c.Clear(id.Uint64(), 0) {
				b.verdicts = nil
			}
		}
		if len(c.Candidates) > 0 {
			remaining = append(remaining, c)
		}
	}
	b.crashes = remaining
}

// Quarantined implements caller.CrashBlocks.
func (b *crashBlocks) Quarantined(chain []prefix.ID, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.crashes) == 0 {
		return 0, false
	}
	verdicts := b.judge(now)
	for _, id := range chain {
		if v, ok := verdicts.Quarantined(id.Uint64(), 0); ok {
			return v.Until.Sub(now), true
		}
	}
	return 0, false
}

// Suspect implements caller.CrashBlocks.
func (b *crashBlocks) Suspect(chain []prefix.ID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.crashes) == 0 {
		return false
	}
	verdicts := b.judge(now)
	for _, id := range chain {
		if verdicts.Suspect(id.Uint64(), 0, now.Add(-quarantine.DefaultApart), "") {
			return true
		}
	}
	return false
}

// judge returns the verdicts at now. The caller must hold mu.
func (b *crashBlocks) judge(now time.Time) *quarantine.Verdicts {
	if b.verdicts == nil || now.Sub(b.judgedAt) > time.Second {
		b.verdicts, b.judgedAt = quarantine.Judge(now, b.crashes, b.settings), now
	}
	return b.verdicts
}
