package engine

import (
	"container/list"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockWords is the number of words in a block; each word of a prompt
	// counts as a token.
	blockWords = 16
	// eventLimit is the maximum number of cache events that are kept.
	eventLimit = 4096
)

// Event is a change of the prefix cache.
type Event struct {
	Sequence int64  `json:"sequence"`
	Kind     string `json:"kind"`
	// Prefix is the hash of the prompt up to and including the block.
	Prefix string `json:"prefix"`
}

// cache is an LRU cache of prompt blocks. A block is identified by the hash of
// the prompt up to its end.
type cache struct {
	capacity          int
	dropEveryNthEvent int
	now               func() time.Time

	mu     sync.Mutex
	blocks map[uint64]*list.Element
	// lru holds the hashes of the blocks, the most recently used one first.
	lru      *list.List
	sequence int64
	events   []timedEvent
}

type timedEvent struct {
	at    time.Time
	event Event
}

func newCache(capacity, dropEveryNthEvent int, now func() time.Time) *cache {
	return &cache{capacity: capacity, dropEveryNthEvent: dropEveryNthEvent, now: now, blocks: make(map[uint64]*list.Element), lru: list.New()}
}

// access looks up a prompt and adds its blocks. It returns the number of prompt
// tokens and how many of them were cached.
func (c *cache) access(prompt string) (tokens, cached int) {
	words := strings.Fields(prompt)
	hashes := blockHashes(words)
	c.mu.Lock()
	defer c.mu.Unlock()
	for cached < len(hashes) && c.blocks[hashes[cached]] != nil {
		cached++
	}
	// The first block is touched last, so that it is evicted last: later
	// blocks are useless without it.
	for i := len(hashes) - 1; i >= 0; i-- {
		c.touch(hashes[i])
	}
	for c.lru.Len() > c.capacity {
		hash := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.blocks, hash)
		c.record("evict", hash)
	}
	return len(words), cached * blockWords
}

// blockHashes returns the hashes of the prompt's complete blocks.
func blockHashes(words []string) []uint64 {
	var hashes []uint64
	d := xxhash.New()
	for i, w := range words {
		_, _ = d.WriteString(w)
		_, _ = d.WriteString(" ")
		if (i+1)%blockWords == 0 {
			hashes = append(hashes, d.Sum64())
		}
	}
	return hashes
}

func (c *cache) touch(hash uint64) {
	if e := c.blocks[hash]; e != nil {
		c.lru.MoveToFront(e)
		return
	}
	c.blocks[hash] = c.lru.PushFront(hash)
	c.record("add", hash)
}

func (c *cache) record(kind string, hash uint64) {
	c.sequence++
	if c.dropEveryNthEvent > 0 && c.sequence%int64(c.dropEveryNthEvent) == 0 {
		return
	}
	if len(c.events) >= eventLimit {
		c.events = append(c.events[:0], c.events[eventLimit/2:]...)
	}
	prefix := strconv.FormatUint(hash, 16)
	c.events = append(c.events, timedEvent{c.now(), Event{c.sequence, kind, prefix}})
}

// eventsSince returns the events with a sequence number greater than after that
// were recorded at least lag ago; next is the value of after for the next call.
func (c *cache) eventsSince(after int64, lag time.Duration) (events []Event, next int64) {
	cutoff := c.now().Add(-lag)
	events, next = []Event{}, after
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.events {
		if e.event.Sequence > after && !e.at.After(cutoff) {
			events = append(events, e.event)
			next = e.event.Sequence
		}
	}
	return events, next
}

func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.blocks)
	c.lru.Init()
}
