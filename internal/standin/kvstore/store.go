package kvstore

import (
	"container/list"
	"context"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"

	store "primrosecourse/internal/process/kvstore"
)

// linkBurstBytes is the burst size of the link's token bucket, and the largest chunk of a transfer.
const linkBurstBytes = 64 << 10

// Store is a KV store in memory, created by New. Set the exported fields before it serves requests.
type Store struct {
	// MemoryBytes and DiskBytes are the capacities of the tiers. Defaults 64 MiB and 256 MiB.
	MemoryBytes int64
	DiskBytes   int64
	// LinkBytesPerSecond is the capacity of the link, shared by both directions. Default 1 GB/s.
	LinkBytesPerSecond int64

	limiter         *rate.Limiter
	activeTransfers atomic.Int64 // waiting or in progress
	transferred     atomic.Int64

	mu     sync.Mutex
	blocks map[string]*list.Element
	memory tier
	disk   tier
}

// tier is the memory tier or the disk tier.
type tier struct {
	order *list.List // of *storedBlock, most recently used first
	used  int64      // bytes
}

type storedBlock struct {
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

// SetLink changes the capacity of the link. It may be called while the store serves requests.
func (s *Store) SetLink(bytesPerSecond int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.LinkBytesPerSecond = bytesPerSecond
	if s.limiter != nil {
		s.limiter.SetLimit(rate.Limit(bytesPerSecond))
	}
}

// TransferredBytes returns the number of bytes transferred over the link in both directions.
func (s *Store) TransferredBytes() int64 { return s.transferred.Load() }

// transfer waits for the time that the link needs for n bytes.
func (s *Store) transfer(ctx context.Context, n int) error {
	s.activeTransfers.Add(1)
	defer s.activeTransfers.Add(-1)
	for n > 0 {
		chunk := min(n, linkBurstBytes)
		if err := s.linkLimiter().WaitN(ctx, chunk); err != nil {
			return err
		}
		s.transferred.Add(int64(chunk))
		n -= chunk
	}
	return nil
}

// linkLimiter returns the rate limiter of the link, which it creates on the first call.
func (s *Store) linkLimiter() *rate.Limiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(rate.Limit(s.LinkBytesPerSecond), linkBurstBytes)
	}
	return s.limiter
}

// put stores a complete block whose checksum has been verified, and reports whether there was room for it. If a block with
// the same ID is stored, that block stays and becomes the most recently used one of its tier, and put returns true.
func (s *Store) put(b store.Block, checksum string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := int64(len(b.Bytes))
	if el, ok := s.blocks[b.ID]; ok {
		s.touch(el)
		return true
	}
	if size > s.MemoryBytes || !s.makeRoom(size) {
		return false
	}
	s.blocks[b.ID] = s.memory.order.PushFront(&storedBlock{block: b, checksum: checksum})
	s.memory.used += size
	return true
}

// makeRoom moves the least recently used blocks from memory to disk until size bytes are free in memory. It returns
// false if the disk tier has no room for the next of these blocks; those that it has moved by then stay on disk.
func (s *Store) makeRoom(size int64) bool {
	for s.memory.used+size > s.MemoryBytes {
		oldest := s.memory.order.Back()
		stored := oldest.Value.(*storedBlock)
		n := int64(len(stored.block.Bytes))
		if s.disk.used+n > s.DiskBytes {
			return false
		}
		s.memory.order.Remove(oldest)
		s.memory.used -= n
		stored.onDisk = true
		s.blocks[stored.block.ID] = s.disk.order.PushFront(stored)
		s.disk.used += n
	}
	return true
}

// touch marks a block as the most recently used one of its tier.
func (s *Store) touch(el *list.Element) {
	if el.Value.(*storedBlock).onDisk {
		s.disk.order.MoveToFront(el)
		return
	}
	s.memory.order.MoveToFront(el)
}

// get returns a block and marks it as the most recently used one of its tier.
func (s *Store) get(id string) (b storedBlock, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	el, ok := s.blocks[id]
	if !ok {
		return storedBlock{}, false
	}
	s.touch(el)
	return *el.Value.(*storedBlock), true
}

func (s *Store) remove(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	el, ok := s.blocks[id]
	if !ok {
		return false
	}
	stored := el.Value.(*storedBlock)
	t := &s.memory
	if stored.onDisk {
		t = &s.disk
	}
	t.order.Remove(el)
	t.used -= int64(len(stored.block.Bytes))
	delete(s.blocks, id)
	return true
}

func (s *Store) lookup(ids []string) []store.Present {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []store.Present{}
	for _, id := range ids {
		if el, ok := s.blocks[id]; ok {
			stored := el.Value.(*storedBlock)
			found = append(found, store.Present{ID: id, Bytes: int64(len(stored.block.Bytes)), Tier: stored.tierName()})
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
		Queued:             int(s.activeTransfers.Load()),
	}
}

func (b *storedBlock) tierName() string {
	if b.onDisk {
		return "Disk"
	}
	return "Memory"
}
