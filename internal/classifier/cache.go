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
	recent  list.List // of *entry, the most recent in front
	bytes   int
	hits    uint64
	misses  uint64
}

type entry struct {
	text   string
	result *Result
}

func (e *entry) size() int { return len(e.text) + e.result.size() }

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
	c.recent.MoveToFront(el)
	return el.Value.(*entry).result, true
}

func (c *Classifier) store(text string, r *Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.entries[text]; ok {
		return
	}
	e := &entry{text: text, result: r}
	c.entries[text] = c.recent.PushFront(e)
	c.bytes += e.size()
	for c.recent.Len() > c.cfg.MaxEntries || c.bytes > c.cfg.MaxBytes {
		c.evict()
	}
}

func (c *Classifier) evict() {
	el := c.recent.Back()
	e := c.recent.Remove(el).(*entry)
	delete(c.entries, e.text)
	c.bytes -= e.size()
}
