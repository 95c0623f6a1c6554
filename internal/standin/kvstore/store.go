package kvstore

import (
	"container/list"
	"context"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"

	store "primrosecourse/internal/process/kvstore"
)

// linkBurstBytes is the largest piece that the link carries at once.
const linkBurstBytes = 64 << 10

// Store is the stand-in. Set the exported fields before the first call of Handler.
type Store struct {
	// MemoryBytes and DiskBytes bound the tiers. Defaults 64 MiB and 256 MiB.
	MemoryBytes int64
	DiskBytes   int64
	// LinkBytesPerSecond is the capacity of the link in both directions together. Default 1 GB/s.
	LinkBytesPerSecond int64

	link   *rate.Limiter
	queued atomic.Int64
	moved  atomic.Int64

	mu     sync.Mutex
	blocks map[string]*list.Element
	memory tier
	disk   tier
}

// tier holds entries with the most recently used one in front.
type tier struct {
	order *list.List
	used  int64
}

type entry struct {
	block    store.Block
	checksum string
	onDisk   bool
}

// New returns a store with default sizes.
func New() *Store {
	return &Store{
		MemoryBytes:        64 << 20,
		DiskBytes:          256 << 20,
		LinkBytesPerSecond: 1e9,
		blocks:             map[string]*list.Element{},
		memory:             tier{order: list.New()},
		disk:               tier{order: list.New()},
	}
}

// SetLink changes the capacity of the link while the store runs.
func (s *Store) SetLink(bytesPerSecond int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.LinkBytesPerSecond = bytesPerSecond
	if s.link != nil {
		s.link.SetLimit(rate.Limit(bytesPerSecond))
	}
}

// Moved returns the bytes that crossed the link in both directions.
func (s *Store) Moved() int64 { return s.moved.Load() }

// transfer waits until the link has carried n bytes.
func (s *Store) transfer(ctx context.Context, n int) error {
	s.queued.Add(1)
	defer s.queued.Add(-1)
	for n > 0 {
		piece := min(n, linkBurstBytes)
		if err := s.limiter().WaitN(ctx, piece); err != nil {
			return err
		}
		s.moved.Add(int64(piece))
		n -= piece
	}
	return nil
}

func (s *Store) limiter() *rate.Limiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link == nil {
		s.link = rate.NewLimiter(rate.Limit(s.LinkBytesPerSecond), linkBurstBytes)
	}
	return s.link
}

// put stores a whole, checked block and reports whether there was room.
func (s *Store) put(b store.Block, checksum string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := int64(len(b.Bytes))
	if e, ok := s.blocks[b.ID]; ok {
		s.touch(e)
		return true
	}
	if size > s.MemoryBytes || !s.makeRoom(size) {
		return false
	}
	s.blocks[b.ID] = s.memory.order.PushFront(&entry{block: b, checksum: checksum})
	s.memory.used += size
	return true
}

// makeRoom moves the least recently used blocks of memory to disk until size bytes are free in memory.
func (s *Store) makeRoom(size int64) bool {
	for s.memory.used+size > s.MemoryBytes {
		last := s.memory.order.Back()
		e := last.Value.(*entry)
		n := int64(len(e.block.Bytes))
		if s.disk.used+n > s.DiskBytes {
			return false
		}
		s.memory.order.Remove(last)
		s.memory.used -= n
		e.onDisk = true
		s.blocks[e.block.ID] = s.disk.order.PushFront(e)
		s.disk.used += n
	}
	return true
}

func (s *Store) touch(el *list.Element) {
	if el.Value.(*entry).onDisk {
		s.disk.order.MoveToFront(el)
		return
	}
	s.memory.order.MoveToFront(el)
}

// get returns a block, its checksum and its tier.
func (s *Store) get(id string) (e entry, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	el, ok := s.blocks[id]
	if !ok {
		return entry{}, false
	}
	s.touch(el)
	return *el.Value.(*entry), true
}

func (s *Store) remove(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	el, ok := s.blocks[id]
	if !ok {
		return false
	}
	e := el.Value.(*entry)
	t := &s.memory
	if e.onDisk {
		t = &s.disk
	}
	t.order.Remove(el)
	t.used -= int64(len(e.block.Bytes))
	delete(s.blocks, id)
	return true
}

func (s *Store) present(ids []string) []store.Present {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []store.Present{}
	for _, id := range ids {
		if el, ok := s.blocks[id]; ok {
			e := el.Value.(*entry)
			found = append(found, store.Present{ID: id, Bytes: int64(len(e.block.Bytes)), Tier: e.tierName()})
		}
	}
	return found
}

func (s *Store) status() store.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return store.Status{
		BytesUsed:          s.memory.used + s.disk.used,
		BytesLimit:         s.MemoryBytes + s.DiskBytes,
		LinkBytesPerSecond: s.LinkBytesPerSecond,
		Queued:             int(s.queued.Load()),
	}
}

func (e *entry) tierName() string {
	if e.onDisk {
		return "Disk"
	}
	return "Memory"
}
