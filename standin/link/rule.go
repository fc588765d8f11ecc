package link

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Rule changes the connections of the senders in a prefix over a link. For
// delays the rule with the longest prefix wins, and among equals the one that
// names the link. Cuts, freezes and resets of all matching rules add up.
type Rule struct {
	// Source is an IP number or prefix, empty for all senders.
	Source string `json:"source" toml:"source"`
	// Link is the name of a link, a name's start followed by "*", or empty for
	// all links.
	Link string `json:"link" toml:"link"`
	// DelayToTarget and DelayToSource replace the link's delay.
	DelayToTarget *Duration `json:"delay_to_target,omitempty" toml:"delay_to_target"`
	DelayToSource *Duration `json:"delay_to_source,omitempty" toml:"delay_to_source"`
	// CutToTarget and CutToSource swallow the bytes of one direction.
	CutToTarget bool `json:"cut_to_target,omitempty" toml:"cut_to_target"`
	CutToSource bool `json:"cut_to_source,omitempty" toml:"cut_to_source"`
	// Freeze holds the bytes of both directions.
	Freeze bool `json:"freeze,omitempty" toml:"freeze"`
	// Reset resets open connections, and new ones as long as the rule stands.
	Reset bool `json:"reset,omitempty" toml:"reset"`
}

// ruleKey identifies a rule: a new rule replaces one with the same key.
type ruleKey struct {
	source netip.Prefix
	link   string
}

func (r Rule) key() (ruleKey, error) {
	p, err := parsePrefix(r.Source)
	return ruleKey{source: p, link: r.Link}, err
}

// parsePrefix returns the invalid prefix, which matches all senders, for the
// empty string.
func parsePrefix(s string) (netip.Prefix, error) {
	if s == "" {
		return netip.Prefix{}, nil
	}
	if !strings.Contains(s, "/") {
		a, err := netip.ParseAddr(s)
		if err != nil {
			return netip.Prefix{}, fmt.Errorf("source: %w", err)
		}
		return netip.PrefixFrom(a, a.BitLen()), nil
	}
	p, err := netip.ParsePrefix(s)
	if err != nil {
		return netip.Prefix{}, fmt.Errorf("source: %w", err)
	}
	return p.Masked(), nil
}

func (k ruleKey) matches(source netip.Addr, link string) bool {
	if k.source.IsValid() && !k.source.Contains(source) {
		return false
	}
	if start, ok := strings.CutSuffix(k.link, "*"); ok {
		return strings.HasPrefix(link, start)
	}
	return k.link == "" || k.link == link
}

// rank orders matching rules: higher ranks win.
func (k ruleKey) rank() int {
	rank := 0
	if k.source.IsValid() {
		rank = 2 * (k.source.Bits() + 1)
	}
	if k.link != "" {
		rank++
	}
	return rank
}

// direction is an index into the two directions of a connection.
type direction int

const (
	toTarget direction = iota
	toSource
)

// condition is what the rules make of one connection.
type condition struct {
	delay  [2]time.Duration
	cut    [2]bool
	freeze bool
	reset  bool
	// changed is closed when another condition takes this one's place.
	changed chan struct{}
}

// conditionOf applies rules to a sender and a link.
func conditionOf(l Link, source netip.Addr, rules map[ruleKey]Rule) *condition {
	c := &condition{changed: make(chan struct{})}
	c.delay[toTarget], c.delay[toSource] = time.Duration(l.Delay), time.Duration(l.Delay)
	best := [2]int{-1, -1}
	take := func(d direction, delay *Duration, rank int) {
		if delay != nil && rank > best[d] {
			best[d], c.delay[d] = rank, time.Duration(*delay)
		}
	}
	for k, r := range rules {
		if !k.matches(source, l.Name) {
			continue
		}
		take(toTarget, r.DelayToTarget, k.rank())
		take(toSource, r.DelayToSource, k.rank())
		c.cut[toTarget] = c.cut[toTarget] || r.CutToTarget
		c.cut[toSource] = c.cut[toSource] || r.CutToSource
		c.freeze = c.freeze || r.Freeze
		c.reset = c.reset || r.Reset
	}
	return c
}
