package classifier

import (
	"container/list"
	"sync"
)

// Limits of the cache. The exported ones are the defaults of [Config].
const (
	DefaultMaxEntries = 10_000
	// DefaultMaxBytes includes the texts and the results.
	DefaultMaxBytes = 16 << 20
	// maxTextBytes is the length up to which a text is cached. Longer texts are
	// mostly generated and do not repeat.
	maxTextBytes = 16 << 10
)

// Config limits the cache of a [Classifier]. Zero fields take the defaults.
type Config struct {
	// MaxEntries is the maximum number of cached results.
	MaxEntries int
	// MaxBytes is the maximum estimated size of the cached texts and results.
	MaxBytes int
}

// Classifier classifies query texts and caches the results. It is safe for
// concurrent use.
type Classifier struct {
	cfg Config

	mu      sync.Mutex
	entries map[string]*list.Element
	lru     list.List // of *cacheEntry, most recently used first
	bytes   int
	hits    uint64
	misses  uint64
}

type cacheEntry struct {
	text   string
	result *Result
}

func (e *cacheEntry) size() int { return len(e.text) + e.result.size() }

// New returns a classifier with an empty cache.
func New(cfg Config) *Classifier {
	if cfg.MaxEntries <= 0 {
		cfg.MaxEntries = DefaultMaxEntries
	}
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	return &Classifier{cfg: cfg, entries: make(map[string]*list.Element)}
}

// Classify returns the result for text, which callers must not modify.
func (c *Classifier) Classify(text string) *Result {
	if r, ok := c.lookup(text); ok {
		return r
	}
	r := classify(text)
	if len(text) <= maxTextBytes {
		c.store(text, r)
	}
	return r
}

// Stats returns the numbers of cache hits and misses.
func (c *Classifier) Stats() (hits, misses uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hits, c.misses
}

func (c *Classifier) lookup(text string) (*Result, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	el, ok := c.entries[text]
	if !ok {
		c.misses++
		return nil, false
	}
	c.hits++
	c.lru.MoveToFront(el)
	return el.Value.(*cacheEntry).result, true
}

func (c *Classifier) store(text string, r *Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.entries[text]; ok {
		return
	}
	e := &cacheEntry{text: text, result: r}
	c.entries[text] = c.lru.PushFront(e)
	c.bytes += e.size()
	for c.lru.Len() > c.cfg.MaxEntries || c.bytes > c.cfg.MaxBytes {
		c.evict()
	}
}

func (c *Classifier) evict() {
	el := c.lru.Back()
	e := c.lru.Remove(el).(*cacheEntry)
	delete(c.entries, e.text)
	c.bytes -= e.size()
}
