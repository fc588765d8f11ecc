package link

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"
)

// Relay is a running relay.
type Relay struct {
	cfg   Config
	log   *logrus.Logger
	usage usage

	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	listeners map[string]net.Listener
	control   *http.Server
	ctrlAddr  string
	done      chan struct{}
	once      sync.Once

	mu    sync.Mutex
	fixed map[ruleKey]Rule
	rules map[ruleKey]Rule
	pairs map[*pair]struct{}
}

// Start opens all links.
func Start(cfg Config) (*Relay, error) {
	r := &Relay{
		cfg: cfg, log: cfg.Log, usage: usage{meters: map[usageKey]*meter{}}, listeners: map[string]net.Listener{},
		done: make(chan struct{}), fixed: map[ruleKey]Rule{}, rules: map[ruleKey]Rule{}, pairs: map[*pair]struct{}{},
	}
	if r.log == nil {
		r.log = logrus.StandardLogger()
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	err := r.open()
	if err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Relay) open() error {
	for _, rule := range r.cfg.Rules {
		k, err := rule.key()
		if err != nil {
			return err
		}
		r.fixed[k] = rule
	}
	for _, l := range r.cfg.Links {
		if err := r.AddLink(l); err != nil {
			return err
		}
	}
	if r.cfg.Control != "" {
		return r.startControl()
	}
	return nil
}

// AddLink opens one more link.
func (r *Relay) AddLink(l Link) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.listeners[l.Name]; ok || l.Name == "" {
		return fmt.Errorf("link %q is defined twice or has no name", l.Name)
	}
	ln, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return fmt.Errorf("link %q: %w", l.Name, err)
	}
	r.listeners[l.Name] = ln
	r.tasks.Go(func() { r.accept(l, ln) })
	return nil
}

func (r *Relay) accept(l Link, ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		source := conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
		p := r.addPair(l, source)
		r.tasks.Go(func() {
			p.run(conn.(*net.TCPConn))
			r.mu.Lock()
			delete(r.pairs, p)
			r.mu.Unlock()
		})
	}
}

func (r *Relay) addPair(l Link, source netip.Addr) *pair {
	p := &pair{link: l, source: source, meter: r.usage.meter(l.Name, source)}
	p.meter.connections.Add(1)
	p.ctx, p.cancel = context.WithCancel(r.ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	p.apply(r.conditionLocked(l, source))
	r.pairs[p] = struct{}{}
	return p
}

func (r *Relay) conditionLocked(l Link, source netip.Addr) *condition {
	all := maps.Clone(r.fixed)
	maps.Copy(all, r.rules)
	return conditionOf(l, source, all)
}

// change edits the rules and applies them to all connections.
func (r *Relay) change(edit func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	edit()
	for p := range r.pairs {
		p.apply(r.conditionLocked(p.link, p.source))
	}
}

// SetRule adds a rule, or replaces the one with the same source and link.
func (r *Relay) SetRule(rule Rule) error {
	k, err := rule.key()
	if err != nil {
		return err
	}
	r.change(func() { r.rules[k] = rule })
	return nil
}

// RemoveRule removes the rule with the given source and link, if there is one.
func (r *Relay) RemoveRule(source, link string) error {
	k, err := Rule{Source: source, Link: link}.key()
	if err != nil {
		return err
	}
	r.change(func() { delete(r.rules, k) })
	return nil
}

// ClearRules removes all rules but those of the configuration.
func (r *Relay) ClearRules() { r.change(func() { clear(r.rules) }) }

// Rules returns the rules that were set at run time.
func (r *Relay) Rules() []Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Rule{}, slices.Collect(maps.Values(r.rules))...)
}

// Bytes returns the traffic by link and sender.
func (r *Relay) Bytes() []Usage { return r.usage.list() }

// Addr returns the address that senders of a link connect to, empty for an
// unknown link.
func (r *Relay) Addr(link string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ln, ok := r.listeners[link]; ok {
		return ln.Addr().String()
	}
	return ""
}

// ControlAddr returns the address of the control port, empty without one.
func (r *Relay) ControlAddr() string { return r.ctrlAddr }

// Done is closed when the relay has stopped.
func (r *Relay) Done() <-chan struct{} { return r.done }

// Close closes all links and connections.
func (r *Relay) Close() {
	r.once.Do(func() {
		r.cancel()
		r.mu.Lock()
		for _, ln := range r.listeners {
			ln.Close()
		}
		r.mu.Unlock()
		if r.control != nil {
			r.control.Close()
		}
		r.tasks.Wait()
		close(r.done)
	})
}
