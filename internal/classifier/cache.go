package classifier

import (
	"container/list"
	"sync"
)

// Limits of the cache.
const (
	DefaultMaxEntries = 10_000
	// DefaultMaxBytes counts texts and results.
	DefaultMaxBytes = 16 << 20
	// maxTextBytes is the longest text that is kept. Longer texts are mostly
	// generated and do not repeat.
	maxTextBytes = 16 << 10
)

// Config bounds a Classifier. Zero fields take the defaults.
type Config struct {
	MaxEntries int
	MaxBytes   int
}

// Classifier classifies query texts. It is safe for concurrent use.
type Classifier struct {
	cfg Config

	mu      sync.Mutex
	entries map[string]*list.Element
	lru  list.List // of *entry, the most recent in front
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

// Classify returns the analysis of text.
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
